/**
 * Writes an answer as server-sent events: `output` events with offsets in characters, then one final `end` event with
 * length and digest, or one final `failure` event. The answer is complete only if it matches the `end` event.
 */
import { createHash } from "node:crypto";
import type * as http from "node:http";
import type { Failure } from "../common/Outcome.js";
import type { RequestId } from "../common/Types.js";
import type { OutputListener } from "../pipeline/Types.js";
import { failureBody, outcomeHeader, requestHeader } from "./HttpStatus.js";

/** SHA-256 of the UTF-8 text, in hexadecimal. */
export function digestOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

export class AnswerStream implements OutputListener {
    private sent = "";
    private started = false;

    public constructor(private readonly res: http.ServerResponse, private readonly request: RequestId) {}

    /** True once the status line has been sent; after that, a failure can be reported only as an event. */
    public get hasStarted(): boolean {
        return this.started;
    }

    /** Sends the part of `text` that continues the output sent so far; drops repeated text and text after a gap. */
    public onOutput(offset: number, text: string): void {
        const overlapLength = this.sent.length - offset;
        if (overlapLength < 0 || overlapLength >= text.length) {
            return;
        }
        this.start();
        const newText = text.slice(overlapLength);
        this.write("output", { request: this.request, offset: this.sent.length, text: newText });
        this.sent += newText;
    }

    /** Sends the rest of the answer and the end event. False when the output sent is not a prefix of the answer. */
    public finish(output: string): boolean {
        if (!output.startsWith(this.sent)) {
            return false;
        }
        this.start();
        if (output.length > this.sent.length) {
            this.onOutput(this.sent.length, output.slice(this.sent.length));
        }
        this.write("end", {
            request: this.request,
            outcome: "answered",
            length: output.length,
            digest: digestOf(output),
        });
        this.res.end();
        return true;
    }

    /** Ends the stream with a failure event; its HTTP status is 200 in any case. */
    public fail(failure: Failure): void {
        this.start();
        this.write("failure", failureBody(this.request, failure));
        this.res.end();
    }

    private start(): void {
        if (this.started) {
            return;
        }
        this.started = true;
        this.res.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            [requestHeader]: this.request,
            [outcomeHeader]: "see-final-event",
        });
    }

    private write(event: string, data: unknown): void {
        this.res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
    }
}
