/** Requests of callers with one key, in turn at all entry hosts, written into the record. */
import { type Answer, call } from "./Calls.js";
import type { CaseRecord } from "./CaseRecord.js";
import { host, key } from "./Config.js";
import type { Site } from "./Site.js";

export interface AskOptions {
    readonly path: string;
    readonly deadlineMs: number;
    readonly prompt?: string;
    /** The request is a POST if it has a body, else a GET. */
    readonly body?: string;
    /** What the record says of the answer; its text when absent. */
    readonly describe?: (answer: Answer) => string;
}

export interface Asked {
    readonly id: string;
    readonly path: string;
    readonly sentMs: number;
    readonly answer: Answer;
}

export class Callers {
    private count = 0;

    public constructor(private readonly site: Site, private readonly record: CaseRecord) {}

    /** Number of requests so far. */
    public get sent(): number {
        return this.count;
    }

    public async ask({ path, deadlineMs, prompt, body, describe }: AskOptions): Promise<Asked> {
        const { site, record } = this;
        const entry = site.entries[this.count % site.entries.length]!;
        this.count += 1;
        const id = `${Date.now().toString(16)}${this.count.toString(16).padStart(5, "0")}`;
        const sentMs = performance.now();
        record.add("sent", id, "to", entry.name, path, prompt ?? "");
        const answer = await call(site.callerAddress(entry), {
            method: body === undefined ? "GET" : "POST",
            path,
            headers: {
                "Host": host,
                "X-Api-Key": key,
                "Fireflykeel-Request-Id": id,
                "Fireflykeel-Deadline-Ms": String(deadlineMs),
                ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                ...(prompt === undefined ? {} : {
                    "Fireflykeel-Model": "m",
                    "Fireflykeel-Token-Counts": "1460,200",
                    "Fireflykeel-Prompt-Prefix": prompt,
                }),
            },
            ...(body === undefined ? {} : { body }),
            timeoutMs: deadlineMs,
        });
        record.add("answered", id, answer.status, answer.error ?? describe?.(answer) ?? answer.text);
        return { id, path, sentMs, answer };
    }
}
