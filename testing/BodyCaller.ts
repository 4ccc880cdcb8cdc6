/** A caller of a gateway that sends a body by hand, as slowly and as far as a test wants. */
import { connect, type Socket } from "node:net";

/** A caller that writes its request by hand and reads what comes only when it is told to. */
export class BodyCaller {
    public readonly closed: Promise<void>;
    private readonly socket: Socket;
    private text = "";

    public constructor(
        site: { readonly address: string; },
        framing: string,
        deadlineMs: number = 4000,
        id: string = "id-1",
    ) {
        const [host = "", port = ""] = site.address.split(":");
        this.socket = connect({ host, port: Number(port) });
        this.socket.on("error", () => undefined);
        this.socket.pause();
        this.closed = new Promise(resolve => this.socket.on("close", () => resolve()));
        this.socket.write(
            `POST /a/x HTTP/1.1\r\nHost: H.example\r\nX-Api-Key: key\r\nFireflykeel-Request-Id: ${id}\r\n`
                + `Fireflykeel-Deadline-Ms: ${deadlineMs}\r\n${framing}\r\n\r\n`,
        );
    }

    /** Resolves once the system has taken the data, or the connection is closed. */
    public async write(data: Buffer | string): Promise<void> {
        await Promise.race([new Promise<void>(resolve => this.socket.write(data, () => resolve())), this.closed]);
    }

    /** Reads the answer's head; resolves to its status, 0 if the connection ends without it. */
    public async status(): Promise<number> {
        const read = new Promise<void>(resolve => {
            this.socket.on("data", (data: Buffer) => {
                this.text += data.toString();
                if (this.text.includes("\r\n\r\n")) {
                    resolve();
                }
            });
        });
        this.socket.resume();
        await Promise.race([read, this.closed]);
        return Number(/^HTTP\/1\.1 (\d+) /.exec(this.text)?.[1] ?? 0);
    }

    public get answer(): string {
        return this.text;
    }
}
