/**
 * Where a stream began. What two software versions write does not fit together, and endpoints do not check it: a stream
 * may go on only at an endpoint of the service and version that brought its first event.
 */
import type { ListedEndpoint, ServiceId } from "../fleet/Types.js";

export interface StreamOrigin {
    readonly service: ServiceId;
    /** Undefined when the platform's list names no version. */
    readonly version?: string | undefined;
}

export function originOf({ service, version }: ListedEndpoint): StreamOrigin {
    return { service, version };
}

/** True when an endpoint may go on with a stream. */
export function canContinue(origin: StreamOrigin, { service, version }: ListedEndpoint): boolean {
    return service === origin.service && version === origin.version;
}
