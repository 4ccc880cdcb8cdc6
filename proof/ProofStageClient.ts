/**
 * Carries stage calls from one host to the proofs' endpoints. It keeps to the order of the real client: connect, look
 * once more whether the call may go, mark the ledger, send; and it keeps a slot while its call may still be running.
 */
import { type Either, Left, Right } from "purify-ts";
import type { DispatchLedger } from "../src/common/Outcome.js";
import type { Clock, EndpointId } from "../src/common/Types.js";
import type { CallEvidence, Slot, StageCall, StageCallError, StageClient, StageReply } from "../src/endpoints/Types.js";
import type { EndpointEnd, ProofEndpoint } from "./ProofEndpoint.js";

/** What the client needs of the site. */
export interface Wire {
    endpoint(id: EndpointId): ProofEndpoint;
    isReachable(id: EndpointId): boolean;
    /** True once the client's process is dead: nothing that it does has any effect. */
    readonly isDead: boolean;
}

type Result = Either<StageCallError, StageReply>;

/** Time of one way, and of a connection that is not answered, in milliseconds. */
const wayMs = 1;
const connectMs = 1000;
/** Time without a first byte after which a call is given up, in milliseconds. */
const silenceMs = 4000;

export class ProofStageClient implements StageClient {
    public constructor(private readonly wire: Wire, private readonly clock: Clock) {}

    public async call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Result> {
        const connected = this.wire.isReachable(slot.endpoint);
        await this.clock.sleep(connected ? wayMs : connectMs, signal);
        await this.dieIfDead();
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
        const endpoint = this.wire.endpoint(slot.endpoint);
        const cancel = new AbortController();
        const run = this.run(call, endpoint, cancel.signal);
        const end = await this.firstOf(run, call, signal);
        await this.dieIfDead();
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

    /** The call's end on the endpoint; silent where the reply can't come back. */
    private async run(call: StageCall, endpoint: ProofEndpoint, signal: AbortSignal): Promise<EndpointEnd> {
        await this.clock.sleep(wayMs);
        if (!this.wire.isReachable(endpoint.id as EndpointId)) {
            return { kind: "silent" };
        }
        const end = await endpoint.run(call, signal);
        await this.clock.sleep(wayMs);
        return this.wire.isReachable(endpoint.id as EndpointId) ? end : { kind: "silent" };
    }

    /** The end of the call, or silence once it is given up: by the caller, at its deadline, or after long silence. */
    private firstOf(run: Promise<EndpointEnd>, call: StageCall, signal: AbortSignal): Promise<EndpointEnd> {
        return new Promise(resolve => {
            const giveUp = () => {
                timer.dispose();
                signal.removeEventListener("abort", giveUp);
                resolve({ kind: "silent" });
            };
            const patienceMs = Math.min(silenceMs, call.deadlineMs - this.clock.nowMs());
            const timer = this.clock.setTimer(Math.max(0, patienceMs), giveUp);
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

    /** Cancels the call on its endpoint and keeps the slot until that is certain, or the deadline has passed. */
    private async releaseOnceEnded(
        call: StageCall,
        slot: Slot,
        cancel: AbortController,
        run: Promise<EndpointEnd>,
        isCancelled: boolean,
    ): Promise<void> {
        while (this.clock.nowMs() < call.deadlineMs && !this.wire.isDead) {
            if (this.wire.isReachable(slot.endpoint)) {
                cancel.abort();
                await Promise.race([run, this.clock.sleep(wayMs * 2)]);
                break;
            }
            await this.clock.sleep(cancelEveryMs);
        }
        if (!this.wire.isDead) {
            slot.release(isCancelled ? "cancelled" : "lost");
        }
    }

    private async dieIfDead(): Promise<void> {
        if (this.wire.isDead) {
            await new Promise<never>(() => undefined);
        }
    }
}

function usageOf(output: string, busyMs: number) {
    return { promptTokens: 0, cachedTokens: 0, outputTokens: Math.ceil(output.length / 4), busyMs };
}

const cancelEveryMs = 500;
