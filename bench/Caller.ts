/**
 * Sends requests through the balancer as a caller does, and compares each reply with the answer that the stand-ins
 * must give to that request.
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
 * How a request ended for its caller. "wrong": the answer is incomplete or differs from the expected one. "lost": no
 * reply arrived, or it was incomplete.
 */
export type RequestEnd = "answered" | "wrong" | "not-run" | "failed" | "unknown" | "lost";

export interface CallRecord {
    readonly arrival: Arrival;
    readonly host: string;
    readonly end: RequestEnd;
    readonly status: number;
    readonly reason: string;
    readonly latencyMs: number;
    /** Whether the complete answer arrived within the deadline. */
    readonly attained: boolean;
}

export interface HttpReply {
    readonly status: number;
    readonly text: string;
    /** Whether `text` consists of server-sent events. */
    readonly stream: boolean;
}

/** No reply arrived, or it was incomplete. */
export interface LostReply {
    /** The error code, or a short description. */
    readonly lost: string;
}

/** How long a caller waits for the reply after its deadline, in milliseconds. */
const replyGraceMs = 5000;
/** Maximum number of hosts tried for one request while connections are refused. */
const maxConnectAttempts = 3;

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
        const classification = classifyReply(reply, expectedAnswer(stages, arrival.input));
        const attained = classification.end === "answered" && latencyMs <= deadlineMs;
        return { arrival, host, ...classification, status: "lost" in reply ? 0 : reply.status, latencyMs, attained };
    }

    public dispose(): void {
        this.agent.destroy();
    }

    /** Sends the request to one host; tries another one only if the connection was refused, as a load balancer does. */
    private async send(
        arrival: Arrival,
        deadlineMs: number,
    ): Promise<{ readonly host: string; readonly reply: HttpReply | LostReply; }> {
        let host = "";
        for (let attempts = 0; attempts < maxConnectAttempts; attempts += 1) {
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
            req.setTimeout(deadlineMs + replyGraceMs, () => req.destroy());
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

/** Compares a reply with the expected answer to the request. */
export function classifyReply(reply: HttpReply | LostReply, expected: string): Classification {
    if ("lost" in reply) {
        return { end: "lost", reason: reply.lost };
    }
    if (reply.stream) {
        return classifyStream(reply.text, expected);
    }
    const body = parseObject(reply.text);
    if (reply.status === 200) {
        return classifyOutput(body?.["output"], expected);
    }
    return classifyFailure(body, `status ${reply.status}`);
}

interface Classification {
    readonly end: RequestEnd;
    readonly reason: string;
}

function classifyOutput(output: unknown, expected: string): Classification {
    const isExpected = output === expected;
    return { end: isExpected ? "answered" : "wrong", reason: isExpected ? "" : "not the expected answer" };
}

function classifyFailure(body: Record<string, unknown> | undefined, fallbackReason: string): Classification {
    const outcome = body?.["outcome"];
    const reason = typeof body?.["reason"] === "string" ? body["reason"] : fallbackReason;
    const isKnown = outcome === "not-run" || outcome === "failed" || outcome === "unknown";
    return { end: isKnown ? outcome : "failed", reason };
}

/** Concatenates the output events. Without an end event the answer counts as lost, even if all of its text arrived. */
function classifyStream(text: string, expected: string): Classification {
    let output = "";
    for (const event of text.split("\n\n").filter(part => part !== "")) {
        const name = /^event: (.*)$/m.exec(event)?.[1];
        const data = parseObject(/^data: (.*)$/m.exec(event)?.[1] ?? "");
        if (name === "failure") {
            return classifyFailure(data, "failed in the stream");
        }
        if (name === "end") {
            return data?.["length"] === output.length
                ? classifyOutput(output, expected)
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
