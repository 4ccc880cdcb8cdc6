/** A caller of a gateway that a test has started. */
import * as http from "node:http";
import { connect, type Socket } from "node:net";

export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False if the connection ended before the reply was complete. */
    readonly isWhole: boolean;
}

export function sendRequest(
    site: { readonly address: string; },
    headers: Record<string, string> = {},
    path = "/a/x",
    onBody: (received: string, res: http.IncomingMessage) => void = () => undefined,
    body: string | Buffer = "body",
): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const req = http.request(`http://${site.address}${path}`, {
            method: "POST",
            agent: false,
            headers: {
                "host": "H.example:80",
                "fireflykeel-request-id": "id-1",
                "fireflykeel-deadline-ms": "1500",
                "x-api-key": "key",
                ...headers,
            },
        });
        let hasResponse = false;
        let isBroken = false;
        req.on("error", err => {
            // Node.js takes a response that ends with its connection for complete, also when that was reset.
            isBroken = true;
            if (!hasResponse) {
                reject(err);
            }
        });
        req.on("response", res => {
            hasResponse = true;
            let received = "";
            res.on("data", (chunk: Buffer) => {
                received += chunk.toString();
                onBody(received, res);
            });
            res.on("error", () => undefined);
            res.on("close", () => {
                resolve({
                    status: res.statusCode ?? 0,
                    headers: res.headers,
                    body: received,
                    isWhole: res.complete && !isBroken,
                });
            });
        });
        req.end(body);
    });
}

const baseHead = [
    "POST /a/x HTTP/1.1",
    "Host: H.example",
    "X-Api-Key: key",
    "Fireflykeel-Request-Id: id-1",
    "Fireflykeel-Deadline-Ms: 3000",
].join("\r\n");

/** A caller that writes requests in parts, one after another on one connection. */
export class RawCaller {
    private readonly socket: Socket;
    private text = "";
    private isClosed = false;

    public constructor({ address }: { readonly address: string; }) {
        const [host, port] = address.split(":");
        this.socket = connect(Number(port), host);
        this.socket.on("data", (chunk: Buffer) => this.text += chunk.toString());
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.isClosed = true);
    }

    /** Writes the first fields of a request's head. */
    public beginHead(): void {
        this.socket.write(`${baseHead}\r\n`);
    }

    /** Writes the rest of the head, with a further field of the given length. */
    public endHead(bodyBytes: number = 0, fieldBytes: number = 0): void {
        this.socket.write(`X-Field: ${"x".repeat(fieldBytes)}\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
    }

    public writeBody(bytes: number): void {
        this.socket.write("x".repeat(bytes));
    }

    /** Writes the rest of the head of a request with a body in chunks, and something that is no chunk. */
    public writeBrokenChunk(): void {
        this.socket.write("Transfer-Encoding: chunked\r\n\r\nno chunk\r\n");
    }

    /** Sends no more, but reads on. */
    public endWrites(): void {
        this.socket.end();
    }

    /** Waits for the next complete answer; resolves to its status, or to undefined if the connection ends before. */
    public async answer(): Promise<number | undefined> {
        for (;;) {
            const [, status, head, length] = /^HTTP\/1\.1 (\d+)(.*?content-length: (\d+).*?\r\n\r\n)/is.exec(this.text)
                ?? [];
            const bytes = status === undefined ? Infinity : `HTTP/1.1 ${status}${head}`.length + Number(length);
            if (this.text.length >= bytes) {
                this.text = this.text.slice(bytes);
                return Number(status);
            }
            if (this.isClosed) {
                return undefined;
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    public close(): void {
        this.socket.destroy();
    }
}
