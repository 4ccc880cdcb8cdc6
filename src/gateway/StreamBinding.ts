/**
 * Binds a request with which a caller takes a stream up again to the service and software version that began the
 * stream. Where nobody knows them, the request is refused: at another version the stream would go on with what does not
 * fit.
 */
import type { WorkspaceId } from "../common/Types.js";
import type { Deployment, Route } from "../fleet/Types.js";
import type { RouteHistory } from "../streams/RouteHistory.js";
import type { ServiceVersions } from "../streams/ServiceVersions.js";
import type { StreamOrigin } from "../streams/StreamOrigin.js";
import type { OriginSearch, StreamOrigins } from "../streams/StreamOrigins.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { AdmittedRequest, Refusal, RequestHead } from "./Types.js";

/** Number of attempt for an origin that no attempt can change any more. */
const finalAttempt = Number.MAX_SAFE_INTEGER;
/** Retry advice when a host that may know the stream did not reply. */
const silentRetryMs = 500;

interface StreamBindingOptions {
    readonly origins: StreamOrigins;
    readonly versions: ServiceVersions;
    readonly routes: RouteHistory;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

type BindingOutcome = { readonly admitted: AdmittedRequest; } | { readonly refusal: Refusal; };

export class StreamBinding {
    public constructor(private readonly options: StreamBindingOptions) {}

    /**
     * Returns the request with its stream's origin, unchanged when it takes up no stream, or why it can't be served.
     */
    public async bind(admitted: AdmittedRequest, { services }: Deployment): Promise<BindingOutcome> {
        const { head, route, workspace } = admitted;
        if (!takesUpStream(head, route)) {
            return { admitted };
        }
        const search = head.resumes === undefined
            ? undefined
            : await this.options.origins.find(streamKey(workspace?.id, head.resumes));
        const found = search?.kind === "found" ? search : undefined;
        const origin = found?.origin ?? this.onlyOrigin(admitted);
        if (origin === undefined) {
            return { refusal: this.refuseUnknown(head, search) };
        }
        const service = route.targets.some(one => one.service === origin.service)
            ? services.get(origin.service)
            : undefined;
        const from = found?.from ?? "only-version";
        const fields = {
            request: head.id,
            resumes: head.resumes,
            service: origin.service,
            version: origin.version,
            from,
        };
        this.options.log.event(EventId.StreamOriginFound, fields);
        this.options.metrics.count("streams_taken_up", { origin: found === undefined ? "only-version" : "found" });
        if (service === undefined) {
            const message = "the route no longer leads to the service that began the stream";
            return { refusal: { reason: "version-gone", message, notRun: true } };
        }
        if (head.resumes !== undefined) {
            // The stream may be taken up once more.
            this.options.origins.record(streamKey(workspace?.id, head.resumes), origin, finalAttempt);
        }
        return { admitted: { ...admitted, service, origin: { service: origin.service, version: origin.version } } };
    }

    private onlyOrigin({ route, service }: AdmittedRequest): StreamOrigin | undefined {
        const { routes, versions } = this.options;
        const forMs = routes.longestStreamMs(route.id);
        return routes.hasLedOnlyTo(service.id, route.id, forMs) ? versions.only(service.id, forMs) : undefined;
    }

    private refuseUnknown({ id, resumes }: RequestHead, search: OriginSearch | undefined): Refusal {
        const { asked, silent } = search?.kind === "unknown" ? search : { asked: 0, silent: 0 };
        this.options.metrics.count("streams_taken_up", { origin: "unknown" });
        this.options.log.event(EventId.StreamOriginUnknown, { request: id, resumes, asked, silent });
        return {
            reason: "unknown-origin",
            message: "it is not known which version began the stream",
            notRun: true,
            ...(silent > 0 ? { retryAfterMs: silentRetryMs } : {}),
        };
    }
}

/** True when the caller has events of a stream, which the request is to continue. */
function takesUpStream({ lastEvent }: RequestHead, { kind }: Route): boolean {
    return kind === "resumable" && lastEvent !== undefined && lastEvent !== "" && Number(lastEvent) !== 0;
}

/** Identifies the stream that a request begins, by the request's id within its workspace. */
export function streamKey(workspace: WorkspaceId | undefined, request: string): string {
    return `${workspace ?? ""}/${request}`;
}
