/**
 * What endpoints have stated of themselves in replies to entry hosts, collected by control hosts and told to all entry
 * hosts, so that a host acts on it before it has met it itself: limits on their request rates, that they are brittle, and
 * that they are leaving. Of each matter the statement that was made last counts. The end of a limit is kept like a limit, so that an
 * older report does not revive it.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { LimitMatter } from "../endpoints/EndpointLimits.js";
import { tagOf } from "./FleetMessages.js";

/** Hosts that meet what control hosts no longer tell report it again, so that forgetting costs little. */
const keptMs = 600_000;
/** Maximum number of statements; the oldest are forgotten first. */
const maxStatements = 4096;

export interface Statement {
    readonly endpoint: EndpointId;
    /**
     * "limit": how many requests it takes; "brittle": how many it can turn away; "leaving": it is about to end, which
     * this start of it does not take back.
     */
    readonly matter: LimitMatter | "leaving";
    /** Requests per second over all hosts; left out when the endpoint has no limit, or is no longer brittle. */
    readonly perSecond?: number | undefined;
}

export interface StatementReport extends Statement {
    /** Time since a host received the reply. */
    readonly ageMs: number;
}

interface DatedStatement {
    readonly statement: Statement;
    readonly statedMs: number;
}

export class StatementReports {
    private readonly stated = new BoundedMap<string, DatedStatement>(maxStatements);
    private currentTag = "";

    public constructor(private readonly clock: Clock) {}

    /** Changes with what is stated, not with its age; empty while there is nothing. */
    public get tag(): string {
        return this.currentTag;
    }

    /** Records a statement unless a later one is known; returns true when something else is stated than before. */
    public record({ ageMs, ...statement }: StatementReport): boolean {
        const { endpoint, matter, perSecond } = statement;
        const key = `${matter} ${endpoint}`;
        const statedMs = this.clock.nowMs() - ageMs;
        const known = this.stated.get(key);
        if (ageMs >= keptMs || (known !== undefined && known.statedMs >= statedMs)) {
            return false;
        }
        this.stated.set(key, { statement, statedMs });
        const isChanged = known === undefined || known.statement.perSecond !== perSecond;
        if (isChanged) {
            this.forgetOld();
            this.currentTag = tagOf([...this.stated].map(([id, one]) => [id, one.statement.perSecond ?? null]).sort());
        }
        return isChanged;
    }

    /** The last statements of all endpoints. */
    public all(): readonly StatementReport[] {
        return [...this.stated.values()].map(({ statement, statedMs }) => ({
            ...statement,
            ageMs: Math.round(this.clock.nowMs() - statedMs),
        }));
    }

    private forgetOld(): void {
        const sinceMs = this.clock.nowMs() - keptMs;
        for (const [key, { statedMs }] of this.stated) {
            if (statedMs <= sinceMs) {
                this.stated.delete(key);
            }
        }
    }
}
