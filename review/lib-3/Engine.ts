/** A stand-in for an engine of one service, by the users' protocol. It records each request that it runs. */
import { createHash } from "node:crypto";
import * as http from "node:http";
import type { Socket } from "node:net";
import type { CaseRecord } from "./CaseRecord.js";

/** A request as the engine has got it. */
export interface EngineRun {
    readonly id: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly engine: string;
    readonly service: string;
    /** When it arrived, on the clock of `performance`. */
    readonly atMs: number;
}

export interface EngineOptions {
    readonly service: string;
    readonly instance: string;
    readonly zone: string;
    readonly ip: string;
    readonly slots: number;
    /** Duration of a run in milliseconds. */
    readonly workMs: number;
    readonly record: CaseRecord;
    /** Takes over a request instead of the usual run; false to let it run as usual. */
    readonly intercept?: (run: EngineRun, res: http.ServerResponse) => boolean;
}

export class Engine {
    public readonly runs: EngineRun[] = [];
    public state: "ready" | "draining" = "ready";
    /** When it last became cold, and until when it is, on the clock of `performance`. */
    public coldFromMs = -Infinity;
    public coldUntilMs = -Infinity;
    /** Unix time of its start. */
    public bornMs = Date.now();
    private readonly sockets = new Set<Socket>();
    private readonly server: http.Server;
    private readonly open = new Set<EngineRun>();
    private count = 0;
    private port = 0;

    public constructor(public readonly options: EngineOptions) {
        this.server = http.createServer({ keepAlive: true }, (req, res) => this.handle(req, res));
        this.server.keepAliveTimeout = 10_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    /** Kept after a crash, since the platform's list shows the engine for some seconds more. */
    public get address(): string {
        return `${this.options.ip}:${this.port}`;
    }

    /** Listens at a free port, or at the given one. */
    public start(port: number = 0): Promise<void> {
        this.bornMs = Date.now();
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, this.options.ip, () => {
                const address = this.server.address();
                this.port = typeof address === "object" ? address?.port ?? 0 : 0;
                resolve();
            });
        });
    }

    /** Becomes cold for a time. */
    public becomeCold(forMs: number): void {
        this.coldFromMs = performance.now();
        this.coldUntilMs = this.coldFromMs + forMs;
        this.options.record.add("engine", this.options.instance, "is cold for", forMs, "ms");
    }

    /** How much longer it is cold, as seen at a time on the clock of `performance`. */
    public coldLeftMs(atMs: number): number {
        return atMs < this.coldFromMs ? 0 : Math.max(0, this.coldUntilMs - atMs);
    }

    /** False before the start and after a crash. */
    public get isUp(): boolean {
        return this.server.listening;
    }

    /** Number of requests that are running. */
    public get running(): number {
        return this.open.size;
    }

    /** Ends as a crashed process does: its channels end, and nothing listens at its address any more. */
    public stop(): void {
        this.server.close();
        this.open.clear();
        this.sockets.forEach(socket => socket.destroy());
    }

    private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
        const parts: Buffer[] = [];
        req.on("data", (part: Buffer) => parts.push(part));
        req.on("error", () => undefined);
        req.on("end", () => this.serve(req, Buffer.concat(parts), res));
    }

    /** What the engine says of itself. */
    private report(res: http.ServerResponse): void {
        const text = JSON.stringify({ born: this.bornMs, Waiting: 0, Busy: this.open.size > 0, FreeMb: 0 });
        res.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) }).end(text);
    }

    private serve(req: http.IncomingMessage, body: Buffer, res: http.ServerResponse): void {
        const { service, instance } = this.options;
        const expected = req.headers["fireflykeel-expect-instance"];
        const id = String(req.headers["fireflykeel-request-id"] ?? "");
        if (req.url === "/api/report") {
            this.report(res);
            return;
        }
        if (req.url === "/health") {
            res.writeHead(200, { "Fireflykeel-Instance-Id": instance, "Content-Length": 0 }).end();
            return;
        }
        if (expected !== undefined && expected !== instance) {
            res.writeHead(421, { "Fireflykeel-Not-Executed": "1", "Fireflykeel-Request-Id": id, "Content-Length": 0 });
            res.end();
            return;
        }
        if (id === "") {
            res.writeHead(400, { "Fireflykeel-Not-Executed": "1", "Content-Length": 0 }).end();
            return;
        }
        const run: EngineRun = {
            id,
            method: req.method ?? "",
            target: req.url ?? "",
            headers: req.headers,
            body,
            engine: instance,
            service,
            atMs: performance.now(),
        };
        if (this.options.intercept?.(run, res) === true) {
            return;
        }
        this.runs.push(run);
        this.open.add(run);
        this.options.record.add("run", id, "at", instance, run.method, run.target, `${body.length} bytes`);
        setTimeout(() => this.answer(run, res), this.options.workMs);
    }

    private answer(run: EngineRun, res: http.ServerResponse): void {
        if (!this.open.delete(run)) {
            return;
        }
        const text = JSON.stringify({ engine: run.engine, id: run.id, target: run.target });
        this.count += 1;
        const digest = createHash("sha256").update(text).digest("hex").slice(0, 16);
        res.writeHead(200, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(text),
            "Fireflykeel-Request-Id": run.id,
            "Fireflykeel-Server-Stamp": `${run.engine}.${this.count}.${digest}`,
        });
        res.end(text);
    }
}
