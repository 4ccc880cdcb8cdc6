/**
 * Limits on the request rates of endpoints as entry hosts have read them in replies, collected by control hosts and told
 * to all entry hosts, so that a host keeps to a limit before it has met it itself. For each endpoint the statement that
 * was made last counts. The end of a limit is kept like a limit, so that an older report does not revive it.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import { tagOf } from "./FleetMessages.js";

/** Hosts that meet a limit which control hosts no longer tell report it again, so that forgetting one costs little. */
const keptMs = 600_000;
/** Maximum number of endpoints with a statement; the oldest statements are forgotten first. */
const maxEndpoints = 4096;

/** What an endpoint has stated last. */
export interface LimitReport {
    readonly endpoint: EndpointId;
    /** Requests per second over all hosts; left out when the endpoint has no limit. */
    readonly perSecond?: number | undefined;
    /** Time since a host received the reply. */
    readonly ageMs: number;
}

interface DatedLimit {
    readonly perSecond: number | undefined;
    readonly statedMs: number;
}

export class LimitReports {
    private readonly stated = new Map<EndpointId, DatedLimit>();
    private currentTag = "";

    public constructor(private readonly clock: Clock) {}

    /** Changes with the limits, not with the age of the statements; empty while there are none. */
    public get tag(): string {
        return this.currentTag;
    }

    /** Records a statement unless a later one of the endpoint is known; returns true when the endpoint's limit changes. */
    public record({ endpoint, perSecond, ageMs }: LimitReport): boolean {
        const statedMs = this.clock.nowMs() - ageMs;
        const known = this.stated.get(endpoint);
        if (ageMs >= keptMs || (known !== undefined && known.statedMs >= statedMs)) {
            return false;
        }
        this.stated.delete(endpoint);
        this.stated.set(endpoint, { perSecond, statedMs });
        const isChanged = known === undefined || known.perSecond !== perSecond;
        if (isChanged) {
            this.forgetOld();
            this.currentTag = tagOf([...this.stated].map(([id, one]) => [id, one.perSecond ?? null]).sort());
        }
        return isChanged;
    }

    /** The last statement of each endpoint. */
    public all(): readonly LimitReport[] {
        return [...this.stated].map(([endpoint, { perSecond, statedMs }]) => ({
            endpoint,
            ...(perSecond === undefined ? {} : { perSecond }),
            ageMs: Math.round(this.clock.nowMs() - statedMs),
        }));
    }

    private forgetOld(): void {
        const sinceMs = this.clock.nowMs() - keptMs;
        for (const [endpoint, { statedMs }] of this.stated) {
            if (statedMs <= sinceMs || this.stated.size > maxEndpoints) {
                this.stated.delete(endpoint);
            }
        }
    }
}
