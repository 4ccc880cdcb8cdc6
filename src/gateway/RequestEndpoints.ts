/**
 * The endpoints that may get a request: those of its service in the versions that a roll-out allows, or, once its stream
 * has begun, those of the version that began it.
 */
import type { ServiceId } from "../fleet/Types.js";
import type { RequestVersions, VersionRouter } from "../rollouts/VersionRouter.js";
import { canContinue, type StreamOrigin } from "../streams/StreamOrigin.js";
import type { EndpointRecord, EndpointTracker } from "./EndpointTracker.js";
import type { RequestStages } from "./RequestStages.js";

interface RequestEndpointsOptions {
    readonly service: ServiceId;
    readonly tracker: EndpointTracker;
    readonly router: VersionRouter;
    readonly versions: RequestVersions;
    readonly stages: Pick<RequestStages, "reachable">;
    /** Where the stream began; undefined until it has brought an event. */
    readonly origin: () => StreamOrigin | undefined;
    /** Endpoints that get no further attempt. */
    readonly tried: () => ReadonlySet<EndpointRecord>;
}

export class RequestEndpoints {
    public constructor(private readonly options: RequestEndpointsOptions) {}

    /** Endpoints that may get the request, as far as its stages don't matter. */
    public suitable(): readonly EndpointRecord[] {
        const { service, tracker, router, versions, origin, tried } = this.options;
        const endpoints = tracker.usable(service);
        const begunAt = origin();
        return begunAt === undefined
            ? router.suitable(versions, endpoints, one => tried().has(one))
            : endpoints.filter(({ listed }) => canContinue(begunAt, listed) && router.allowsStream(service, listed));
    }

    /** Endpoints that may get the request. */
    public usable(): readonly EndpointRecord[] {
        return this.options.stages.reachable(this.suitable());
    }

    /** True when a begun stream can go on at none of the endpoints that have not been tried. */
    public get isOriginUsedUp(): boolean {
        const { origin, tried } = this.options;
        return origin() !== undefined && this.suitable().every(one => tried().has(one));
    }
}
