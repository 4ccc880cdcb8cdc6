/**
 * Selects the endpoint of an attempt. A request with a prompt goes to the endpoint that probably has the prompt's
 * shared prefix cached; rendezvous hashing gives the same endpoint on every host. When that endpoint carries far more
 * than its share of the load, the next one in the order is used. Other requests go to the endpoint that is expected to
 * reply first.
 */
import type { DataCentreId, Random } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { Service } from "../fleet/Types.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { ColdStartQuota } from "./FleetQuotas.js";
import type { PromptInfo } from "./Types.js";

/** A request with a prompt avoids endpoints whose running requests reach `maxLoadFactor` times the mean plus this. */
const spareRequests = 3;
const maxLoadFactor = 1.5;
/** Assumed reply time of an endpoint that has not been used yet. */
const defaultReplyMs = 30;
/** Cost of a failed attempt, as a multiple of a successful one. */
const failureCost = 6;
/** Penalty for an endpoint in another data centre: round trip and cost of the traffic. */
const remoteCentreMs = 3;

export interface EndpointChoice {
    readonly record: EndpointRecord;
    /**
     * Why the endpoint was chosen, for the log. "prefix": first in the prompt's order; "next": a later one in it;
     * "expected": shortest expected reply time; "suspect": only suspect endpoints were available.
     */
    readonly reason: "prefix" | "next" | "expected" | "suspect";
}

export class EndpointChooser {
    public constructor(
        private readonly dataCentre: DataCentreId,
        private readonly coldStarts: ColdStartQuota,
        private readonly random: Random,
    ) {}

    /** Returns the endpoint for the next attempt; undefined when no endpoint may get the request now. */
    public choose(
        service: Service,
        usable: readonly EndpointRecord[],
        tried: ReadonlySet<EndpointRecord>,
        prompt: PromptInfo | undefined,
    ): EndpointChoice | undefined {
        const available = usable.filter(one =>
            !tried.has(one) && one.pausedForMs === 0 && (!one.isCold || this.coldStarts.maySend(one.id, service))
        );
        const trusted = available.filter(one => !one.isSuspect);
        if (trusted.length === 0) {
            const record = this.fastest(available);
            return record === undefined ? undefined : { record, reason: "suspect" };
        }
        if (prompt !== undefined) {
            return this.byAffinity(affinityOf(prompt), trusted);
        }
        const record = this.fastest(trusted);
        return record === undefined ? undefined : { record, reason: "expected" };
    }

    private byAffinity(key: string, trusted: readonly EndpointRecord[]): EndpointChoice | undefined {
        const byId = new Map(trusted.map(one => [one.id, one]));
        const order = rankByWeight(key, [...byId.keys()]).map(id => byId.get(id)).filter(one => one !== undefined);
        const mean = trusted.reduce((sum, one) => sum + one.running.size, 0) / trusted.length;
        const maxRunning = mean * maxLoadFactor + spareRequests;
        const acceptable = order.find(one => one.running.size < maxRunning && one.failureShare < 0.5);
        const record = acceptable ?? order[0];
        return record === undefined ? undefined : { record, reason: record === order[0] ? "prefix" : "next" };
    }

    private fastest(records: readonly EndpointRecord[]): EndpointRecord | undefined {
        let best: EndpointRecord | undefined;
        let bestMs = Infinity;
        for (const record of records) {
            const replyMs = record.replyMs ?? defaultReplyMs;
            const networkMs = record.listed.dataCentre === this.dataCentre ? 0 : remoteCentreMs;
            const load = 1 + record.running.size / Math.max(1, record.listed.slots / 2);
            const expectedMs = replyMs * load * (1 + failureCost * record.failureShare) + networkMs
                + this.random.next();
            if (expectedMs < bestMs) {
                best = record;
                bestMs = expectedMs;
            }
        }
        return best;
    }
}

/** Affinity key of a prompt: its last shared part. The final part belongs to the request or its session. */
function affinityOf({ parts }: PromptInfo): string {
    const shared = parts.length > 1 ? parts.slice(0, -1) : parts;
    return shared.at(-1)?.id ?? "";
}
