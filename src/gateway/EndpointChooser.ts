/**
 * Chooses the endpoint of one attempt. A prompt goes where its shared parts were read before, which rendezvous hashing
 * finds alike on every host; an endpoint that carries far more than its part passes it on to the next in order. Other
 * requests go where they are expected to end first.
 */
import type { DataCentreId, Random } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { Service } from "../fleet/Types.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { ColdStartQuota } from "./FleetQuotas.js";
import type { PromptInfo } from "./Types.js";

/** Requests that an endpoint may carry from this host beside its part of all, before prompts go elsewhere. */
const spareRequests = 3;
const mostOverMean = 1.5;
/** Expected time of an endpoint that was not used yet, in milliseconds. */
const unknownReplyMs = 30;
/** Cost of a failed attempt, in times of a good one. */
const failureCost = 6;
/** The way to another data centre and back, with the price of its bytes, in milliseconds. */
const otherCentreMs = 3;

export interface EndpointChoice {
    readonly record: EndpointRecord;
    /** Why it was chosen, for the log. */
    readonly reason: "prefix" | "next" | "expected" | "suspect";
}

export class EndpointChooser {
    public constructor(
        private readonly dataCentre: DataCentreId,
        private readonly cold: ColdStartQuota,
        private readonly random: Random,
    ) {}

    /** Undefined when no endpoint may be given the request now. */
    public choose(
        service: Service,
        usable: readonly EndpointRecord[],
        tried: ReadonlySet<EndpointRecord>,
        prompt: PromptInfo | undefined,
    ): EndpointChoice | undefined {
        const open = usable.filter(one => !tried.has(one) && (!one.isCold || this.cold.maySend(one.id, service)));
        const trusted = open.filter(one => !one.isSuspect);
        if (trusted.length === 0) {
            const record = this.fastest(open);
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
        const most = mean * mostOverMean + spareRequests;
        const within = order.find(one => one.running.size < most && one.failureShare < 0.5);
        const record = within ?? order[0];
        return record === undefined ? undefined : { record, reason: record === order[0] ? "prefix" : "next" };
    }

    private fastest(records: readonly EndpointRecord[]): EndpointRecord | undefined {
        let best: EndpointRecord | undefined;
        let bestMs = Infinity;
        for (const record of records) {
            const replyMs = record.replyMs ?? unknownReplyMs;
            const wayMs = record.listed.dataCentre === this.dataCentre ? 0 : otherCentreMs;
            const load = 1 + record.running.size / Math.max(1, record.listed.slots / 2);
            const expectedMs = replyMs * load * (1 + failureCost * record.failureShare) + wayMs + this.random.next();
            if (expectedMs < bestMs) {
                best = record;
                bestMs = expectedMs;
            }
        }
        return best;
    }
}

/** The shared parts of a prompt: all but the last, which belongs to the request or its session. */
function affinityOf({ parts }: PromptInfo): string {
    const shared = parts.length > 1 ? parts.slice(0, -1) : parts;
    return shared.at(-1)?.id ?? "";
}
