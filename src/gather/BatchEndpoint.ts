/**
 * One endpoint of a stage's service, as its gatherer sees it: the call that runs there, the room that its results take,
 * how its times compare with the configured ones, and whether it is to be left alone for a while.
 */
import { Backoff } from "../common/Backoff.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";

/** Weight of the newest call in the average of times. */
const newestWeight = 0.3;
/** Pause after a failure, doubled with each further one in a row. */
const firstPauseMs = 200;
/** A try of one piece costs little; a longer pause would outlast most failures. */
const longestPauseMs = 1600;
/** Pause after the endpoint had no place for a call. */
const fullPauseMs = 60;
/** Pause after none of a call's results found room; about the time in which some are given up. */
const noRoomPauseMs = 100;
/** Room found taken by unknown results is believed taken for so long; results usually lie until the next stage ends. */
const unknownKeptMs = 1000;
/** Pause after it could take nothing of what waited. */
const nothingPauseMs = 20;
/** A result takes room for this much longer than configured at most, until its expiry is certain here. */
const expiryMarginMs = 500;

interface HeldResult {
    readonly bytes: number;
    readonly untilMs: number;
}

export class BatchEndpoint {
    public endpoint: ListedEndpoint;
    /** Calls that run or wait at the endpoint. */
    public calls = 0;
    /** Measured time of calls as a share of the configured time. */
    public slowness = 1;
    private readonly pause: Backoff;
    /** True since a reply was lost, until the next one arrives. */
    private hasLostReply = false;
    private losses = 0;
    /** Room taken by results that are not known here. */
    private unknown: HeldResult = { bytes: 0, untilMs: -Infinity };
    private readonly held = new Map<string, HeldResult>();
    /** Room of results that are being made. */
    private pendingBytes = 0;

    public constructor(endpoint: ListedEndpoint, private readonly clock: Clock) {
        this.endpoint = endpoint;
        this.pause = new Backoff(clock, firstPauseMs, longestPauseMs);
    }

    public get id(): EndpointId {
        return this.endpoint.id;
    }

    /** True while it may be given a call. */
    public canStartCall(traits: BatchTraits): boolean {
        return this.calls < traits.slots && this.pause.isElapsed;
    }

    /** When it may be given a call again, if it is being left alone now. */
    public get pausedUntilMs(): number {
        return this.pause.endMs;
    }

    /** True after a failure, until a call succeeds: it is given one piece at a time. */
    public get isSuspect(): boolean {
        return this.pause.consecutiveFailures > 0 || this.hasLostReply;
    }

    public availableBytes(traits: BatchTraits): number {
        const nowMs = this.clock.nowMs();
        let usedBytes = this.pendingBytes + (this.unknown.untilMs > nowMs ? this.unknown.bytes : 0);
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

    public callStarted(bytes: number): void {
        this.calls += 1;
        this.pendingBytes += bytes;
    }

    public callEnded(bytes: number): void {
        this.calls -= 1;
        this.pendingBytes -= bytes;
    }

    public addResult(handle: string, bytes: number, traits: BatchTraits): void {
        this.held.set(handle, { bytes, untilMs: this.clock.nowMs() + traits.resultKeptMs + expiryMarginMs });
    }

    public removeResult(handle: string): void {
        this.held.delete(handle);
    }

    /** Takes the time of a call as a share of the configured one; undefined where it can't be told. */
    public recordSuccess(slowness: number | undefined): void {
        this.pause.recordSuccess();
        this.hasLostReply = false;
        this.slowness += newestWeight * ((slowness ?? this.slowness) - this.slowness);
    }

    /** Nothing that waits may go there now. */
    public recordIdle(): void {
        this.pause.waitAtLeast(nothingPauseMs);
    }

    /** Results of a call found less room than was expected at its start: others use it. */
    public recordStorageShortage(expectedBytes: number, madeBytes: number): void {
        const bytes = Math.max(0, expectedBytes - madeBytes);
        this.unknown = { bytes, untilMs: this.clock.nowMs() + unknownKeptMs };
        if (madeBytes === 0) {
            this.pause.waitAtLeast(noRoomPauseMs);
        }
    }

    /** The endpoint had no place; it is otherwise well. */
    public recordBusy(): void {
        this.pause.waitAtLeast(fullPauseMs);
    }

    public recordFailure(): void {
        this.pause.recordFailure();
    }

    /** A call was run and its reply lost: results that nobody can name or free take room until they expire. */
    public recordLostReply(bytes: number, traits: BatchTraits): void {
        this.hasLostReply = true;
        this.losses += 1;
        this.addResult(`lost ${this.losses}`, bytes, traits);
    }
}
