/**
 * Keeps requests back that crash endpoints: the same request again, or any with a part of its prompt that does. Reports
 * what this host sees of it: endpoints that crashed while running a request, and answers that were completed.
 */
import { createHash } from "node:crypto";
import { maxPartKeyLength, maxPartsOfRequest } from "../fleet/FleetMessages.js";
import type { FleetSource, PartKey } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { CrashEvidence } from "./CrashEvidence.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { AdmittedRequest, AttemptOutcome } from "./Types.js";

interface RequestQuarantineOptions {
    readonly fleet: FleetSource;
    readonly evidence: Pick<CrashEvidence, "find">;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

type QuarantinedRequest = Pick<AdmittedRequest, "head" | "body" | "service">;

/** Replies with this status or a higher one are failures, which clear nothing. */
const failureStatus = 400;

export class RequestQuarantine {
    public constructor(private readonly options: RequestQuarantineOptions) {}

    /** Why a request must not be sent to an endpoint; undefined when it may. */
    public causeFor(request: QuarantinedRequest): string | undefined {
        const { fleet, metrics } = this.options;
        const { quarantined, condemnedParts } = fleet.view();
        if (quarantined.size > 0 && quarantined.has(fingerprintOf(request))) {
            metrics.count("requests_kept_back", { by: "request" });
            return "the request has crashed endpoints";
        }
        const part = condemnedParts.size === 0 ? undefined : partKeysOf(request).find(key => condemnedParts.has(key));
        if (part === undefined) {
            return undefined;
        }
        metrics.count("requests_kept_back", { by: "part" });
        return `a part of the prompt has crashed endpoints: ${part}`;
    }

    /** Takes note of how an attempt ended. */
    public async observe(request: QuarantinedRequest, record: EndpointRecord, outcome: AttemptOutcome): Promise<void> {
        if (outcome.kind === "broken" && !outcome.isSilent) {
            await this.reportIfCrashed(request, record);
        }
        else if (outcome.kind === "replied" && outcome.reply.status < failureStatus) {
            const parts = this.suspectedPartsOf(request);
            if (parts.length > 0) {
                this.options.fleet.reportSoundParts(parts);
            }
        }
    }

    private async reportIfCrashed(
        request: QuarantinedRequest,
        { id: endpoint, listed }: EndpointRecord,
    ): Promise<void> {
        const { fleet, evidence, log, metrics } = this.options;
        const proof = listed.isLeaving ? undefined : await evidence.find(listed);
        metrics.count("crash_examinations", { proof: proof ?? "none" });
        if (proof !== undefined) {
            const crash = { fingerprint: fingerprintOf(request), endpoint, parts: partKeysOf(request) };
            fleet.reportCrash(crash);
            log.event(EventId.EndpointCrashed, { request: request.head.id, proof, ...crash });
        }
    }

    private suspectedPartsOf(request: QuarantinedRequest): readonly PartKey[] {
        const { suspectedParts } = this.options.fleet.view();
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
