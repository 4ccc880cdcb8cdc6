/**
 * Decides whether an endpoint has crashed on which a connection broke while it carried a request. The broken connection
 * alone proves nothing. It does together with a refusal that a sound host meets, with a new start of the endpoint in the
 * list soon after, or with a refusal met by this host and the end of its entry in the list. An endpoint that has said that
 * it is leaving has not crashed. All requests that break on one start of an endpoint share one examination.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointConnections, ProbeResult } from "../endpoints/EndpointConnections.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetSource, ListedEndpoint } from "../fleet/Types.js";

/** What proves a crash, beside the broken connection; undefined when nothing does. */
export type CrashProof = "refused" | "restarted" | "gone";

/**
 * Pauses after which an endpoint is tried again that no sound host has judged, as hosts that are asked may be slow. The
 * number of these bounds the detours of one crash at one host.
 */
const retryPausesMs: readonly number[] = [300, 900];
/** How long the list is watched for a new start: the time of a restart, and the age that the list may have. */
const watchMs = 4000;
const watchIntervalMs = 100;
/** Maximum number of proven crashes that are remembered, for requests that break after the examination. */
const maxRemembered = 512;

interface CrashEvidenceOptions {
    readonly fleet: FleetSource;
    readonly connections: Pick<EndpointConnections, "probe">;
    readonly notices: Pick<EndpointNotices, "isLeaving">;
    readonly clock: Clock;
    /** Aborted once this process has stopped. */
    readonly stopped: AbortSignal;
}

export class CrashEvidence {
    private readonly examinations = new Map<EndpointId, Promise<CrashProof | undefined>>();
    private readonly proven = new BoundedMap<EndpointId, CrashProof>(maxRemembered);

    public constructor(private readonly options: CrashEvidenceOptions) {}

    /** Resolves to what proves that this start of an endpoint has crashed, after a connection with a request broke. */
    public find(endpoint: ListedEndpoint): Promise<CrashProof | undefined> {
        const known = this.proven.get(endpoint.id);
        if (known !== undefined) {
            return Promise.resolve(known);
        }
        const running = this.examinations.get(endpoint.id) ?? this.begin(endpoint);
        this.examinations.set(endpoint.id, running);
        return running;
    }

    private async begin(endpoint: ListedEndpoint): Promise<CrashProof | undefined> {
        const proof = await this.examine(endpoint).finally(() => this.examinations.delete(endpoint.id));
        if (proof !== undefined) {
            this.proven.set(endpoint.id, proof);
        }
        return proof;
    }

    private async examine(endpoint: ListedEndpoint): Promise<CrashProof | undefined> {
        const { clock, connections, stopped } = this.options;
        const untilMs = clock.nowMs() + watchMs;
        const pausesMs = [...retryPausesMs];
        let isRefusedHere = false;
        let probed: ProbeResult = "unknown";
        let probeAtMs: number | undefined = clock.nowMs();
        // Lets a caller that finds the endpoint leaving begin no connection.
        await Promise.resolve();
        while (!stopped.aborted && !this.isLeaving(endpoint)) {
            if (probeAtMs !== undefined && clock.nowMs() >= probeAtMs) {
                probed = await connections.probe(endpoint.id, stopped);
                isRefusedHere ||= probed === "refused-here";
                if (probed === "refused") {
                    return this.isLeaving(endpoint) ? undefined : "refused";
                }
                const pauseMs = probed === "reached" || probed === "gone" ? undefined : pausesMs.shift();
                probeAtMs = pauseMs === undefined ? undefined : clock.nowMs() + pauseMs;
            }
            const proof = this.proofInList(endpoint, isRefusedHere);
            if (proof !== undefined || clock.nowMs() >= untilMs) {
                return proof;
            }
            await clock.sleep(watchIntervalMs, stopped);
        }
        return undefined;
    }

    /** What the list proves: that another start has taken the endpoint's place, or, after a refusal, that it is gone. */
    private proofInList(
        { id, instance, address, service }: ListedEndpoint,
        isRefused: boolean,
    ): CrashProof | undefined {
        const { endpoints } = this.options.fleet.view();
        if (endpoints.some(one => one.id === id)) {
            return undefined;
        }
        const isRestarted = endpoints.some(one =>
            one.service === service && (one.instance === instance || one.address === address)
        );
        if (isRestarted) {
            return "restarted";
        }
        return isRefused ? "gone" : undefined;
    }

    private isLeaving({ id }: ListedEndpoint): boolean {
        const { fleet, notices } = this.options;
        return notices.isLeaving(id) || fleet.view().endpoints.some(one => one.id === id && one.isLeaving);
    }
}
