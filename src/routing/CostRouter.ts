/**
 * Routes by expected time: the wait behind own and reported calls, the prefill of what the endpoint has not cached, and
 * the way to another data centre. Reported load counts for less the older the report is.
 */
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { EndpointDirectory, EndpointView } from "../endpoints/Types.js";
import { charsPerToken } from "../endpoints/Wire.js";
import type { PrefixIndex, RouteChoice, Router, RouteRequest } from "./Types.js";

/** Age at which a report of others' load has lost most of its weight, in milliseconds. */
const reportHalfLifeMs = 1000;
/** Time of a call on an endpoint that has made none yet. */
const unknownCallMs = 100;
/** Part of a call's time by which a full batch slows it down. */
const batchSlowdown = 0.5;
/** Time to prefill one token. */
const prefillMsPerToken = 0.25;
/** Further weight of the prefill on a full endpoint, where it takes time from other calls. */
const prefillWeightWhenFull = 2;
/** Part of the whole prompt's prefill by which its home engine is preferred. */
const homeShare = 0.3;
/** Extra time of a call to another data centre: both ways, and the connection's share. */
const otherDataCentreMs = 4;
/** Extra time that makes a suspect endpoint the last choice but for those already tried. */
const suspectMs = 10_000;
const triedMs = 100_000;

export interface CostRouterOptions {
    readonly directory: EndpointDirectory;
    readonly prefixes: PrefixIndex;
    readonly dataCentre: DataCentreId;
}

export class CostRouter implements Router {
    public readonly name = "cost";

    public constructor(private readonly options: CostRouterOptions) {}

    public rank(req: RouteRequest): readonly RouteChoice[] {
        const endpoints = this.options.directory.inPool(req.pool).filter(endpoint => this.mayTake(endpoint, req));
        const home = this.homeOf(endpoints, req);
        const choices = endpoints.map(endpoint => this.choiceOf(endpoint, req, endpoint.id === home));
        return choices.sort((a, b) => a.expectedMs - b.expectedMs);
    }

    public recordPrompt(endpoint: EndpointId, prompt: string): void {
        if (this.options.directory.get(endpoint)?.kind === "engine") {
            this.options.prefixes.recordPrompt(endpoint, prompt);
        }
    }

    /** The engine of the own data centre where prompts with this beginning meet. */
    private homeOf(endpoints: readonly EndpointView[], req: RouteRequest): EndpointId | undefined {
        const engines = endpoints.filter(one => one.kind === "engine" && one.dataCentre === this.options.dataCentre);
        return engines.length < 2
            ? undefined
            : this.options.prefixes.preferredEndpoint(req.prompt, engines.map(one => one.id));
    }

    private mayTake(endpoint: EndpointView, req: RouteRequest): boolean {
        if (endpoint.state === "leaving" || endpoint.state === "out") {
            return false;
        }
        return req.model === undefined || endpoint.models.length === 0 || endpoint.models.includes(req.model);
    }

    private choiceOf(endpoint: EndpointView, req: RouteRequest, isHome: boolean): RouteChoice {
        const engine = endpoint.kind === "engine";
        const cachedTokens = engine ? this.options.prefixes.cachedTokens(endpoint.id, req.prompt) : 0;
        const newTokens = engine ? Math.max(0, req.prompt.length / charsPerToken - cachedTokens) : 0;
        const load = this.loadOf(endpoint) + (req.waiting.get(endpoint.id) ?? 0);
        const fullness = load / Math.max(1, endpoint.limit);
        let expectedMs = this.serviceMs(endpoint, load);
        // Hosts that know nothing of each other's calls send the same beginning to the same engine.
        const homeMs = isHome ? homeShare * req.prompt.length / charsPerToken * prefillMsPerToken : 0;
        expectedMs -= homeMs;
        expectedMs += newTokens * prefillMsPerToken * (1 + prefillWeightWhenFull * Math.min(1, fullness));
        expectedMs += endpoint.dataCentre === this.options.dataCentre ? 0 : otherDataCentreMs;
        expectedMs += endpoint.state === "suspect" ? suspectMs : 0;
        expectedMs += req.avoid.has(endpoint.id) ? triedMs : 0;
        return { endpoint, expectedMs, cachedTokens };
    }

    /** Wait for a place and the call itself, slowed by the batch that it joins. */
    private serviceMs(endpoint: EndpointView, load: number): number {
        const callMs = endpoint.recentMs ?? unknownCallMs;
        const limit = Math.max(1, endpoint.limit);
        const excess = Math.max(0, load + 1 - limit);
        return callMs * (1 + batchSlowdown * Math.min(1, load / limit) + excess / limit);
    }

    /** Calls expected on the endpoint: those of this host, and those of others by the last report. */
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
