/** Choice of an endpoint for a stage call: expected wait plus expected prefill after the cached prefix. */
import type { EndpointId, ModelId } from "../common/Types.js";
import type { EndpointView } from "../endpoints/Types.js";

export interface RouteRequest {
    readonly pool: string;
    readonly model: ModelId | undefined;
    /** The text that an engine would have to prefill; empty for other kinds. */
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

/** A policy; baselines and the product's own stand side by side behind it. */
export interface Router {
    readonly name: string;
    /** Endpoints that could take the call, best first. */
    rank(req: RouteRequest): readonly RouteChoice[];
    /** Learns from a finished call which prefix the endpoint now holds. */
    recordPrompt(endpoint: EndpointId, prompt: string): void;
}

/** A cache event of an engine; numbers have gaps when events were lost. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    /** Hashes of the prompt's blocks. */
    readonly blocks: readonly string[];
}

export interface PrefixIndex {
    /** Tokens of the prompt that the endpoint is expected to hold, weighted by the trust in its index. */
    cachedTokens(endpoint: EndpointId, prompt: string): number;
    /**
     * The endpoint where prompts with this beginning meet, the same on every host; undefined for a prompt too short to
     * be worth it.
     */
    preferredEndpoint(prompt: string, candidates: readonly EndpointId[]): EndpointId | undefined;
    recordPrompt(endpoint: EndpointId, prompt: string): void;
    recordEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void;
    /** Forgets an endpoint that restarted. */
    forget(endpoint: EndpointId): void;
}

/** Cache events of an engine after a sequence number. */
export interface CacheBatch {
    /** Identity of the engine's process. */
    readonly incarnation: string;
    readonly events: readonly CacheEvent[];
}

/** Reads engines' cache events and moves parts of their KV caches; undefined when an engine did not answer. */
export interface CacheSource {
    events(endpoint: EndpointId, after: number, signal: AbortSignal): Promise<CacheBatch | undefined>;
    /** Makes an engine give out blocks for import elsewhere; gives those that it held. */
    export(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined>;
    /** Makes an engine take blocks that another has given out; gives those that it holds now. */
    import(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined>;
}
