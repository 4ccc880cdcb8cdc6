/**
 * An endpoint as the proofs have it: it bears few calls when cold and more with each one that it completes, and can be
 * made slow, failing, silent or cold, or be crashed. It writes down what it was asked to do.
 */
import type { Clock } from "../src/common/Types.js";
import type { EndpointSettings } from "../src/config/Schema.js";
import type { StageCall } from "../src/endpoints/Types.js";
import type { EngineStateMessage, LoadReportMessage, OrderMessage } from "../src/endpoints/Wire.js";
import { type History, type SeenCall, stageOutput } from "./History.js";

export type EndpointEnd =
    | { readonly kind: "done"; readonly output: string; readonly incarnation: string; }
    | { readonly kind: "failed"; readonly message: string; }
    /** The process ended in mid-call. */
    | { readonly kind: "crashed"; }
    /** The connection has fallen silent: nothing will come. */
    | { readonly kind: "silent"; };

/** An input with this key crashes each endpoint of the pool that it names. */
export interface PoisonInput {
    readonly crashes: string;
}

/** Time of one call, in milliseconds. */
const callMs = 40;
/** The load report shows what was so long ago, in milliseconds. */
const reportLagMs = 300;

interface Running {
    readonly end: (end: EndpointEnd) => void;
    /** Gives the caller nothing more, while the work goes on. */
    readonly detach: () => void;
}

export class ProofEndpoint {
    /** Calls take so many times as long. */
    public slowness = 1;
    /** So many of the next calls are run and fail. */
    public failures = 0;
    /** Called when a call has arrived and when it has been carried out. */
    public onStep: (step: "received" | "executed", call: StageCall) => void = () => undefined;
    public onOrder: () => void = () => undefined;
    private starts = 1;
    private warmth = 0;
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

    public get bearable(): number {
        return Math.min(this.settings.warmLimit, this.settings.coldLimit + this.warmth);
    }

    /** The process is replaced by a cold one; its calls in flight are lost. */
    public restart(): void {
        this.starts += 1;
        this.startedAtMs = this.clock.nowMs();
        this.chill();
        this.endAll({ kind: "crashed" });
    }

    /**
     * Turns cold without a restart, as when its model was swapped out. Only a warm one does: one that turned cold
     * between the first calls that it completes would give no sign of it, so that one restarts instead.
     */
    public turnCold(): void {
        if (this.bearable < this.settings.warmLimit) {
            this.restart();
            return;
        }
        this.chill();
    }

    /** Everything between a caller and this endpoint forgets the connections that are open now. */
    public silence(): void {
        for (const running of this.running) {
            running.detach();
        }
    }

    public async run(call: StageCall, signal: AbortSignal): Promise<EndpointEnd> {
        const seen = this.note(call);
        this.onStep("received", call);
        if (this.isPoison(call)) {
            this.countCrash(call);
            this.restart();
            return { kind: "crashed" };
        }
        return this.work(call, seen, signal);
    }

    /** Carries an order out, whatever its fencing number. */
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
        const state = this.bearable >= this.settings.warmLimit ? "warm" : this.warmth > 0 ? "warming" : "cold";
        return {
            incarnation: this.incarnation,
            state,
            uptimeMs: this.clock.nowMs() - this.startedAtMs,
            running,
            waiting: 0,
        };
    }

    private chill(): void {
        this.warmth = 0;
        this.coldAtMs = this.clock.nowMs();
    }

    private get incarnation(): string {
        return `${this.id}.${this.starts}`;
    }

    private work(call: StageCall, seen: SeenCall, signal: AbortSignal): Promise<EndpointEnd> {
        return new Promise(resolve => {
            const finish = (end: EndpointEnd) => {
                timer.dispose();
                signal.removeEventListener("abort", cancelled);
                if (!this.running.delete(running)) {
                    return;
                }
                this.noteLoad();
                this.noteEnd(call, seen, end);
                resolve(end);
            };
            const cancelled = () => finish({ kind: "crashed" });
            const timer = this.clock.setTimer(callMs * this.slowness, () => finish(this.result(call)));
            const running: Running = { end: finish, detach: () => resolve({ kind: "silent" }) };
            signal.addEventListener("abort", cancelled);
            this.running.add(running);
            this.noteLoad();
        });
    }

    private noteEnd(call: StageCall, seen: SeenCall, end: EndpointEnd): void {
        if (end.kind === "done" || end.kind === "failed") {
            seen.end = end.kind;
            this.warmth += 1;
            this.onStep("executed", call);
        }
    }

    private result(call: StageCall): EndpointEnd {
        if (this.failures > 0) {
            this.failures -= 1;
            return { kind: "failed", message: "the stage failed" };
        }
        const before = Object.values(call.body.previous).at(-1) ?? "";
        return {
            kind: "done",
            output: stageOutput(call.stage, call.body.input, before),
            incarnation: this.incarnation,
        };
    }

    private isPoison(call: StageCall): boolean {
        const { input } = call.body;
        return typeof input === "object" && input !== null && "crashes" in input
            && (input as PoisonInput).crashes === this.settings.pool;
    }

    private countCrash(call: StageCall): void {
        const name = JSON.stringify(call.body.input);
        this.history.crashes.set(name, (this.history.crashes.get(name) ?? 0) + 1);
    }

    private endAll(end: EndpointEnd): void {
        for (const running of [...this.running]) {
            running.end(end);
        }
    }

    private note(call: StageCall): SeenCall {
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
            bearable: this.bearable,
            sinceColdMs: nowMs - this.coldAtMs,
            end: undefined,
        };
        this.history.calls.push(seen);
        return seen;
    }

    private noteLoad(): void {
        this.loads.push({ atMs: this.clock.nowMs(), running: this.running.size });
        if (this.loads.length > keptLoads * 2) {
            this.loads.splice(0, keptLoads);
        }
    }
}

const keptLoads = 500;
