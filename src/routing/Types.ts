/** Types for choosing the endpoint of a stage call by expected wait and expected prefill after the cached prefix. */
import type { EndpointId, ModelId } from "../common/Types.js";
import type { EndpointView } from "../endpoints/Types.js";

export interface RouteRequest {
    readonly pool: string;
    readonly model: ModelId | undefined;
    /** The text that an engine would have to prefill; empty for other kinds of endpoints. */
    readonly prompt: string;
    /** Endpoints that this stage has already tried. */
    readonly avoid: ReadonlySet<EndpointId>;
    /** Calls of this host that wait for a slot, by endpoint. */
    readonly waiting: ReadonlyMap<EndpointId, number>;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

export interface RouteChoice {
    readonly endpoint: EndpointView;
    /** Expected time until the call ends there, in milliseconds. */
    readonly expectedMs: number;
    /** Tokens of the prompt that are expected to be cached there. */
    readonly cachedTokens: number;
}

/** A routing policy, implemented by `CostRouter` and by the baselines it is compared with. */
export interface Router {
    readonly name: string;
    /** Returns the endpoints that could take the call, best first. */
    rank(req: RouteRequest): readonly RouteChoice[];
    /** Records after a call that the endpoint now has this prompt cached. */
    recordPrompt(endpoint: EndpointId, prompt: string): void;
}

/** A cache event of an engine; a gap in the sequence numbers means that events were lost. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    /** Hashes of the prompt's blocks. */
    readonly blocks: readonly string[];
}

/** Index of the prompt blocks that each engine is expected to have cached. */
export interface PrefixIndex {
    /** Tokens of the prompt that the endpoint is expected to have cached, weighted by the trust in its entries. */
    cachedTokens(endpoint: EndpointId, prompt: string): number;
    /**
     * Returns the endpoint to prefer for prompts with this prefix, the same on every host; undefined for a prompt that
     * is too short to benefit.
     */
    preferredEndpoint(prompt: string, candidates: readonly EndpointId[]): EndpointId | undefined;
    /** Records that the endpoint now has the blocks of this prompt cached. */
    recordPrompt(endpoint: EndpointId, prompt: string): void;
    /** Applies cache events of the endpoint; events already applied are ignored. */
    recordEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void;
    /** Removes all entries of an endpoint, for when it has restarted. */
    forget(endpoint: EndpointId): void;
}

/** Cache events of an engine after a sequence number. */
export interface CacheBatch {
    /** Identity of the engine's process. */
    readonly incarnation: string;
    readonly events: readonly CacheEvent[];
}

/** Reads cache events of engines and moves blocks between their KV caches; undefined when an engine did not answer. */
export interface CacheSource {
    events(endpoint: EndpointId, after: number, signal: AbortSignal): Promise<CacheBatch | undefined>;
    /** Makes an engine export blocks for import elsewhere; returns those that it held. */
    export(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined>;
    /** Makes an engine import blocks that another engine has exported; returns those that it holds now. */
    import(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined>;
}
