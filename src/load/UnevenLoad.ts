/**
 * The fleet's load for the choice of endpoints, where endpoints state how fast they work. Where they state no speed they
 * count as equal, and requests with a prompt stay at the first endpoint in its order: spread over more endpoints by load,
 * each of these processes the shared parts once more, which costs more than even load saves.
 */
import type { EndpointId } from "../common/Types.js";
import type { EndpointLoad, EndpointSpeeds, LoadView } from "./Types.js";

/** The fleet's load, and whether endpoints have stated their speed. */
interface StatedLoad extends LoadView, EndpointSpeeds {
    readonly hasSpeeds: boolean;
}

export class UnevenLoad implements LoadView, EndpointSpeeds {
    public constructor(private readonly load: StatedLoad) {}

    public of(endpoint: EndpointId): EndpointLoad | undefined {
        return this.load.hasSpeeds ? this.load.of(endpoint) : undefined;
    }

    public ofHost(endpoint: EndpointId): EndpointLoad | undefined {
        return this.load.hasSpeeds ? this.load.ofHost(endpoint) : undefined;
    }

    public slowness(endpoint: EndpointId): number | undefined {
        return this.load.slowness(endpoint);
    }
}
