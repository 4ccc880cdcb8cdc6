/**
 * A stage client without endpoints: a script sets how long each call takes and how it ends. The order is that of the
 * real client: begin the slot, mark the ledger, send the call. Nothing is sent after the signal was aborted.
 */
import { type Either, Left, Right } from "purify-ts";
import type { DispatchLedger } from "../../src/common/Outcome.js";
import type { Clock, EndpointId } from "../../src/common/Types.js";
import type { CallEnd, Slot, StageCall, StageCallError, StageClient, StageReply } from "../../src/endpoints/Types.js";

/** How a call behaves; `ms` is its duration in milliseconds. */
export type Behaviour =
    | { readonly kind: "reply"; readonly ms: number; readonly output?: string; readonly chunks?: number; }
    | { readonly kind: "lost"; readonly ms: number; readonly crashed?: boolean; readonly received?: string; }
    /** Sent, with no reply until the call's deadline. */
    | { readonly kind: "silent"; }
    | { readonly kind: "never-sent" | "refused" | "stage-error" | "bad-reply"; readonly ms: number; };

export type Script = (call: StageCall, endpoint: EndpointId) => Behaviour;

export interface SentCall {
    readonly call: StageCall;
    readonly endpoint: EndpointId;
    readonly atMs: number;
    cancelled: boolean;
}

export function outputOf(call: StageCall): string {
    return `${call.stage}(${JSON.stringify(call.body.input)})`;
}

const unsentError = (message: string): StageCallError => ({ kind: "never-sent", message });

export class FakeStageClient implements StageClient {
    /** Calls that were sent, in order. */
    public readonly sent: SentCall[] = [];

    public constructor(private readonly clock: Clock, public script: Script = () => ({ kind: "reply", ms: 10 })) {}

    public sentFor(stage: string): SentCall[] {
        return this.sent.filter(one => one.call.stage === stage);
    }

    public async call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Either<StageCallError, StageReply>> {
        const behaviour = this.script(call, slot.endpoint);
        if (behaviour.kind === "never-sent") {
            await this.clock.sleep(behaviour.ms, signal);
        }
        if (behaviour.kind === "never-sent" || signal.aborted || !slot.begin()) {
            slot.release("never-sent");
            return Left(unsentError("connection refused"));
        }
        ledger.markSent(call.idempotent);
        const sent: SentCall = { call, endpoint: slot.endpoint, atMs: this.clock.nowMs(), cancelled: false };
        this.sent.push(sent);
        const result = await this.perform(call, behaviour, signal, onOutput);
        sent.cancelled = signal.aborted;
        slot.release(this.endOf(result));
        return result;
    }

    private async perform(
        call: StageCall,
        behaviour: Behaviour,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Either<StageCallError, StageReply>> {
        const startedMs = this.clock.nowMs();
        switch (behaviour.kind) {
            case "reply":
                return this.reply(call, behaviour, startedMs, signal, onOutput);
            case "silent":
                await this.clock.sleep(Math.max(0, call.deadlineMs - startedMs), signal);
                return this.lost("silent", false, "", signal);
            case "lost": {
                const received = behaviour.received ?? "";
                onOutput?.(0, received);
                await this.clock.sleep(behaviour.ms, signal);
                return this.lost("connection broke", behaviour.crashed ?? false, received, signal);
            }
            default:
                await this.clock.sleep(behaviour.ms, signal);
                return Left(this.errorOf(behaviour.kind));
        }
    }

    private async reply(
        call: StageCall,
        behaviour: Extract<Behaviour, { kind: "reply"; }>,
        startedMs: number,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Either<StageCallError, StageReply>> {
        const output = behaviour.output ?? outputOf(call);
        const from = call.resumeFrom?.offset ?? 0;
        const chunks = behaviour.chunks ?? 1;
        const size = Math.max(1, Math.ceil((output.length - from) / chunks));
        for (let offset = from; offset < output.length; offset += size) {
            await this.clock.sleep(behaviour.ms / chunks, signal);
            if (signal.aborted) {
                return Left({ kind: "cancelled", message: "cancelled" });
            }
            onOutput?.(offset, output.slice(offset, offset + size));
        }
        const totalMs = this.clock.nowMs() - startedMs;
        return Right({
            output,
            usage: { promptTokens: 10, cachedTokens: 0, outputTokens: output.length, busyMs: totalMs },
            evidence: { firstByteMs: totalMs, totalMs, endpointIncarnation: "1" },
        });
    }

    private lost(
        message: string,
        crashed: boolean,
        received: string,
        signal: AbortSignal,
    ): Either<StageCallError, StageReply> {
        return Left(signal.aborted ? { kind: "cancelled", message } : { kind: "lost", message, crashed, received });
    }

    private errorOf(kind: "never-sent" | "refused" | "stage-error" | "bad-reply"): StageCallError {
        return kind === "refused" ? { kind, message: "full", state: "overloaded" } : { kind, message: kind };
    }

    private endOf(result: Either<StageCallError, StageReply>): CallEnd {
        if (result.isRight()) {
            return "succeeded";
        }
        const error = result.extract() as StageCallError;
        return error.kind === "lost" ? "lost" : error.kind === "cancelled" ? "cancelled" : "failed";
    }
}
