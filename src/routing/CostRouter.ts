/**
 * Routes by expected time: the wait behind own and reported calls, the prefill of the part of the prompt that is not
 * cached, and the network delay to another data centre. Reported load counts less the older the report is.
 */
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { EndpointDirectory, EndpointView } from "../endpoints/Types.js";
import { charsPerToken } from "../endpoints/Wire.js";
import type { PrefixIndex, RouteChoice, Router, RouteRequest } from "./Types.js";

/** Age at which the load of other hosts in a report counts half. */
const reportHalfLifeMs = 1000;
/** Assumed duration of a call on an endpoint without a measured one. */
const defaultCallMs = 100;
/** Slowdown of a call in a full batch, as a share of its duration. */
const batchSlowdown = 0.5;
/** Time to prefill one token, in milliseconds. */
const prefillMsPerToken = 0.25;
/** Additional weight of the prefill on a full endpoint, where it delays other calls. */
const prefillWeightWhenFull = 2;
/** Bonus of a prompt's preferred engine, as a share of the prefill time of the whole prompt. */
const preferenceShare = 0.3;
/** Additional time of a call to another data centre: the round trip and a share of connecting. */
const otherDataCentreMs = 4;
/** Penalties that rank suspect endpoints after all others, and endpoints already tried after those. */
const suspectPenaltyMs = 10_000;
const triedPenaltyMs = 100_000;

export interface CostRouterOptions {
    readonly directory: EndpointDirectory;
    readonly prefixes: PrefixIndex;
    readonly dataCentre: DataCentreId;
}

export class CostRouter implements Router {
    public readonly name = "cost";

    public constructor(private readonly options: CostRouterOptions) {}

    public rank(req: RouteRequest): readonly RouteChoice[] {
        const endpoints = this.options.directory.inPool(req.pool).filter(endpoint => this.canTake(endpoint, req));
        const preferred = this.preferredEngine(endpoints, req);
        const choices = endpoints.map(endpoint => this.choiceOf(endpoint, req, endpoint.id === preferred));
        return choices.sort((a, b) => a.expectedMs - b.expectedMs);
    }

    public recordPrompt(endpoint: EndpointId, prompt: string): void {
        if (this.options.directory.get(endpoint)?.kind === "engine") {
            this.options.prefixes.recordPrompt(endpoint, prompt);
        }
    }

    /** The engine of the own data centre that is preferred for prompts with this prefix. */
    private preferredEngine(endpoints: readonly EndpointView[], req: RouteRequest): EndpointId | undefined {
        const engines = endpoints.filter(one => one.kind === "engine" && one.dataCentre === this.options.dataCentre);
        return engines.length < 2
            ? undefined
            : this.options.prefixes.preferredEndpoint(req.prompt, engines.map(one => one.id));
    }

    private canTake(endpoint: EndpointView, req: RouteRequest): boolean {
        if (endpoint.state === "leaving" || endpoint.state === "out") {
            return false;
        }
        return req.model === undefined || endpoint.models.length === 0 || endpoint.models.includes(req.model);
    }

    private choiceOf(endpoint: EndpointView, req: RouteRequest, isPreferred: boolean): RouteChoice {
        const isEngine = endpoint.kind === "engine";
        const cachedTokens = isEngine ? this.options.prefixes.cachedTokens(endpoint.id, req.prompt) : 0;
        const uncachedTokens = isEngine ? Math.max(0, req.prompt.length / charsPerToken - cachedTokens) : 0;
        const load = this.loadOf(endpoint) + (req.waiting.get(endpoint.id) ?? 0);
        const utilization = load / Math.max(1, endpoint.limit);
        let expectedMs = this.serviceMs(endpoint, load);
        // Makes all hosts send the same prefix to the same engine without knowing each other's calls.
        const preferenceMs = isPreferred ? preferenceShare * req.prompt.length / charsPerToken * prefillMsPerToken : 0;
        expectedMs -= preferenceMs;
        expectedMs += uncachedTokens * prefillMsPerToken * (1 + prefillWeightWhenFull * Math.min(1, utilization));
        expectedMs += endpoint.dataCentre === this.options.dataCentre ? 0 : otherDataCentreMs;
        expectedMs += endpoint.state === "suspect" ? suspectPenaltyMs : 0;
        expectedMs += req.avoid.has(endpoint.id) ? triedPenaltyMs : 0;
        return { endpoint, expectedMs, cachedTokens };
    }

    /** Expected wait for a free slot plus the duration of the call, slowed down by the batch that it joins. */
    private serviceMs(endpoint: EndpointView, load: number): number {
        const callMs = endpoint.recentMs ?? defaultCallMs;
        const limit = Math.max(1, endpoint.limit);
        const excess = Math.max(0, load + 1 - limit);
        return callMs * (1 + batchSlowdown * Math.min(1, load / limit) + excess / limit);
    }

    /** Expected calls on the endpoint: those of this host, and those of other hosts by the latest report. */
    private loadOf(endpoint: EndpointView): number {
        const reported = endpoint.reported;
        if (reported === undefined) {
            return endpoint.ownInFlight;
        }
        const weight = Math.pow(0.5, reported.ageMs / reportHalfLifeMs);
        const others = Math.max(0, reported.running + reported.waiting - endpoint.ownInFlight);
        return endpoint.ownInFlight + others * weight;
    }
}
