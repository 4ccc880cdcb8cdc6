/**
 * A caller: sends one request through the balancer, and judges what came back against what the stand-ins must have
 * answered to that very request.
 */
import { Agent, type IncomingMessage, request } from "node:http";
import { performance } from "node:perf_hooks";
import type { Settings } from "../src/config/Schema.js";
import { deadlineHeader, idempotencyHeader, workspaceHeader } from "../src/entry/CallerRequest.js";
import { expectedAnswer } from "../standin/ExpectedOutput.js";
import { splitAddress } from "../standin/StandInHttpServer.js";
import type { Balancer } from "./Balancer.js";
import type { Arrival } from "./Workload.js";

/**
 * How a request ended for its caller. "wrong" is an answer that is not the whole answer to this request; "lost" is a
 * reply that never came or broke off.
 */
export type CallEnd = "answered" | "wrong" | "not-run" | "failed" | "unknown" | "lost";

export interface CallRecord {
    readonly arrival: Arrival;
    readonly host: string;
    readonly end: CallEnd;
    readonly status: number;
    readonly reason: string;
    readonly latencyMs: number;
    /** Answered whole within the deadline. */
    readonly attained: boolean;
}

export interface HttpReply {
    readonly status: number;
    readonly text: string;
    /** Whether the text is server-sent events. */
    readonly stream: boolean;
}

/** No reply came, or it broke off. */
export interface LostReply {
    /** The error's code, or what else is known. */
    readonly lost: string;
}

/** How long a caller waits beyond its deadline for the final word, in milliseconds. */
const patienceMs = 5000;
/** Hosts that the balancer tries while connections are refused. */
const maxConnects = 3;

export class Caller {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: Infinity });

    public constructor(private readonly settings: Settings, private readonly balancer: Balancer) {}

    public async call(arrival: Arrival): Promise<CallRecord> {
        const startMs = performance.now();
        const pipeline = Object.entries(this.settings.pipelines).find(([name]) => name === arrival.pipeline)?.[1];
        const deadlineMs = pipeline?.deadlineMs ?? 0;
        const { host, reply } = await this.send(arrival, deadlineMs);
        const latencyMs = performance.now() - startMs;
        const stages = pipeline?.stages.map(stage => stage.name) ?? [];
        const judged = judgeReply(reply, expectedAnswer(stages, arrival.input));
        const attained = judged.end === "answered" && latencyMs <= deadlineMs;
        return { arrival, host, ...judged, status: "lost" in reply ? 0 : reply.status, latencyMs, attained };
    }

    public dispose(): void {
        this.agent.destroy();
    }

    /** Sends to one host; to another one only where the connection was refused, as a balancer does. */
    private async send(
        arrival: Arrival,
        deadlineMs: number,
    ): Promise<{ readonly host: string; readonly reply: HttpReply | LostReply; }> {
        let host = "";
        for (let tries = 0; tries < maxConnects; tries += 1) {
            const target = this.balancer.pick();
            if (target === undefined) {
                return { host, reply: { lost: "no host is ready" } };
            }
            host = target.host;
            const reply = await this.post(target.address, arrival, deadlineMs);
            if (reply !== "refused") {
                return { host, reply };
            }
            this.balancer.reportRefused(host);
        }
        return { host, reply: { lost: "refused by each host" } };
    }

    private post(address: string, arrival: Arrival, deadlineMs: number): Promise<HttpReply | LostReply | "refused"> {
        const body = JSON.stringify(arrival.input);
        const headers: Record<string, string | number> = {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            [workspaceHeader]: arrival.workspace,
            [deadlineHeader]: deadlineMs,
            ...(arrival.key === undefined ? {} : { [idempotencyHeader]: arrival.key }),
            ...(arrival.stream ? { accept: "text/event-stream" } : {}),
        };
        const options = {
            ...splitAddress(address),
            method: "POST",
            path: `/v1/pipelines/${arrival.pipeline}`,
            headers,
        };
        return new Promise(resolve => {
            const req = request({ ...options, agent: this.agent }, res => void readAll(res).then(resolve));
            req.setTimeout(deadlineMs + patienceMs, () => req.destroy());
            req.on("error", err => {
                const { code = "closed" } = err as NodeJS.ErrnoException;
                resolve(code === "ECONNREFUSED" ? "refused" : { lost: code });
            });
            req.end(body);
        });
    }
}

function readAll(res: IncomingMessage): Promise<HttpReply | LostReply> {
    return new Promise(resolve => {
        let text = "";
        res.setEncoding("utf8");
        res.on("data", (part: string) => text += part);
        const stream = res.headers["content-type"] === "text/event-stream";
        res.on("end", () => resolve(res.complete ? { status: res.statusCode ?? 0, text, stream } : { lost: "cut" }));
        res.on("error", () => resolve({ lost: "cut" }));
    });
}

/** Compares a reply with the answer that the request must get. */
export function judgeReply(reply: HttpReply | LostReply, expected: string): Judgement {
    if ("lost" in reply) {
        return { end: "lost", reason: reply.lost };
    }
    if (reply.stream) {
        return judgeStream(reply.text, expected);
    }
    const body = parseObject(reply.text);
    if (reply.status === 200) {
        return judgeOutput(body?.["output"], expected);
    }
    return judgeFailure(body, `status ${reply.status}`);
}

interface Judgement {
    readonly end: CallEnd;
    readonly reason: string;
}

function judgeOutput(output: unknown, expected: string): Judgement {
    const whole = output === expected;
    return { end: whole ? "answered" : "wrong", reason: whole ? "" : "not the expected answer" };
}

function judgeFailure(body: Record<string, unknown> | undefined, otherwise: string): Judgement {
    const outcome = body?.["outcome"];
    const reason = typeof body?.["reason"] === "string" ? body["reason"] : otherwise;
    const known = outcome === "not-run" || outcome === "failed" || outcome === "unknown";
    return { end: known ? outcome : "failed", reason };
}

/** Puts the output events together; without the end event the answer is lost, however much of it came. */
function judgeStream(text: string, expected: string): Judgement {
    let output = "";
    for (const event of text.split("\n\n").filter(part => part !== "")) {
        const name = /^event: (.*)$/m.exec(event)?.[1];
        const data = parseObject(/^data: (.*)$/m.exec(event)?.[1] ?? "");
        if (name === "failure") {
            return judgeFailure(data, "failed in the stream");
        }
        if (name === "end") {
            return data?.["length"] === output.length
                ? judgeOutput(output, expected)
                : { end: "wrong", reason: "a stream of another length than its end says" };
        }
        if (data?.["offset"] !== output.length) {
            return { end: "wrong", reason: "a gap or a repetition in the stream" };
        }
        output += String(data["text"]);
    }
    return { end: "lost", reason: "a stream without an end" };
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value !== null ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
