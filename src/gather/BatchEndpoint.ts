/**
 * State that a gatherer keeps for one endpoint of a stage's service: running calls, result storage, speed relative to
 * the configured times, and backoff after failures.
 */
import { Backoff } from "../common/Backoff.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";
import type { EndpointSpeeds } from "../load/Types.js";
import { EndpointStorage } from "./EndpointStorage.js";

/** Weight of the newest call in the moving average of call times. */
const newestWeight = 0.3;
/** Backoff after the first failure; doubled with each consecutive one. */
const initialBackoffMs = 200;
/** Upper bound of the backoff. A retry costs only one piece, and a longer backoff would outlast most failures. */
const maxBackoffMs = 1600;
/** Pause after the endpoint refused a call because all its slots were taken. */
const busyPauseMs = 60;
/** Pause after none of a call's results fit into the endpoint's storage; about the time until some are freed. */
const storageFullPauseMs = 100;
/** Pause after no queued piece could be sent to the endpoint. */
const idlePauseMs = 20;
const msPerS = 1000;
export class BatchEndpoint {
    public readonly storage: EndpointStorage;
    /** Since when a call waits for more pieces; undefined when none does. */
    public heldSinceMs: number | undefined;
    /** True while the endpoint's report on its storage is awaited. */
    public isAwaitingReport = false;
    /** Calls sent to the endpoint that have not ended. */
    public runningCalls = 0;
    /** Moving average of measured call time divided by configured call time. */
    private measuredSlowness: number;
    /** Moving average of the same, divided by the slowness that the endpoint stated. */
    private statedFactor = 1;
    private readonly backoff: Backoff;
    /** True after a lost reply, until a call succeeds. */
    private hasLostReply = false;

    public constructor(
        private current: ListedEndpoint,
        private readonly clock: Clock,
        private readonly notices: EndpointNotices,
        private readonly speeds?: EndpointSpeeds,
    ) {
        this.storage = new EndpointStorage(clock);
        this.measuredSlowness = speeds?.slowness(current.id) ?? 1;
        this.backoff = new Backoff(clock, initialBackoffMs, maxBackoffMs);
    }

    public get id(): EndpointId {
        return this.current.id;
    }

    public get listed(): ListedEndpoint {
        return this.current;
    }

    /** Sets the endpoint's current entry in the list. A new instance has none of the results of the former one. */
    public setListed(listed: ListedEndpoint): void {
        if (listed.instance !== this.current.instance) {
            this.storage.clear();
        }
        this.current = listed;
    }

    /** Call time divided by the configured one; follows what the endpoint states of its speed, to any host. */
    public get slowness(): number {
        const stated = this.speeds?.slowness(this.id);
        return stated === undefined ? this.measuredSlowness : this.statedFactor * stated;
    }

    /** True when the endpoint has a free slot and is neither in backoff nor paused. */
    public canStartCall(traits: BatchTraits): boolean {
        return this.runningCalls < traits.slots && !this.isAwaitingReport && this.clock.nowMs() >= this.nextCallMs;
    }

    /** End of the current or last backoff or pause, on the local clock. */
    public get nextCallMs(): number {
        return Math.max(this.backoff.endMs, this.notices.pauseEndMs(this.id));
    }

    /** True after a failure, until a call succeeds. A suspect endpoint gets one piece at a time. */
    public get isSuspect(): boolean {
        return this.backoff.consecutiveFailures > 0 || this.hasLostReply;
    }

    /** Expected duration of a call with `pieces` pieces, in milliseconds. */
    public expectedMs(traits: BatchTraits, pieces: number): number {
        return (traits.callMs + pieces * traits.pieceMs) * this.slowness;
    }

    /** Pieces per millisecond with full calls, as far as the endpoint limits its request rate. */
    public piecesPerMs(traits: BatchTraits): number {
        const callsPerMs = traits.slots / this.expectedMs(traits, traits.batch);
        const limitPerMs = (this.notices.limitPerSecond(this.id) ?? Infinity) / msPerS;
        return Math.min(callsPerMs, limitPerMs) * traits.batch;
    }

    /** Counts a running call and reserves `bytes` of storage for its results. */
    public callStarted(bytes: number): void {
        this.runningCalls += 1;
        this.storage.reserve(bytes);
    }

    /** Ends a call that was started with the same number of bytes. */
    public callEnded(bytes: number): void {
        this.runningCalls -= 1;
        this.storage.endReservation(bytes);
    }

    /**
     * Records a successful call. `slowness` is its time divided by the configured time; undefined leaves the average
     * unchanged.
     */
    public recordSuccess(slowness: number | undefined): void {
        this.backoff.recordSuccess();
        this.hasLostReply = false;
        if (slowness !== undefined) {
            this.measuredSlowness += newestWeight * (slowness - this.measuredSlowness);
            const stated = this.speeds?.slowness(this.id);
            this.statedFactor += stated === undefined ? 0 : newestWeight * (slowness / stated - this.statedFactor);
        }
    }

    /** Records that no queued piece may be sent to the endpoint now. */
    public recordIdle(): void {
        this.backoff.waitAtLeast(idlePauseMs);
    }

    /** Records that a call's results did not fit; see {@link EndpointStorage.recordShortage}. */
    public recordStorageShortage(expectedBytes: number, storedBytes: number): void {
        this.storage.recordShortage(expectedBytes, storedBytes);
        if (storedBytes === 0) {
            this.backoff.waitAtLeast(storageFullPauseMs);
        }
    }

    /** Sends the endpoint no call for a time, since its limit on its request rate is used up. */
    public waitAtLeast(waitMs: number): void {
        this.backoff.waitAtLeast(waitMs);
    }

    /** Records that the endpoint had no free slot, which is not a failure. */
    public recordBusy(): void {
        this.backoff.waitAtLeast(busyPauseMs);
    }

    public recordFailure(): void {
        this.backoff.recordFailure();
    }

    /** Records a call whose reply was lost. */
    public recordLostReply(): void {
        this.hasLostReply = true;
    }
}
