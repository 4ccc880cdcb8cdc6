/** A stand-in for an engine: runs each request that names it, and answers as the pages say. */
import * as http from "node:http";
import type { CaseRecord } from "./CaseRecord.js";
import { listen } from "./Site.js";

export interface Run {
    readonly atMs: number;
    readonly engine: string;
    readonly request: string;
    readonly method: string;
    readonly target: string;
    readonly body: string;
}

/** Answers a request that has run. */
export type Answerer = (run: Run, req: http.IncomingMessage, res: http.ServerResponse) => void;

export const stampHeader = "Fireflykeel-Server-Stamp";
const workMs = 20;

export class Engine {
    public readonly runs: Run[] = [];
    private readonly server = http.createServer((req, res) => this.serve(req, res));

    public constructor(
        public readonly id: string,
        private readonly record: CaseRecord,
        private readonly answer: Answerer = answerPlainly,
    ) {
        this.server.keepAliveTimeout = 5000;
    }

    public async start(host: string, port: number): Promise<void> {
        await listen(this.server, host, port);
    }

    /** Ends the engine with all its channels, as a crash does. */
    public stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("error", () => undefined);
        req.on("end", () => {
            const request = String(req.headers["fireflykeel-request-id"]);
            const expected = req.headers["fireflykeel-expect-instance"];
            if (expected !== undefined && expected !== this.id) {
                res.writeHead(421, { "Fireflykeel-Request-Id": request, "content-length": 0 }).end();
                return;
            }
            const { method = "", url: target = "" } = req;
            const body = Buffer.concat(chunks).toString("latin1");
            const run = { atMs: this.record.nowMs, engine: this.id, request, method, target, body };
            this.runs.push(run);
            this.record.note("engine runs", { engine: this.id, request, method, target });
            this.answer(run, req, res);
        });
    }
}

export function textOf(run: Run): string {
    return `answer to ${run.request}`;
}

function answerPlainly(run: Run, _: http.IncomingMessage, res: http.ServerResponse): void {
    const text = textOf(run);
    const headers = { "Fireflykeel-Request-Id": run.request, [stampHeader]: `stamp.${run.request}` };
    setTimeout(() => res.writeHead(200, { ...headers, "content-length": text.length }).end(text), workMs);
}
