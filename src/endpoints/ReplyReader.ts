/**
 * Reads the reply of one stage call and accepts it only if it is complete and belongs to the call. Checks the echo of
 * request, stage and attempt, contiguous offsets, declared length, digest, and the end event of a stream.
 */
import { createHash } from "node:crypto";
import { StringDecoder } from "node:string_decoder";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import type { StageCall, StageUsage } from "./Types.js";
import { endEventSchema, outputEventSchema, stageReplySchema } from "./Wire.js";

/** A reply that must not be used. */
export interface ReplyFault {
    readonly kind: "bad-reply";
    readonly message: string;
}

/** The output of a complete, checked reply. */
export interface WholeOutput {
    readonly output: string;
    readonly usage: StageUsage;
    readonly incarnation: string;
}

/** Maximum length of one event of a stream, in characters. */
const maxEventChars = 4_194_304;

function fault(message: string): ReplyFault {
    return { kind: "bad-reply", message };
}

function digestOf(output: string): string {
    return createHash("sha256").update(output, "utf8").digest("hex");
}

function parse<T>(schema: z.ZodType<T>, text: string): Either<ReplyFault, T> {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? Right(parsed.data) : Left(fault(`malformed reply: ${parsed.error.message}`));
    }
    catch {
        return Left(fault("the reply is not JSON"));
    }
}

interface Echo {
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
}

function checkEcho(call: StageCall, echo: Echo): ReplyFault | undefined {
    const matches = echo.request === call.request && echo.stage === call.stage && echo.attempt === call.attempt;
    return matches ? undefined : fault(`the reply is for call ${echo.request}/${echo.stage}/${echo.attempt}`);
}

function checkWhole(output: string, declared: { readonly length: number; readonly digest: string; }) {
    if (output.length !== declared.length) {
        return fault(`the output has ${output.length} characters, but its declared length is ${declared.length}`);
    }
    return digestOf(output) === declared.digest ? undefined : fault("the output does not match its digest");
}

/** Parses and checks a complete JSON reply. */
export function readWholeReply(call: StageCall, text: string): Either<ReplyFault, WholeOutput> {
    return parse(stageReplySchema, text).chain(reply => {
        const bad = checkEcho(call, reply) ?? checkWhole(reply.output, reply);
        const { output, usage, incarnation } = reply;
        return bad === undefined ? Right({ output, usage, incarnation }) : Left(bad);
    });
}

/** Reads server-sent events as they arrive. */
export class EventStreamReader {
    private readonly decoder = new StringDecoder("utf8");
    private buffer = "";
    private text: string;
    private ended: WholeOutput | undefined;
    private endpointIncarnation: string | undefined;

    public constructor(
        private readonly call: StageCall,
        private readonly onOutput: ((offset: number, text: string) => void) | undefined,
    ) {
        this.text = call.resumeFrom?.received ?? "";
    }

    /** Output received so far; checked to belong to this call and to be contiguous. */
    public get received(): string {
        return this.text;
    }

    /** The whole output; undefined until the end event has arrived. */
    public get whole(): WholeOutput | undefined {
        return this.ended;
    }

    public get incarnation(): string | undefined {
        return this.endpointIncarnation;
    }

    /** Processes a chunk of the stream; returns a fault when the reply must not be used. */
    public write(chunk: Buffer): ReplyFault | undefined {
        this.buffer += this.decoder.write(chunk).replaceAll("\r\n", "\n");
        for (let end = this.buffer.indexOf("\n\n"); end >= 0; end = this.buffer.indexOf("\n\n")) {
            const block = this.buffer.slice(0, end);
            this.buffer = this.buffer.slice(end + 2);
            const bad = this.handleBlock(block);
            if (bad !== undefined) {
                return bad;
            }
        }
        return this.buffer.length > maxEventChars ? fault("an event of the stream is too long") : undefined;
    }

    private handleBlock(block: string): ReplyFault | undefined {
        const lines = block.split("\n");
        const valueOf = (name: string) =>
            lines.filter(line => line.startsWith(`${name}:`)).map(line => line.slice(name.length + 1).trimStart());
        const data = valueOf("data").join("\n");
        switch (valueOf("event")[0]) {
            case "output":
                return this.handleOutput(data);
            case "end":
                return this.handleEnd(data);
            default:
                // Comments and events of later protocol versions are ignored.
                return undefined;
        }
    }

    private handleOutput(data: string): ReplyFault | undefined {
        return parse(outputEventSchema, data).caseOf({
            Left: bad => bad,
            Right: event => {
                const bad = checkEcho(this.call, event) ?? this.checkIncarnation(event.incarnation);
                if (bad !== undefined) {
                    return bad;
                }
                if (event.offset < this.text.length) {
                    const known = this.text.slice(event.offset, event.offset + event.text.length);
                    return known === event.text ? undefined : fault("repeated output differs from earlier output");
                }
                if (event.offset > this.text.length || this.ended !== undefined) {
                    return fault(`output at offset ${event.offset}, expected offset ${this.text.length}`);
                }
                this.text += event.text;
                this.onOutput?.(event.offset, event.text);
                return undefined;
            },
        });
    }

    private handleEnd(data: string): ReplyFault | undefined {
        return parse(endEventSchema, data).caseOf({
            Left: bad => bad,
            Right: event => {
                const bad = checkEcho(this.call, event)
                    ?? this.checkIncarnation(event.incarnation)
                    ?? checkWhole(this.text, event);
                if (bad === undefined) {
                    this.ended = { output: this.text, usage: event.usage, incarnation: event.incarnation };
                }
                return bad;
            },
        });
    }

    private checkIncarnation(incarnation: string): ReplyFault | undefined {
        const changed = this.endpointIncarnation !== undefined && this.endpointIncarnation !== incarnation;
        this.endpointIncarnation = incarnation;
        return changed ? fault("the incarnation of the endpoint changed within the stream") : undefined;
    }
}
