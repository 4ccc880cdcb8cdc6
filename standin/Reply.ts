/**
 * Writes the reply to a stage call, as JSON or as server-sent events, with the faults requested on the control path:
 * late, truncated, duplicated, or exchanged with the reply to another request.
 */
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { Clock } from "../src/common/Types.js";
import type { StageUsage } from "../src/endpoints/Types.js";
import { sendJson } from "./StandInHttpServer.js";
import type { ControlMessage } from "./Types.js";

/** Time that a reply to be exchanged waits for another one, in milliseconds. */
const exchangeTimeoutMs = 300;

/** Identification of a call that its reply repeats. */
export interface CallIdentity {
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
    readonly incarnation: string;
}

export interface ReplyContent {
    readonly echo: CallIdentity;
    readonly output: string;
}

/** Faults of one reply. */
export interface ReplyFault {
    readonly lateMs: number;
    readonly short: boolean;
    readonly swap: boolean;
    readonly duplicate: boolean;
}

/** Active reply faults, with the number of replies that each still applies to. */
export class ReplyFaults {
    private lateMs = 0;
    private short = 0;
    private swap = 0;
    private duplicate = 0;
    private partner: { content: ReplyContent; give: (other: ReplyContent) => void; } | undefined;

    public constructor(private readonly clock: Clock) {}

    public apply(control: ControlMessage): void {
        this.lateMs = control.lateMs ?? this.lateMs;
        this.short = control.short ?? this.short;
        this.swap = control.swapReplies ?? this.swap;
        this.duplicate = control.duplicate ?? this.duplicate;
    }

    /** Returns the faults of the next reply and counts them down. */
    public next(): ReplyFault {
        const fault = {
            lateMs: this.lateMs,
            short: this.short > 0,
            swap: this.swap > 0,
            duplicate: this.duplicate > 0,
        };
        this.short = Math.max(0, this.short - 1);
        this.swap = Math.max(0, this.swap - 1);
        this.duplicate = Math.max(0, this.duplicate - 1);
        return fault;
    }

    /** Exchanges two replies. One that waits too long for another gets the id of a request that does not exist. */
    public async exchange(content: ReplyContent): Promise<ReplyContent> {
        const partner = this.partner;
        if (partner !== undefined) {
            this.partner = undefined;
            partner.give(content);
            return partner.content;
        }
        return new Promise(resolve => {
            const timer = this.clock.setTimer(exchangeTimeoutMs, () => {
                this.partner = undefined;
                resolve({ ...content, echo: { ...content.echo, request: `${content.echo.request}-other` } });
            });
            const give = (other: ReplyContent) => {
                timer.dispose();
                resolve(other);
            };
            this.partner = { content, give };
        });
    }
}

/** SHA-256 digest of an output, in hexadecimal, as replies contain it. */
export function digestOf(output: string): string {
    return createHash("sha256").update(output, "utf8").digest("hex");
}

/** Sends the reply as one JSON body, with the given faults. */
export function sendJsonReply(res: ServerResponse, content: ReplyContent, usage: StageUsage, fault: ReplyFault): void {
    const { echo, output } = content;
    const body = {
        ...echo,
        output: fault.short ? output.slice(0, output.length / 2) : output,
        length: output.length,
        digest: digestOf(output),
        usage,
    };
    const socket = res.socket;
    sendJson(res, 200, body);
    if (fault.duplicate) {
        const text = JSON.stringify(body);
        const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(text)}`;
        res.once("finish", () => socket?.write(`${head}\r\n\r\n${text}`));
    }
}

/** Streams a reply as server-sent events: output events and a final end event. */
export class EventStream {
    private sentChunks = 0;

    public constructor(
        private readonly res: ServerResponse,
        private readonly content: ReplyContent,
        private readonly fault: ReplyFault,
    ) {
        res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    }

    public output(offset: number, text: string): void {
        this.sentChunks += 1;
        // A truncated stream lacks its second chunk.
        if (!this.fault.short || this.sentChunks !== 2) {
            this.write("output", { ...this.content.echo, offset, text });
        }
    }

    public end(usage: StageUsage): void {
        const { echo, output } = this.content;
        // A truncated stream with fewer than two chunks lacks its end event instead.
        if (!this.fault.short || this.sentChunks >= 2) {
            this.write("end", { ...echo, length: output.length, digest: digestOf(output), usage });
        }
        this.res.end();
    }

    private write(event: string, data: unknown): void {
        const text = `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
        this.res.write(this.fault.duplicate ? text + text : text);
    }
}
