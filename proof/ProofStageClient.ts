/**
 * Delivers stage calls from one host to the simulated endpoints, in the same order as the real client: connect, check
 * again that the call may be sent, mark the ledger, send. It holds the slot while the call may still be running.
 */
import { type Either, Left, Right } from "purify-ts";
import type { DispatchLedger } from "../src/common/Outcome.js";
import type { Clock, EndpointId } from "../src/common/Types.js";
import type { CallEvidence, Slot, StageCall, StageCallError, StageClient, StageReply } from "../src/endpoints/Types.js";
import type { CallEnd, ProofEndpoint } from "./ProofEndpoint.js";

/** Context of one host's clients: the site's endpoints, and whether the host can reach them or is dead. */
export interface HostContext {
    endpoint(id: EndpointId): ProofEndpoint;
    isReachable(id: EndpointId): boolean;
    /** True once the host's process is dead, after which its clients must have no effect. */
    readonly isDead: boolean;
}

type Result = Either<StageCallError, StageReply>;

/** One-way network delay, and time-out of a connection attempt, in milliseconds. */
const oneWayDelayMs = 1;
const connectTimeoutMs = 1000;
/** Time-out for the first byte of a reply, in milliseconds. */
const firstByteTimeoutMs = 4000;

export class ProofStageClient implements StageClient {
    public constructor(private readonly context: HostContext, private readonly clock: Clock) {}

    public async call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Result> {
        const connected = this.context.isReachable(slot.endpoint);
        await this.clock.sleep(connected ? oneWayDelayMs : connectTimeoutMs, signal);
        await this.hangIfDead();
        if (!connected && !signal.aborted) {
            slot.release("refused");
            return Left({ kind: "never-sent", message: "no connection" });
        }
        const refusal = this.refuseToSend(call, slot, ledger, signal);
        if (refusal !== undefined) {
            slot.release("never-sent");
            return Left(refusal);
        }
        ledger.markSent(call.idempotent);
        return this.exchange(call, slot, signal, onOutput);
    }

    private refuseToSend(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
    ): StageCallError | undefined {
        if (signal.aborted || ledger.isSealed) {
            return { kind: "cancelled", message: "cancelled before it was sent" };
        }
        const isLate = this.clock.nowMs() >= call.deadlineMs;
        return isLate || !slot.begin() ? { kind: "never-sent", message: "too late to send" } : undefined;
    }

    private async exchange(
        call: StageCall,
        slot: Slot,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Result> {
        const startMs = this.clock.nowMs();
        const endpoint = this.context.endpoint(slot.endpoint);
        const cancel = new AbortController();
        const run = this.run(call, endpoint, cancel.signal);
        const end = await this.waitForEnd(run, call, signal);
        await this.hangIfDead();
        const totalMs = this.clock.nowMs() - startMs;
        if (end.kind === "done") {
            const evidence: CallEvidence = { firstByteMs: totalMs, totalMs, endpointIncarnation: end.incarnation };
            slot.release("succeeded", evidence);
            onOutput?.(0, end.output);
            return Right({ output: end.output, usage: usageOf(end.output, totalMs), evidence });
        }
        if (end.kind === "failed") {
            slot.release("failed");
            return Left({ kind: "stage-error", message: end.message });
        }
        if (end.kind === "crashed") {
            slot.release("crashed");
            return Left({ kind: "lost", message: "connection reset", crashed: true, received: "" });
        }
        void this.releaseOnceEnded(call, slot, cancel, run, signal.aborted);
        return signal.aborted
            ? Left({ kind: "cancelled", message: "cancelled" })
            : Left({ kind: "lost", message: "silent", crashed: false, received: "" });
    }

    /** Runs the call on the endpoint; "silent" if the call or its reply cannot be delivered. */
    private async run(call: StageCall, endpoint: ProofEndpoint, signal: AbortSignal): Promise<CallEnd> {
        await this.clock.sleep(oneWayDelayMs);
        if (!this.context.isReachable(endpoint.id as EndpointId)) {
            return { kind: "silent" };
        }
        const end = await endpoint.run(call, signal);
        await this.clock.sleep(oneWayDelayMs);
        return this.context.isReachable(endpoint.id as EndpointId) ? end : { kind: "silent" };
    }

    /** Waits for the call's end; "silent" once it is cancelled, or its deadline or the first-byte time-out passes. */
    private waitForEnd(run: Promise<CallEnd>, call: StageCall, signal: AbortSignal): Promise<CallEnd> {
        return new Promise(resolve => {
            const giveUp = () => {
                timer.dispose();
                signal.removeEventListener("abort", giveUp);
                resolve({ kind: "silent" });
            };
            const timeoutMs = Math.min(firstByteTimeoutMs, call.deadlineMs - this.clock.nowMs());
            const timer = this.clock.setTimer(Math.max(0, timeoutMs), giveUp);
            signal.addEventListener("abort", giveUp);
            void run.then(end => {
                if (end.kind !== "silent") {
                    timer.dispose();
                    signal.removeEventListener("abort", giveUp);
                    resolve(end);
                }
            });
        });
    }

    /** Cancels the call on its endpoint, and holds the slot until that is confirmed or the deadline has passed. */
    private async releaseOnceEnded(
        call: StageCall,
        slot: Slot,
        cancel: AbortController,
        run: Promise<CallEnd>,
        isCancelled: boolean,
    ): Promise<void> {
        while (this.clock.nowMs() < call.deadlineMs && !this.context.isDead) {
            if (this.context.isReachable(slot.endpoint)) {
                cancel.abort();
                await Promise.race([run, this.clock.sleep(oneWayDelayMs * 2)]);
                break;
            }
            await this.clock.sleep(cancelRetryMs);
        }
        if (!this.context.isDead) {
            slot.release(isCancelled ? "cancelled" : "lost");
        }
    }

    /** Never resolves if the host is dead, so that the call has no further effect. */
    private async hangIfDead(): Promise<void> {
        if (this.context.isDead) {
            await new Promise<never>(() => undefined);
        }
    }
}

function usageOf(output: string, busyMs: number) {
    return { promptTokens: 0, cachedTokens: 0, outputTokens: Math.ceil(output.length / 4), busyMs };
}

/** Pause before the next attempt to cancel a call whose endpoint is unreachable, in milliseconds. */
const cancelRetryMs = 500;
