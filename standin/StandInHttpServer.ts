/** HTTP server of a stand-in, which parses JSON bodies and can drop or silence its open connections. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Maximum size of a request body, in bytes. */
const bodyLimitBytes = 64 * 1024 * 1024;

export type HttpHandler = (req: IncomingMessage, res: ServerResponse, body: unknown) => Promise<void>;

export class StandInHttpServer {
    private server: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private readonly silenced = new WeakSet<Socket>();

    public constructor(private readonly handler: HttpHandler) {}

    /** Listens on an address such as "127.0.0.1:8080". Rejects if it is in use. */
    public listen(address: string): Promise<void> {
        const server = createServer((req, res) => void this.serve(req, res));
        server.keepAliveTimeout = 60_000;
        server.on("connection", socket => {
            socket.setNoDelay(true);
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => socket.destroy());
        });
        this.server = server;
        const { host, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, 1024, () => resolve());
        });
    }

    /** Stops listening and drops every connection. */
    public async close(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        this.dropAll();
        await closed;
    }

    public dropAll(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    /** Stops all traffic on the open connections other than `except`, without closing them. */
    public silenceAll(except: Socket | null): void {
        for (const socket of this.sockets) {
            if (socket !== except) {
                this.silenced.add(socket);
                socket.pause();
            }
        }
    }

    /** Destroys the silenced connections. */
    public dropSilenced(): void {
        for (const socket of this.sockets) {
            if (this.silenced.has(socket)) {
                socket.destroy();
            }
        }
    }

    /** True if the response's connection is silenced, so that nothing may be written. */
    public isSilent(res: ServerResponse): boolean {
        return res.socket !== null && this.silenced.has(res.socket);
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readJson(req);
        if (body === unreadable) {
            sendJson(res, 400, { message: "the body is not valid JSON or is too large" });
            return;
        }
        try {
            await this.handler(req, res, body);
        }
        catch (err) {
            if (!res.headersSent) {
                sendJson(res, 500, { message: String(err) });
            }
        }
    }
}

const unreadable = Symbol("unreadable");

async function readJson(req: IncomingMessage): Promise<unknown> {
    const parts: Buffer[] = [];
    let size = 0;
    try {
        for await (const part of req) {
            size += (part as Buffer).length;
            if (size > bodyLimitBytes) {
                return unreadable;
            }
            parts.push(part as Buffer);
        }
        return size === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString("utf8")) as unknown;
    }
    catch {
        return unreadable;
    }
}

export function sendJson(res: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/** Splits "127.0.0.1:80" or "[::1]:80" into host and port. */
export function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}
