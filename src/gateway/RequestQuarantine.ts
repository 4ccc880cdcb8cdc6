/**
 * Keeps requests back that crash endpoints: the same request again, or any with a part of its prompt that does. Reports
 * what this host sees of it: endpoints that crashed while running a request, and answers that were completed.
 */
import { createHash } from "node:crypto";
import type { EndpointId } from "../common/Types.js";
import { maxPartKeyLength, maxPartsOfRequest } from "../fleet/FleetMessages.js";
import type { EndpointCrash, FleetSource, PartKey } from "../fleet/Types.js";
import type { Metrics } from "../telemetry/Types.js";
import type { AdmittedRequest } from "./GatewayRequest.js";

type QuarantinedRequest = Pick<AdmittedRequest, "head" | "body" | "service">;

export class RequestQuarantine {
    public constructor(private readonly fleet: FleetSource, private readonly metrics: Metrics) {}

    /** Why a request must not be sent to an endpoint; undefined when it may. */
    public causeFor(request: QuarantinedRequest): string | undefined {
        const { quarantined, condemnedParts } = this.fleet.view();
        if (quarantined.size > 0 && quarantined.has(fingerprintOf(request))) {
            this.metrics.count("requests_kept_back", { by: "request" });
            return "the request has crashed endpoints";
        }
        const part = condemnedParts.size === 0 ? undefined : partKeysOf(request).find(key => condemnedParts.has(key));
        if (part === undefined) {
            return undefined;
        }
        this.metrics.count("requests_kept_back", { by: "part" });
        return `a part of the prompt has crashed endpoints: ${part}`;
    }

    /** Reports that an endpoint crashed while it was running a request; returns what is reported. */
    public reportCrash(request: QuarantinedRequest, endpoint: EndpointId): EndpointCrash {
        const crash = { fingerprint: fingerprintOf(request), endpoint, parts: partKeysOf(request) };
        this.fleet.reportCrash(crash);
        return crash;
    }

    /** Takes note that an answer to a request was completed. */
    public recordAnswer(request: QuarantinedRequest): void {
        const parts = this.suspectedPartsOf(request);
        if (parts.length > 0) {
            this.fleet.reportSoundParts(parts);
        }
    }

    /** True when a part of a request's prompt is suspected to crash endpoints. */
    public isSuspected(request: QuarantinedRequest): boolean {
        return this.suspectedPartsOf(request).length > 0;
    }

    private suspectedPartsOf(request: QuarantinedRequest): readonly PartKey[] {
        const { suspectedParts } = this.fleet.view();
        return suspectedParts.size === 0 ? [] : partKeysOf(request).filter(key => suspectedParts.has(key));
    }
}

/** The parts of a prompt that may crash endpoints. The last one is the request's own. */
function partKeysOf({ head: { prompt }, service }: QuarantinedRequest): readonly PartKey[] {
    return (prompt?.parts ?? []).slice(0, -1).slice(-maxPartsOfRequest)
        .map(({ id }) => `${service.id}/${prompt?.model ?? ""}/${id}`.slice(0, maxPartKeyLength) as PartKey);
}

/** Hash of a request's key, method, host, target and body; equal for repeats of a request. */
function fingerprintOf({ head, body }: Pick<AdmittedRequest, "head" | "body">): string {
    const hash = createHash("sha1");
    hash.update(`${head.key ?? ""}\n${head.method}\n${head.host}\n${head.target}\n`).update(body);
    return hash.digest("base64");
}
