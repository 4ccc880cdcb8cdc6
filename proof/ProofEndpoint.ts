/**
 * A simulated endpoint. Its capacity is low when cold and grows with each completed call. It can be made slow, failing,
 * silent or cold, or be crashed, and it records its calls and orders in the history.
 */
import type { Clock } from "../src/common/Types.js";
import type { EndpointSettings } from "../src/config/Schema.js";
import type { StageCall } from "../src/endpoints/Types.js";
import type { EngineStateMessage, LoadReportMessage, OrderMessage } from "../src/endpoints/Wire.js";
import { type History, type SeenCall, stageOutput } from "./History.js";

export type CallEnd =
    | { readonly kind: "done"; readonly output: string; readonly incarnation: string; }
    | { readonly kind: "failed"; readonly message: string; }
    /** The process ended during the call. */
    | { readonly kind: "crashed"; }
    /** The connection is silent: no reply will arrive. */
    | { readonly kind: "silent"; };

/** An input that crashes every endpoint of the named pool. */
export interface CrashingInput {
    readonly crashes: string;
}

/** Duration of one call, in milliseconds. */
const callMs = 40;
/** Age of the load shown by a load report, in milliseconds. */
const reportLagMs = 300;

interface Running {
    readonly end: (end: CallEnd) => void;
    /** Makes the connection silent for the caller, while the call keeps running. */
    readonly detach: () => void;
}

export class ProofEndpoint {
    /** Factor on the duration of each call; 1 is normal. */
    public durationFactor = 1;
    /** Number of calls, starting with the next, that run and then fail. */
    public remainingFailures = 0;
    /** Called when a call has arrived and when it has been executed. */
    public onStep: (step: "received" | "executed", call: StageCall) => void = () => undefined;
    public onOrder: () => void = () => undefined;
    private startCount = 1;
    private completedSinceCold = 0;
    private coldAtMs = Number.NEGATIVE_INFINITY;
    private startedAtMs: number;
    private readonly running = new Set<Running>();
    private readonly loads: { readonly atMs: number; readonly running: number; }[] = [];

    public constructor(
        public readonly id: string,
        public readonly settings: EndpointSettings,
        private readonly clock: Clock,
        private readonly history: History,
    ) {
        this.startedAtMs = clock.nowMs();
    }

    /** Number of concurrent calls that the endpoint can handle now. */
    public get capacity(): number {
        return Math.min(this.settings.warmLimit, this.settings.coldLimit + this.completedSinceCold);
    }

    /** Replaces the process by a cold one; calls in flight are lost. */
    public restart(): void {
        this.startCount += 1;
        this.startedAtMs = this.clock.nowMs();
        this.resetWarmUp();
        this.endAll({ kind: "crashed" });
    }

    /**
     * Turns a warm endpoint cold without a restart, as when its model was swapped out. One that is still warming up
     * restarts instead, since its slot owner could not detect that it turned cold again during its first calls.
     */
    public turnCold(): void {
        if (this.capacity < this.settings.warmLimit) {
            this.restart();
            return;
        }
        this.resetWarmUp();
    }

    /** Makes all open connections silent, as when a network device drops their state. */
    public silence(): void {
        for (const running of this.running) {
            running.detach();
        }
    }

    /** Runs a call; aborting the signal ends it like a crash. */
    public async run(call: StageCall, signal: AbortSignal): Promise<CallEnd> {
        const seen = this.recordCall(call);
        this.onStep("received", call);
        if (this.isCrashing(call)) {
            this.countCrash(call);
            this.restart();
            return { kind: "crashed" };
        }
        return this.work(call, seen, signal);
    }

    /** Executes an order without checking its fencing number. */
    public order({ fencing, orderId }: OrderMessage): void {
        this.history.orders.push({ endpoint: this.id, fencing, orderId, atMs: this.clock.nowMs() });
        this.onOrder();
    }

    public state(): EngineStateMessage {
        return { incarnation: this.incarnation, role: "both", models: [], adapters: [], fencing: 0 };
    }

    public report(): LoadReportMessage {
        const seenUntilMs = this.clock.nowMs() - reportLagMs;
        const running = this.loads.filter(one => one.atMs <= seenUntilMs).at(-1)?.running ?? 0;
        const state = this.capacity >= this.settings.warmLimit
            ? "warm"
            : this.completedSinceCold > 0
            ? "warming"
            : "cold";
        return {
            incarnation: this.incarnation,
            state,
            uptimeMs: this.clock.nowMs() - this.startedAtMs,
            running,
            waiting: 0,
        };
    }

    private resetWarmUp(): void {
        this.completedSinceCold = 0;
        this.coldAtMs = this.clock.nowMs();
    }

    private get incarnation(): string {
        return `${this.id}.${this.startCount}`;
    }

    private work(call: StageCall, seen: SeenCall, signal: AbortSignal): Promise<CallEnd> {
        return new Promise(resolve => {
            const finish = (end: CallEnd) => {
                timer.dispose();
                signal.removeEventListener("abort", cancelled);
                if (!this.running.delete(running)) {
                    return;
                }
                this.recordLoad();
                this.recordEnd(call, seen, end);
                resolve(end);
            };
            const cancelled = () => finish({ kind: "crashed" });
            const timer = this.clock.setTimer(callMs * this.durationFactor, () => finish(this.result(call)));
            const running: Running = { end: finish, detach: () => resolve({ kind: "silent" }) };
            signal.addEventListener("abort", cancelled);
            this.running.add(running);
            this.recordLoad();
        });
    }

    private recordEnd(call: StageCall, seen: SeenCall, end: CallEnd): void {
        if (end.kind === "done" || end.kind === "failed") {
            seen.end = end.kind;
            this.completedSinceCold += 1;
            this.onStep("executed", call);
        }
    }

    private result(call: StageCall): CallEnd {
        if (this.remainingFailures > 0) {
            this.remainingFailures -= 1;
            return { kind: "failed", message: "the stage failed" };
        }
        const before = Object.values(call.body.previous).at(-1) ?? "";
        return {
            kind: "done",
            output: stageOutput(call.stage, call.body.input, before),
            incarnation: this.incarnation,
        };
    }

    private isCrashing(call: StageCall): boolean {
        const { input } = call.body;
        return typeof input === "object" && input !== null && "crashes" in input
            && (input as CrashingInput).crashes === this.settings.pool;
    }

    private countCrash(call: StageCall): void {
        const name = JSON.stringify(call.body.input);
        this.history.crashes.set(name, (this.history.crashes.get(name) ?? 0) + 1);
    }

    private endAll(end: CallEnd): void {
        for (const running of [...this.running]) {
            running.end(end);
        }
    }

    private recordCall(call: StageCall): SeenCall {
        const nowMs = this.clock.nowMs();
        const seen: SeenCall = {
            endpoint: this.id,
            request: call.request,
            stage: call.stage,
            attempt: call.attempt,
            input: call.body.input,
            idempotent: call.idempotent,
            atMs: nowMs,
            inFlight: this.running.size + 1,
            bearable: this.capacity,
            sinceColdMs: nowMs - this.coldAtMs,
            end: undefined,
        };
        this.history.calls.push(seen);
        return seen;
    }

    private recordLoad(): void {
        this.loads.push({ atMs: this.clock.nowMs(), running: this.running.size });
        if (this.loads.length > minKeptLoads * 2) {
            this.loads.splice(0, minKeptLoads);
        }
    }
}

/** Minimum number of load samples that are kept when older ones are removed. */
const minKeptLoads = 500;
