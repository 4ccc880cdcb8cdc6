/**
 * A faulty endpoint that writes some of its replies twice, the second time late, whole or in parts. It serves calls of
 * stages and the endpoint list, whose replies carry no id.
 */
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** How the second copy of a reply is written. */
export type RepeatForm = "whole" | "head first" | "in halves" | "cut";

export interface Repeats {
    readonly form: RepeatForm;
    /** Time between a reply and its second copy, in milliseconds; "next": until the next request on the connection. */
    readonly lateMs: number | "next";
    /** True for a reply that is written twice, by its number and the path of its request. */
    readonly isRepeated: (reply: number, path: string) => boolean;
}

interface ReceivedRequest {
    readonly path: string;
    readonly body: string;
}

/** Time between two parts of a copy. */
const partMs = 3;
/** Longest wait for connections to be closed; a reader that keeps them fails its test afterwards. */
const maxSettleMs = 2000;
const notRun = { status: 503, headers: "Fireflykeel-Not-Executed: 1\r\n", body: "" };

interface StutteringReply {
    readonly status: number;
    readonly headers: string;
    readonly body: string;
}

export class StutteringEndpoint {
    /** Ids of the requests whose pieces it has begun to run. */
    public readonly began = new Set<string>();
    /** Handles that it was told to free. */
    public readonly freed = new Set<string>();
    /** Number of reports that it has made; each states it as its free megabytes, or as the time that it has run. */
    public reports = 0;
    /** Number of connections that it has accepted. */
    public connections = 0;
    /** Undefined while it is sound. */
    public repeats: Repeats | undefined;
    /** Duration of a call, in milliseconds. */
    public runMs = 12;
    /** True when it refuses to free results. */
    public refusesToFree = false;
    /** Pages of the endpoint list. */
    public pages: readonly string[] = [];
    private readonly server: Server = createServer(socket => this.serve(socket));
    private readonly sockets = new Set<Socket>();
    /** Writes the copies that wait for the next request on their connection. */
    private readonly awaiting = new Map<Socket, () => void>();
    /** Connections that are open and have got a copy. */
    private readonly doubled = new Set<Socket>();
    /** Number of copies that are still to be written. */
    private dueCopies = 0;
    private isRunning = false;
    private replies = 0;
    private results = 0;

    public async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    /** Resolves once it has ended all calls and written all copies, and their readers have closed the connections. */
    public async settle(): Promise<void> {
        const untilMs = performance.now() + maxSettleMs;
        while ((this.isRunning || this.dueCopies > 0 || this.doubled.size > 0) && performance.now() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }

    private serve(socket: Socket): void {
        let received = "";
        this.connections += 1;
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.sockets.delete(socket);
            this.awaiting.delete(socket);
            this.doubled.delete(socket);
        });
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString();
            for (let next = takeRequest(received); next !== undefined; next = takeRequest(received)) {
                received = next.rest;
                this.awaiting.get(socket)?.();
                this.awaiting.delete(socket);
                this.reply(socket, next.request);
            }
        });
    }

    private reply(socket: Socket, { path, body }: ReceivedRequest): void {
        switch (path) {
            case "/api/stage-run":
                return this.run(socket, path, body);
            case "/api/stage-free": {
                if (this.refusesToFree) {
                    return this.write(socket, path, notRun);
                }
                const { Handles } = JSON.parse(body) as { Handles: string[]; };
                Handles.forEach(handle => this.freed.add(handle));
                return this.write(socket, path, { status: 200, headers: "", body: "" });
            }
            case "/api/report": {
                this.reports += 1;
                const report = { Waiting: 0, Busy: this.isRunning, FreeMb: this.reports };
                return this.write(socket, path, { status: 200, headers: "", body: JSON.stringify(report) });
            }
            case "/v1/load": {
                this.reports += 1;
                const report = { incarnation: "i", state: "warm", uptimeMs: this.reports, running: 0, waiting: 0 };
                return this.write(socket, path, { status: 200, headers: "", body: JSON.stringify(report) });
            }
            default: {
                const page = Number(/PageToken=(\d+)/.exec(path)?.[1] ?? 0);
                return this.write(socket, path, { status: 200, headers: "", body: this.pages[page] ?? "" });
            }
        }
    }

    private run(socket: Socket, path: string, body: string): void {
        if (this.isRunning) {
            this.write(socket, path, notRun);
            return;
        }
        this.isRunning = true;
        const { Items } = JSON.parse(body) as { Items: { Id: string; Stage: number; Piece: number; }[]; };
        Items.forEach(({ Id }) => this.began.add(Id));
        setTimeout(() => {
            this.isRunning = false;
            const made = Items.map(({ Id, Stage, Piece }) => {
                this.results += 1;
                return { Handle: `${Id}/${Stage}/${Piece}/${this.results}` };
            });
            this.write(socket, path, { status: 200, headers: "", body: JSON.stringify({ Items: made }) });
        }, this.runMs);
    }

    private write(socket: Socket, path: string, { status, headers, body }: StutteringReply): void {
        const head = `HTTP/1.1 ${status} X\r\n${headers}Content-Length: ${body.length}\r\n\r\n`;
        socket.write(head + body);
        this.replies += 1;
        const { repeats } = this;
        if (repeats?.isRepeated(this.replies, path) !== true) {
            return;
        }
        const writeCopy = () => {
            const [first, second] = partsOf(repeats.form, head, body);
            socket.write(first);
            if (!socket.destroyed) {
                this.doubled.add(socket);
            }
            if (second === "") {
                this.dueCopies -= 1;
                return;
            }
            setTimeout(() => {
                socket.write(second);
                this.dueCopies -= 1;
            }, partMs);
        };
        if (repeats.lateMs === "next") {
            this.awaiting.set(socket, () => {
                this.dueCopies += 1;
                writeCopy();
            });
            return;
        }
        this.dueCopies += 1;
        if (repeats.lateMs === 0) {
            writeCopy();
        }
        else {
            setTimeout(writeCopy, repeats.lateMs);
        }
    }
}

function partsOf(form: RepeatForm, head: string, body: string): readonly [string, string] {
    const whole = head + body;
    const half = Math.floor(whole.length / 2);
    switch (form) {
        case "whole":
            return [whole, ""];
        case "head first":
            return [head, body];
        case "in halves":
            return [whole.slice(0, half), whole.slice(half)];
        case "cut":
            return [whole.slice(0, half), ""];
    }
}

/** The first request of the text and what follows it; undefined while the request is incomplete. */
function takeRequest(text: string): { readonly request: ReceivedRequest; readonly rest: string; } | undefined {
    const end = text.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const head = text.slice(0, end);
    const bytes = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    const body = text.slice(end + 4, end + 4 + bytes);
    if (body.length < bytes) {
        return undefined;
    }
    return { request: { path: head.split(" ")[1] ?? "/", body }, rest: text.slice(end + 4 + bytes) };
}
