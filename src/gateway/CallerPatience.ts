/**
 * Callers of streams leave when no event arrives for a while, also before the first one. A request that can't bring its
 * first event by then is refused while the refusal can still reach the caller; one that has been sent to an endpoint
 * goes on until the caller has certainly left. Once events flow, only the gap between two of them is bounded.
 */
import type { Clock, Disposable } from "../common/Types.js";
import type { Route } from "../fleet/Types.js";
import { isStreamed } from "./Types.js";

/** A caller waits for an event for at least this long, and for these multiples of the objective and the gap. */
const minPatienceMs = 2000;
const objectiveFactor = 4;
const gapFactor = 8;
/**
 * Share of the patience, with a lower bound, reserved for the way of the request and of the refusal. The time at which
 * the caller sent the request is unknown here, and a host that has used up its processor time pauses for up to 70 ms.
 */
const marginShare = 0.06;
const minMarginMs = 150;
/** Share of the patience that is reserved at most for the reply of the endpoint. */
const maxReplyShare = 0.25;
/**
 * Silence of an endpoint for which every caller of a stream waits, with enough time left for another endpoint to bring
 * the next event.
 */
export const bearableSilenceMs = minPatienceMs * (1 - maxReplyShare) - minMarginMs;
/** Bounds of the retry advice: bursts end within seconds. */
const minRetryMs = 500;
const maxRetryMs = 1500;

/** How long a caller waits for an event of a stream; undefined when it waits until its deadline. */
export function patienceMs(route: Route): number | undefined {
    const { objectiveMs, gapMs = 0 } = route;
    return isStreamed(route)
        ? Math.max(minPatienceMs, objectiveMs * objectiveFactor, gapMs * gapFactor)
        : undefined;
}

interface CallerPatienceOptions {
    readonly route: Route;
    /** Arrival and deadline of the request, on the local clock. */
    readonly arrivedMs: number;
    readonly deadlineMs: number;
    /** Expected time from the start of an attempt to the first event. */
    readonly replyMs: number;
    readonly clock: Clock;
    /** True while an attempt at an endpoint is running. */
    readonly isAtEndpoint: () => boolean;
    /** True while the caller does not read what has been written. */
    readonly isBlocked: () => boolean;
    /** Called once, when waiting further is useless. */
    readonly onRunOut: () => void;
}

export class CallerPatience {
    /** By when the first event must come, on the local clock. At most the deadline. */
    public readonly firstEventByMs: number;
    private readonly patienceMs: number;
    private readonly marginMs: number;
    /** Time reserved for the reply of an endpoint. */
    private readonly replyMs: number;
    /** An attempt that begins later is not expected to bring the first event in time. */
    private readonly startByMs: number;
    private lastEventMs: number | undefined;
    private timer: Disposable | undefined;
    private isRunOut = false;

    public constructor(private readonly options: CallerPatienceOptions) {
        const { route, arrivedMs, deadlineMs, replyMs } = options;
        this.patienceMs = patienceMs(route) ?? Infinity;
        this.marginMs = Number.isFinite(this.patienceMs) ? Math.max(minMarginMs, this.patienceMs * marginShare) : 0;
        const limitMs = arrivedMs + this.patienceMs - this.marginMs;
        this.firstEventByMs = Math.min(deadlineMs, limitMs);
        this.replyMs = Math.min(replyMs, this.patienceMs * maxReplyShare);
        this.startByMs = limitMs - this.replyMs;
    }

    /** True once waiting has become useless. */
    public get hasRunOut(): boolean {
        return this.isRunOut;
    }

    /** True when no event has come and an attempt that begins now would bring the first one too late. */
    public get isTooLateToStart(): boolean {
        return this.lastEventMs === undefined && this.options.clock.nowMs() >= this.startByMs;
    }

    /** By when the next event must come, on the local clock. At most the deadline. */
    public get nextEventByMs(): number {
        return this.nextEventBy(this.marginMs);
    }

    /**
     * True while an attempt that begins now is expected to bring the next event in time. Half of the margin is used up,
     * since a silence that all callers bear is only noticed after it.
     */
    public get leavesTimeForAttempt(): boolean {
        return this.options.clock.nowMs() < this.nextEventBy(this.marginMs / 2) - this.replyMs;
    }

    /** Begins to watch the time. */
    public start(): void {
        if (this.startByMs < this.options.deadlineMs) {
            this.armAt(this.startByMs);
        }
    }

    /** Ends the watch. */
    public stop(): void {
        this.timer?.dispose();
    }

    /** Records an event of the stream. */
    public recordEvent(): void {
        this.lastEventMs = this.options.clock.nowMs();
    }

    /**
     * When the caller may come back, given how long the request would take then; undefined when that would not help
     * within its deadline.
     */
    public retryAfterMs(neededMs: number): number | undefined {
        const missingMs = neededMs - (this.patienceMs - this.marginMs);
        const retryMs = Math.min(maxRetryMs, Math.max(minRetryMs, missingMs));
        return this.options.clock.nowMs() + retryMs + neededMs <= this.options.deadlineMs ? retryMs : undefined;
    }

    private nextEventBy(marginMs: number): number {
        const { arrivedMs, deadlineMs } = this.options;
        return Math.min(deadlineMs, (this.lastEventMs ?? arrivedMs) + this.patienceMs - marginMs);
    }

    private armAt(atMs: number): void {
        const delayMs = Math.max(0, atMs - this.options.clock.nowMs());
        this.timer = this.options.clock.setTimer(delayMs, () => this.check());
    }

    /** The timer is not set anew for each event, but only when it ends. */
    private check(): void {
        const { arrivedMs, clock, isAtEndpoint, isBlocked, onRunOut } = this.options;
        if (isBlocked()) {
            this.lastEventMs = clock.nowMs();
        }
        const leavesMs = (this.lastEventMs ?? arrivedMs) + this.patienceMs;
        const mayGoOn = this.lastEventMs !== undefined || isAtEndpoint();
        if (mayGoOn && clock.nowMs() < leavesMs) {
            this.armAt(leavesMs);
            return;
        }
        this.isRunOut = true;
        onRunOut();
    }
}
