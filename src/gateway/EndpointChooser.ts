/**
 * Selects the endpoint of an attempt, by the fleet's load where it is known, and by this host's own figures otherwise.
 * A request with a prompt goes to the endpoint that probably has the prompt's shared prefix cached; rendezvous hashing
 * gives the same endpoint on every host. When that endpoint carries more than its share of the load, a later one in the
 * order is used. Other requests go to the better one of two endpoints by expected reply time.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { DataCentreId, Random } from "../common/Types.js";
import type { Service } from "../fleet/Types.js";
import type { PrefixDemand } from "../load/PrefixDemand.js";
import { PrefixOrder } from "../load/PrefixOrder.js";
import { endpointsOf, type PlacementCandidate, placePrompt } from "../load/PrefixPlacement.js";
import type { EndpointLoad, EndpointSpeeds, LoadView } from "../load/Types.js";
import { noSize, type WorkSize } from "../load/WorkMeter.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { ColdStartQuota } from "./FleetQuotas.js";
import type { PromptInfo } from "./Types.js";

/** Without the fleet's load, a request with a prompt avoids endpoints with more than this factor times the mean. */
const spareRequests = 3;
const maxLoadFactor = 1.5;
/** Assumed reply time where no endpoint has been used yet. */
const defaultReplyMs = 30;
/** Cost of a failed attempt, as a multiple of a successful one. */
const failureCost = 6;
/** Penalty for an endpoint in another data centre: round trip and cost of the traffic. */
const remoteCentreMs = 3;
/**
 * Expected reply times that differ by less are equal, so that chance decides. An endpoint that is 1 ms slower would
 * otherwise get nothing while load is low, and its average would never be renewed.
 */
const nearlyEqualMs = 3;
const nearlyEqualShare = 0.2;
/**
 * Half-life of what makes an endpoint's replies slower than those of the fastest one, while no reply renews it. Few
 * replies, all at a slow time, would otherwise keep it unused for good.
 */
const excessHalfLifeMs = 2000;
/** Share of failures from which an endpoint gets no requests with prompts while there are others. */
const maxFailureShare = 0.5;
/** Number of pairs of shared part and endpoint that are remembered as sent, and for how long the endpoint keeps it. */
const maxSentPrefixes = 4096;

export interface EndpointChoice {
    readonly record: EndpointRecord;
    /**
     * Why the endpoint was chosen, for the log. "prefix": first in the prompt's order; "next": a later one in it;
     * "expected": shortest expected reply time; "suspect": only suspect endpoints were available.
     */
    readonly reason: "prefix" | "next" | "expected" | "suspect";
    /** What the request adds to the endpoint's work. */
    readonly size: WorkSize;
}

/** What a host knows of the load of endpoints. */
export type ChooserLoad = LoadView & EndpointSpeeds;

interface Expected {
    readonly record: EndpointRecord;
    readonly replyMs: number;
    readonly isRemote: boolean;
}

export class EndpointChooser {
    private readonly order = new PrefixOrder();
    /** Pairs of shared part and endpoint that this host has sent. */
    private readonly sentPrefixes = new BoundedMap<string, true>(maxSentPrefixes);

    /** Without `load` only this host's own figures are used. */
    public constructor(
        private readonly dataCentre: DataCentreId,
        private readonly coldStarts: ColdStartQuota,
        private readonly random: Random,
        private readonly load?: ChooserLoad,
        private readonly demand?: PrefixDemand,
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
            return this.byExpectedTime(available, "suspect", prompt);
        }
        return prompt === undefined
            ? this.byExpectedTime(trusted, "expected", prompt)
            : this.byAffinity(service, prompt, trusted);
    }

    /** Records that a request is sent to the endpoint, which then has the prompt's shared part cached. */
    public recordSend({ id }: EndpointRecord, prompt: PromptInfo | undefined): void {
        if (prompt !== undefined) {
            const key = affinityOf(prompt);
            this.sentPrefixes.set(`${id} ${key}`, true);
            this.demand?.record(key, promptSizeOf(prompt).ownTokens);
        }
    }

    private byAffinity(service: Service, prompt: PromptInfo, trusted: readonly EndpointRecord[]) {
        const key = affinityOf(prompt);
        const ranked = this.order.rank(service.id, key, trusted);
        const sound = ranked.filter(one => one.failureShare < maxFailureShare);
        const order = sound.length > 0 ? sound : ranked;
        const [first] = ranked;
        const record = this.byFleetLoad(prompt, key, order) ?? this.byOwnLoad(trusted, order) ?? first;
        return record === undefined ? undefined : {
            record,
            reason: record === first ? "prefix" as const : "next" as const,
            size: sizeOf(prompt, record === first || this.hasSent(record, key)),
        };
    }

    private byFleetLoad(prompt: PromptInfo, key: string, order: readonly EndpointRecord[]) {
        const share = this.demand?.share(key) ?? 0;
        const serving = endpointsOf(share, order.length);
        const candidates: PlacementCandidate<EndpointRecord>[] = [];
        for (const record of order) {
            const load = this.load?.of(record.id) ?? this.load?.ofHost(record.id);
            if (load === undefined) {
                return undefined;
            }
            candidates.push({ record, load, isCached: candidates.length < serving || this.hasSent(record, key) });
        }
        return placePrompt(candidates, promptSizeOf(prompt), share, this.random)?.record;
    }

    private byOwnLoad(trusted: readonly EndpointRecord[], order: readonly EndpointRecord[]) {
        const mean = trusted.reduce((sum, one) => sum + one.running.size, 0) / trusted.length;
        const maxRunning = mean * maxLoadFactor + spareRequests;
        return order.find(one => one.running.size < maxRunning);
    }

    private hasSent({ id }: EndpointRecord, key: string): boolean {
        return this.sentPrefixes.has(`${id} ${key}`);
    }

    /** The better one of two endpoints of the best one's kind (same data centre, or another one). */
    private byExpectedTime(
        records: readonly EndpointRecord[],
        reason: EndpointChoice["reason"],
        prompt: PromptInfo | undefined,
    ): EndpointChoice | undefined {
        const usualMs = usualReplyMs(records);
        const fastestMs = Math.min(...records.map(one => one.replyMs ?? usualMs));
        const all = records.map(record => this.expected(record, usualMs, fastestMs));
        const best = all.reduce<Expected | undefined>(
            (a, b) => (a === undefined || costMs(b) < costMs(a) ? b : a),
            undefined,
        );
        if (best === undefined) {
            return undefined;
        }
        const peers = all.filter(one => one.isRemote === best.isRemote);
        const at = this.random.below(peers.length);
        const other = (at + 1 + this.random.below(Math.max(1, peers.length - 1))) % peers.length;
        const [a = best, b = best] = [peers[at], peers[other]];
        // `a` is a random one of the two, so that chance decides between equal ones.
        const toleranceMs = Math.max(nearlyEqualMs, b.replyMs * nearlyEqualShare);
        const { record } = a.replyMs <= b.replyMs + toleranceMs ? a : b;
        return { record, reason, size: prompt === undefined ? noSize : sizeOf(prompt, false) };
    }

    private expected(record: EndpointRecord, usualMs: number, fastestMs: number): Expected {
        const load = this.load?.of(record.id);
        const replyMs = this.replyMs(record, load, fastestMs) ?? usualMs;
        const running = load === undefined ? record.running.size : load.running + load.waiting;
        const loadFactor = 1 + running / Math.max(1, record.listed.slots / 2);
        return {
            record,
            replyMs: replyMs * loadFactor * (1 + failureCost * record.failureShare),
            isRemote: record.listed.dataCentre !== this.dataCentre,
        };
    }

    /** An endpoint that states its speed takes its best time multiplied with it; else the average tells. */
    private replyMs(record: EndpointRecord, load: EndpointLoad | undefined, fastestMs: number): number | undefined {
        const slowness = load === undefined ? this.load?.slowness(record.id) : load.slowness;
        const { replyMs: averageMs, bestMs } = record;
        if (averageMs === undefined || bestMs === undefined) {
            return averageMs;
        }
        const knownMs = slowness === undefined ? averageMs : bestMs * slowness;
        const excessMs = Math.max(0, knownMs - fastestMs);
        return knownMs - excessMs * (1 - 0.5 ** (record.replyAgeMs / excessHalfLifeMs));
    }
}

function costMs({ replyMs, isRemote }: Expected): number {
    return replyMs + (isRemote ? remoteCentreMs : 0);
}

/** Mean reply time of the endpoints that have replied; it is assumed for the others. */
function usualReplyMs(records: readonly EndpointRecord[]): number {
    const known = records.flatMap(one => one.replyMs ?? []);
    return known.length === 0 ? defaultReplyMs : known.reduce((sum, ms) => sum + ms, 0) / known.length;
}

/** Affinity key of a prompt: its last shared part. The final part belongs to the request or its session. */
function affinityOf(prompt: PromptInfo): string {
    return sharedPartsOf(prompt).at(-1)?.id ?? "";
}

function sharedPartsOf({ parts }: PromptInfo): PromptInfo["parts"] {
    return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function promptSizeOf(prompt: PromptInfo) {
    const shared = prompt.parts.length > 1 ? sharedPartsOf(prompt).reduce((sum, one) => sum + one.tokens, 0) : 0;
    const sharedTokens = Math.min(prompt.inputTokens, shared);
    return {
        sharedTokens,
        ownTokens: prompt.inputTokens - sharedTokens,
        heldTokens: prompt.inputTokens + prompt.outputTokens,
    };
}

function sizeOf(prompt: PromptInfo, isCached: boolean): WorkSize {
    const { sharedTokens, ownTokens, heldTokens } = promptSizeOf(prompt);
    return { prefillTokens: ownTokens + (isCached ? 0 : sharedTokens), heldTokens };
}
