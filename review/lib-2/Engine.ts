/**
 * A stand-in for an engine of PROTOCOL.md. It reads requests from the bytes on its sockets, so that it sees them as they
 * were sent, and serves one request at a time on a channel.
 */
import * as net from "node:net";

export interface EngineRequest {
    readonly method: string;
    /** Path and query, as on the wire. */
    readonly target: string;
    /** Names are in lower case. */
    readonly headers: ReadonlyMap<string, string>;
    readonly body: Buffer;
    readonly socket: net.Socket;
}

export interface EngineReply {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Answers a request that is no status check; undefined when it has written to the socket itself. */
export type EngineHandler = (req: EngineRequest) => Promise<EngineReply | undefined>;

export interface EngineSpec {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly handle: EngineHandler;
}

const blankLine = "\r\n\r\n";
const maxHeadBytes = 64 * 1024;

/** Reads a socket in parts of a known end. */
class Input {
    private bytes: Buffer = Buffer.alloc(0);
    private ended = false;
    private wake: () => void = () => undefined;

    public constructor(socket: net.Socket) {
        socket.on("data", part => {
            this.bytes = Buffer.concat([this.bytes, Buffer.from(part)]);
            this.wake();
        });
        const end = () => {
            this.ended = true;
            this.wake();
        };
        socket.on("end", end).on("close", end).on("error", end);
    }

    /** The bytes up to and with a mark; undefined when the socket has ended before. */
    public async upTo(mark: string): Promise<Buffer | undefined> {
        for (;;) {
            const at = this.bytes.indexOf(mark);
            if (at >= 0) {
                return this.take(at + mark.length);
            }
            if (this.ended || this.bytes.length > maxHeadBytes) {
                return undefined;
            }
            await new Promise<void>(resolve => this.wake = resolve);
        }
    }

    public async count(length: number): Promise<Buffer | undefined> {
        while (this.bytes.length < length) {
            if (this.ended) {
                return undefined;
            }
            await new Promise<void>(resolve => this.wake = resolve);
        }
        return this.take(length);
    }

    private take(length: number): Buffer {
        const taken = this.bytes.subarray(0, length);
        this.bytes = this.bytes.subarray(length);
        return taken;
    }
}

export class Engine {
    private readonly server: net.Server;
    private readonly sockets = new Set<net.Socket>();

    public constructor(public readonly spec: EngineSpec, public readonly address: string) {
        this.server = net.createServer(socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
            void this.serve(socket);
        });
    }

    public listen(): Promise<void> {
        const colon = this.address.lastIndexOf(":");
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(Number(this.address.slice(colon + 1)), this.address.slice(0, colon), () => resolve());
        });
    }

    public close(): void {
        this.server.close();
        this.sockets.forEach(one => one.destroy());
    }

    private async serve(socket: net.Socket): Promise<void> {
        const input = new Input(socket);
        while (!socket.destroyed) {
            const req = await readRequest(input, socket);
            if (req === undefined) {
                socket.end();
                return;
            }
            const reply = await this.answer(req);
            if (reply !== undefined && !socket.destroyed) {
                socket.write(encode(reply, req));
            }
        }
    }

    private async answer(req: EngineRequest): Promise<EngineReply | undefined> {
        const { id } = this.spec;
        const expected = req.headers.get("fireflykeel-expect-instance");
        if (expected !== undefined && expected !== id) {
            return { status: 421, headers: { "Fireflykeel-Not-Executed": "1" } };
        }
        if (req.method === "GET" && req.target === "/health") {
            return { status: 200, headers: { "Fireflykeel-Instance-Id": id, "Fireflykeel-Server-Load": "0,0,8" } };
        }
        return this.spec.handle(req);
    }
}

async function readRequest(input: Input, socket: net.Socket): Promise<EngineRequest | undefined> {
    const head = await input.upTo(blankLine);
    if (head === undefined) {
        return undefined;
    }
    const [requestLine = "", ...lines] = head.toString("latin1").slice(0, -blankLine.length).split("\r\n");
    const [method = "", target = ""] = requestLine.split(" ");
    const headers = new Map(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
    }));
    const body = await input.count(Number(headers.get("content-length") ?? "0"));
    return body === undefined ? undefined : { method, target, headers, body, socket };
}

/** Encodes a reply to a request, with its id. */
export function encode({ status, headers = {}, body = "" }: EngineReply, req: EngineRequest): string {
    const id = req.headers.get("fireflykeel-request-id");
    const lines = [
        `HTTP/1.1 ${status} X`,
        ...(id === undefined ? [] : [`Fireflykeel-Request-Id: ${id}`]),
        ...Object.entries(headers).map(([name, text]) => `${name}: ${text}`),
        `Content-Length: ${Buffer.byteLength(body)}`,
    ];
    return `${lines.join("\r\n")}${blankLine}${body}`;
}
