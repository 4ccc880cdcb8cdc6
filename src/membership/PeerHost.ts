/** State of another host of the data centre as seen by this host, from heartbeats in both directions. */
import type { HostId, Incarnation } from "../common/Types.js";
import type { HostState } from "./Types.js";

/** Consecutive refused connections after which a peer's process counts as ended. */
const refusalsUntilDead = 2;

/** Payload of a heartbeat and of its answer. */
export interface HeartbeatPayload {
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
    /** True when the receiver answers the sender's heartbeats. */
    readonly seesYou: boolean;
    /** True when the sender can account for every host of the data centre. */
    readonly accountsForAll: boolean;
}

export class PeerHost {
    /** 0 until the peer has answered a heartbeat. */
    public incarnation = 0 as Incarnation;
    public state: HostState = "unreachable";
    /** When the state last changed, on the local monotonic clock. */
    public sinceMs: number;
    private latestPayload: HeartbeatPayload | undefined;
    /** When the last answered heartbeat was sent. */
    private answeredAtMs = Number.NEGATIVE_INFINITY;
    private refusals = 0;

    public constructor(public readonly host: HostId, nowMs: number) {
        this.sinceMs = nowMs;
    }

    /** True when this host and the peer exchange heartbeats in both directions. */
    public get isMutuallyReachable(): boolean {
        return this.isUp && this.latestPayload?.seesYou === true;
    }

    /** True when the peer, by its latest heartbeat, can account for every host of the data centre. */
    public get accountsForAll(): boolean {
        return this.latestPayload?.accountsForAll === true;
    }

    /** True while the peer answers heartbeats, also when it is leaving. */
    public get isUp(): boolean {
        return this.state === "alive" || this.state === "leaving";
    }

    /**
     * Processes the answer to a heartbeat sent at `sentAtMs`.
     * @returns true when the peer's process has changed.
     */
    public recordAnswer(payload: HeartbeatPayload, sentAtMs: number): boolean {
        if (payload.incarnation < this.incarnation) {
            return false;
        }
        const restarted = this.incarnation > 0 && payload.incarnation > this.incarnation;
        if (!restarted && sentAtMs < this.answeredAtMs) {
            // A heartbeat sent later has already been answered.
            return false;
        }
        this.incarnation = payload.incarnation;
        this.latestPayload = payload;
        this.answeredAtMs = sentAtMs;
        this.refusals = 0;
        return restarted;
    }

    /** Counts a refused connection; an answered heartbeat resets the count. */
    public recordRefusal(): void {
        this.refusals += 1;
    }

    /** Updates the state; returns true when it has changed. */
    public updateState(nowMs: number, unreachableMs: number, isDelisted: boolean): boolean {
        const next = this.nextState(nowMs, unreachableMs, isDelisted);
        if (next === this.state) {
            return false;
        }
        this.state = next;
        this.sinceMs = nowMs;
        return true;
    }

    private nextState(nowMs: number, unreachableMs: number, isDelisted: boolean): HostState {
        if (this.refusals >= refusalsUntilDead) {
            return "dead";
        }
        if (nowMs - this.answeredAtMs < unreachableMs) {
            return this.latestPayload?.leaving === true ? "leaving" : "alive";
        }
        if (this.state === "dead" || isDelisted) {
            return "dead";
        }
        return "unreachable";
    }
}
