/** What one host knows of another host of its data centre, from heartbeats in both directions. */
import type { HostId, Incarnation } from "../common/Types.js";
import type { HostState } from "./Types.js";

/** Refused connections in a row that show that a process has ended. */
const refusalsForDeath = 2;

export interface HeartbeatFacts {
    readonly incarnation: Incarnation;
    readonly leaving: boolean;
    /** Whether the sender gets answers from the receiver. */
    readonly seesYou: boolean;
    /** Whether the sender can account for every host of the data centre. */
    readonly accountsForAll: boolean;
}

export class PeerHost {
    public incarnation = 0 as Incarnation;
    public state: HostState = "unreachable";
    public sinceMs: number;
    private facts: HeartbeatFacts | undefined;
    /** When the last answered heartbeat was sent. */
    private answeredAtMs = Number.NEGATIVE_INFINITY;
    private refusals = 0;

    public constructor(public readonly host: HostId, nowMs: number) {
        this.sinceMs = nowMs;
    }

    /** True when this host and the peer exchange heartbeats in both directions. */
    public get isMutual(): boolean {
        return this.isUp && this.facts?.seesYou === true;
    }

    public get accountsForAll(): boolean {
        return this.facts?.accountsForAll === true;
    }

    public get isUp(): boolean {
        return this.state === "alive" || this.state === "leaving";
    }

    /**
     * Takes in an answered heartbeat.
     * @returns true when the peer is another process than before.
     */
    public answered(facts: HeartbeatFacts, sentAtMs: number): boolean {
        if (facts.incarnation < this.incarnation) {
            return false;
        }
        const restarted = this.incarnation > 0 && facts.incarnation > this.incarnation;
        if (!restarted && sentAtMs < this.answeredAtMs) {
            // A later heartbeat was answered before.
            return false;
        }
        this.incarnation = facts.incarnation;
        this.facts = facts;
        this.answeredAtMs = sentAtMs;
        this.refusals = 0;
        return restarted;
    }

    public refused(): void {
        this.refusals += 1;
    }

    /** Judges the state anew. */
    public judge(nowMs: number, unreachableMs: number, isGone: boolean): boolean {
        const next = this.nextState(nowMs, unreachableMs, isGone);
        if (next === this.state) {
            return false;
        }
        this.state = next;
        this.sinceMs = nowMs;
        return true;
    }

    private nextState(nowMs: number, unreachableMs: number, isGone: boolean): HostState {
        if (this.refusals >= refusalsForDeath) {
            return "dead";
        }
        if (nowMs - this.answeredAtMs < unreachableMs) {
            return this.facts?.leaving === true ? "leaving" : "alive";
        }
        if (this.state === "dead" || isGone) {
            return "dead";
        }
        return "unreachable";
    }
}
