/**
 * One endpoint of a stage's service, as its gatherer sees it: the call that runs there, the room that its results take,
 * how its times compare with the configured ones, and whether it is to be left alone for a while.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";

/** Weight of the newest call in the average of times. */
const newestWeight = 0.3;
/** Pause after a failure, doubled with each further one in a row. */
const firstPauseMs = 200;
const longestPauseMs = 4000;
/** Pause after the endpoint had no place for a call. */
const fullPauseMs = 60;
/** Pause after its results found no room; about the time in which some are given up. */
const noRoomPauseMs = 100;
/** Pause after it could take nothing of what waited. */
const nothingPauseMs = 20;
/** A result takes room for this much longer than configured at most, until its expiry is certain here. */
const expiryMarginMs = 500;

interface HeldResult {
    readonly bytes: number;
    readonly untilMs: number;
}

export class BatchDesk {
    public endpoint: ListedEndpoint;
    /** Calls that run or wait at the endpoint. */
    public calls = 0;
    /** Measured time of calls as a share of the configured time. */
    public slowness = 1;
    private notBeforeMs = 0;
    private failures = 0;
    private readonly held = new Map<string, HeldResult>();
    /** Room of results that are being made. */
    private pendingBytes = 0;

    public constructor(endpoint: ListedEndpoint, private readonly clock: Clock) {
        this.endpoint = endpoint;
    }

    public get id(): EndpointId {
        return this.endpoint.id;
    }

    /** True while it may be given a call. */
    public mayStart(traits: BatchTraits): boolean {
        return this.calls < traits.slots && this.clock.nowMs() >= this.notBeforeMs;
    }

    /** When it may be given a call again, if it is being left alone now. */
    public get pausedUntilMs(): number {
        return this.notBeforeMs;
    }

    public get isSuspect(): boolean {
        return this.failures > 0;
    }

    public roomBytes(traits: BatchTraits): number {
        const nowMs = this.clock.nowMs();
        let usedBytes = this.pendingBytes;
        for (const [handle, result] of this.held) {
            if (result.untilMs < nowMs) {
                this.held.delete(handle);
            }
            else {
                usedBytes += result.bytes;
            }
        }
        return traits.resultRoomBytes - usedBytes;
    }

    /** Expected time of a call with so many pieces. */
    public expectedMs(traits: BatchTraits, pieces: number): number {
        return (traits.callMs + pieces * traits.pieceMs) * this.slowness;
    }

    public started(bytes: number): void {
        this.calls += 1;
        this.pendingBytes += bytes;
    }

    public ended(bytes: number): void {
        this.calls -= 1;
        this.pendingBytes -= bytes;
    }

    public made(handle: string, bytes: number, traits: BatchTraits): void {
        this.held.set(handle, { bytes, untilMs: this.clock.nowMs() + traits.resultKeptMs + expiryMarginMs });
    }

    public freed(handle: string): void {
        this.held.delete(handle);
    }

    public succeeded(takenMs: number, configuredMs: number): void {
        this.failures = 0;
        this.notBeforeMs = 0;
        this.slowness += newestWeight * (takenMs / Math.max(1, configuredMs) - this.slowness);
    }

    /** Nothing that waits may go there now. */
    public hadNothing(): void {
        this.notBeforeMs = this.clock.nowMs() + nothingPauseMs;
    }

    /** Results found no room although it was expected: others use it, or results were lost sight of. */
    public lackedRoom(): void {
        this.notBeforeMs = this.clock.nowMs() + noRoomPauseMs;
    }

    /** The endpoint had no place; it is otherwise well. */
    public wasFull(): void {
        this.notBeforeMs = this.clock.nowMs() + fullPauseMs;
    }

    public failed(): void {
        const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** this.failures);
        this.failures += 1;
        this.notBeforeMs = this.clock.nowMs() + pauseMs;
    }
}
