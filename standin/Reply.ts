/**
 * Writes the reply of a stage call, whole or as server-sent events, and spoils it as the control path asks: late,
 * short, doubled, or named for another request.
 */
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { Clock } from "../src/common/Types.js";
import type { StageUsage } from "../src/endpoints/Types.js";
import { sendJson } from "./StandInHttpServer.js";
import type { ControlMessage } from "./Types.js";

/** How long a reply that is to be swapped waits for another one, in milliseconds. */
const swapWaitMs = 300;

export interface Echo {
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
    readonly incarnation: string;
}

export interface ReplyContent {
    readonly echo: Echo;
    readonly output: string;
}

/** How one reply is spoilt. */
export interface Spoiling {
    readonly lateMs: number;
    readonly short: boolean;
    readonly swap: boolean;
    readonly duplicate: boolean;
}

/** Faults that are on, and the count of replies that they still apply to. */
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

    public next(): Spoiling {
        const spoiling = {
            lateMs: this.lateMs,
            short: this.short > 0,
            swap: this.swap > 0,
            duplicate: this.duplicate > 0,
        };
        this.short = Math.max(0, this.short - 1);
        this.swap = Math.max(0, this.swap - 1);
        this.duplicate = Math.max(0, this.duplicate - 1);
        return spoiling;
    }

    /** Exchanges two replies; one that finds no other is named for a request that does not exist. */
    public async exchange(content: ReplyContent): Promise<ReplyContent> {
        const partner = this.partner;
        if (partner !== undefined) {
            this.partner = undefined;
            partner.give(content);
            return partner.content;
        }
        return new Promise(resolve => {
            const timer = this.clock.setTimer(swapWaitMs, () => {
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

export function digestOf(output: string): string {
    return createHash("sha256").update(output, "utf8").digest("hex");
}

/** Sends a whole reply as JSON. */
export function sendWhole(res: ServerResponse, content: ReplyContent, usage: StageUsage, spoiling: Spoiling): void {
    const { echo, output } = content;
    const body = {
        ...echo,
        output: spoiling.short ? output.slice(0, output.length / 2) : output,
        length: output.length,
        digest: digestOf(output),
        usage,
    };
    const socket = res.socket;
    sendJson(res, 200, body);
    if (spoiling.duplicate) {
        const text = JSON.stringify(body);
        const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(text)}`;
        res.once("finish", () => socket?.write(`${head}\r\n\r\n${text}`));
    }
}

/** A stream of output events and their end. */
export class EventStream {
    private sentChunks = 0;

    public constructor(
        private readonly res: ServerResponse,
        private readonly content: ReplyContent,
        private readonly spoiling: Spoiling,
    ) {
        res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    }

    public output(offset: number, text: string): void {
        this.sentChunks += 1;
        // A short stream loses one chunk in its middle.
        if (!this.spoiling.short || this.sentChunks !== 2) {
            this.write("output", { ...this.content.echo, offset, text });
        }
    }

    public end(usage: StageUsage): void {
        const { echo, output } = this.content;
        // A short stream of few chunks has no end either.
        if (!this.spoiling.short || this.sentChunks >= 2) {
            this.write("end", { ...echo, length: output.length, digest: digestOf(output), usage });
        }
        this.res.end();
    }

    private write(event: string, data: unknown): void {
        const text = `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
        this.res.write(this.spoiling.duplicate ? text + text : text);
    }
}
