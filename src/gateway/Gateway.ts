/**
 * Takes requests of callers: finds the route and the workspace by the configuration in force, refuses what can't be
 * served, and runs the rest, each as a {@link GatewayRequest}. A configuration that may have been replaced without this
 * host's knowing is not used to refuse anybody for good, and past its lease no key counts.
 */
import { createHash } from "node:crypto";
import type * as http from "node:http";
import { readBytes } from "../common/RequestBody.js";
import type { Clock } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import type { FleetBounds, FleetSource, Workspace } from "../fleet/Types.js";
import type { PieceExecutor } from "../gather/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { CallerReply } from "./CallerReply.js";
import type { EndpointChooser } from "./EndpointChooser.js";
import type { EndpointTracker } from "./EndpointTracker.js";
import type { ColdStartQuota, FleetRetryBudget } from "./FleetQuotas.js";
import { type AdmittedRequest, GatewayRequest, stoppingRetryMs } from "./GatewayRequest.js";
import type { ReplyTimes } from "./ReplyTimes.js";
import { pickService, RouteTable } from "./RouteTable.js";
import type { StageGraph } from "./StageGraph.js";
import type { GatewayCodec, Refusal, RequestHead } from "./Types.js";

/** A lease on keys ends this long before the last moment at which a key that was taken away may open anything. */
const leaseMarginMs = 500;
/** Part of the time within which a change must be in force, after which no request is refused for good. */
const certainShare = 0.75;
/** What is advised while the configuration can't be confirmed. */
const unconfirmedRetryMs = 1000;
/** A view that is confirmed again within this time is worth waiting for. */
const confirmWaitMs = 150;
/** After a start of the whole fleet the first view comes within an election; a request waits for part of its time. */
const firstViewWaitMs = 1500;
const firstViewWaitShare = 0.4;
const confirmPollMs = 20;

export interface GatewayDependencies {
    readonly fleet: FleetSource;
    readonly bounds: FleetBounds;
    readonly codec: GatewayCodec;
    readonly tracker: EndpointTracker;
    readonly chooser: EndpointChooser;
    readonly stages: StageGraph;
    readonly pieces: PieceExecutor;
    readonly connections: EndpointConnections;
    readonly retries: FleetRetryBudget;
    readonly cold: ColdStartQuota;
    readonly replyTimes: ReplyTimes;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** A number in [0, 1) for each request. */
    readonly random: () => number;
    /** Aborted once this process has stopped. */
    readonly stopped: AbortSignal;
    /** Called when an endpoint has crashed while the request ran there. */
    readonly reportCrash: (admitted: AdmittedRequest) => void;
}

/** Times on the local clock. */
interface PlannedStop {
    /** Any request is taken until then; callers have not been told to leave before. */
    readonly anyUntilMs: number;
    /** What waits then is answered. */
    readonly lastAnswersMs: number;
}

/** After the balancer's lag no new connection comes but where most hosts stop at once. */
const anyRequestMs = 2800;
const anyRequestShare = 0.4;
/** Time for the last answers before the process ends, as a part of the time that it has. */
const lastAnswersShare = 0.95;

type Admission = { readonly admitted: AdmittedRequest; } | { readonly refusal: Refusal; };

export class Gateway {
    private table: RouteTable | undefined;
    private activeCount = 0;
    private readonly running = new Set<GatewayRequest>();
    private stop: PlannedStop | undefined;

    public constructor(private readonly parts: GatewayDependencies) {
        parts.fleet.onChange(view => {
            if (view.deployment !== undefined && view.deployment !== this.table?.deployment) {
                this.table = new RouteTable(view.deployment);
            }
        });
    }

    /** Requests that have not been answered yet. */
    public get active(): number {
        return this.activeCount;
    }

    /**
     * A planned stop has begun: this host ends so much later. Requests that come late and may outlast it are refused at
     * once; what still waits shortly before the end gets its answer then.
     */
    public scheduleStop(graceMs: number): void {
        const { clock } = this.parts;
        const nowMs = clock.nowMs();
        const lastAnswersMs = nowMs + graceMs * lastAnswersShare;
        this.stop = { anyUntilMs: nowMs + Math.min(anyRequestMs, graceMs * anyRequestShare), lastAnswersMs };
        clock.setTimer(lastAnswersMs - nowMs, () => this.running.forEach(one => one.stopWaiting()));
    }

    public async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
        this.activeCount += 1;
        try {
            const arrivedMs = this.parts.clock.nowMs();
            const head = this.parts.codec.decodeHead(req);
            if (head.isLeft()) {
                const { message } = head.extract();
                this.refuse(undefined, res, { reason: "bad-request", message, notRun: true });
                return;
            }
            await this.serve(req, res, head.unsafeCoerce(), arrivedMs);
        }
        finally {
            this.activeCount -= 1;
        }
    }

    private async serve(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        head: RequestHead,
        arrivedMs: number,
    ): Promise<void> {
        const limit = this.table?.deployment.limits.maxBodyBytes ?? Infinity;
        const body = await readBytes(req, limit);
        if (body.isLeft()) {
            const error = body.extract();
            if (error.kind === "too-large") {
                const message = `a body may have ${error.limitBytes} bytes`;
                this.refuse(head, res, { reason: "too-large", message, notRun: true });
            }
            return;
        }
        await this.waitForCertainty(head.remainingMs ?? 0);
        const admission = this.admit(head, body.unsafeCoerce(), arrivedMs);
        if ("refusal" in admission) {
            this.refuse(head, res, admission.refusal);
            return;
        }
        const { route, service, workspace } = admission.admitted;
        this.parts.log.event(EventId.GatewayRequestTaken, {
            request: head.id,
            route: route.id,
            service: service.id,
            workspace: workspace?.id,
            config: this.table?.deployment.version,
            viewAgeMs: Math.round(this.parts.fleet.ageMs()),
            remainingMs: head.remainingMs,
            pieces: head.pieces,
        });
        this.parts.retries.recordRequest(service.id);
        const request = new GatewayRequest(this.parts, admission.admitted, res);
        this.running.add(request);
        await request.run();
        this.running.delete(request);
    }

    /** True for a request that may last longer than this host, which stops. */
    private mayOutlastStop(head: RequestHead, timeoutMs: number): boolean {
        const nowMs = this.parts.clock.nowMs();
        return this.stop !== undefined
            && nowMs > this.stop.anyUntilMs
            && nowMs + Math.min(timeoutMs, head.remainingMs ?? Infinity) > this.stop.lastAnswersMs;
    }

    /** Waits a little where the view is not certain now, as after a stall of this host. */
    private async waitForCertainty(remainingMs: number): Promise<void> {
        const { clock, fleet, bounds } = this.parts;
        const isFirst = !Number.isFinite(fleet.ageMs());
        const waitMs = isFirst ? Math.min(firstViewWaitMs, remainingMs * firstViewWaitShare) : confirmWaitMs;
        const untilMs = clock.nowMs() + waitMs;
        while (fleet.ageMs() > bounds.configApplyMs && clock.nowMs() < untilMs) {
            await clock.sleep(confirmPollMs);
        }
    }

    private admit(head: RequestHead, body: Buffer, arrivedMs: number): Admission {
        const { fleet, bounds, random } = this.parts;
        const { deployment, quarantined } = fleet.view();
        if (deployment === undefined || this.table === undefined) {
            return refused("no-configuration", "this host has no configuration yet", unconfirmedRetryMs);
        }
        const ageMs = fleet.ageMs();
        const isCertain = ageMs <= bounds.configApplyMs * certainShare;
        const unconfirmed = refused(
            "configuration-unconfirmed",
            `the configuration was last confirmed ${Math.round(ageMs)} ms ago`,
            unconfirmedRetryMs,
        );
        const route = this.table.find(head.host, head.target);
        if (route === undefined) {
            return isCertain ? refused("no-route", "no route has this host and path") : unconfirmed;
        }
        let workspace: Workspace | undefined;
        if (deployment.workspaces !== undefined && !route.isPublic) {
            if (ageMs > bounds.revokeMs - leaseMarginMs) {
                return unconfirmed;
            }
            workspace = head.key === undefined ? undefined : deployment.workspaces.get(head.key);
            if (workspace === undefined) {
                return isCertain ? refused("unknown-key", "the key belongs to no workspace") : unconfirmed;
            }
        }
        if (this.mayOutlastStop(head, route.timeoutMs)) {
            return refused("stopping", "this host stops, and the request may last longer", stoppingRetryMs);
        }
        const serviceId = pickService(route, random());
        const service = serviceId === undefined ? undefined : deployment.services.get(serviceId);
        if (service === undefined) {
            return refused("no-endpoint", "the route has no service", unconfirmedRetryMs);
        }
        const admitted = { head, route, service, workspace, body, arrivedMs };
        if (quarantined.size > 0 && quarantined.has(fingerprintOf(admitted))) {
            return refused("quarantined", "the request has crashed endpoints");
        }
        return { admitted };
    }

    private refuse(head: RequestHead | undefined, res: http.ServerResponse, refusal: Refusal): void {
        const { log, metrics, fleet } = this.parts;
        metrics.count("gateway_requests", { outcome: refusal.reason, kind: "none" });
        log.event(EventId.GatewayRequestEnded, {
            request: head?.id,
            host: head?.host,
            target: head?.target,
            config: fleet.view().deployment?.version,
            viewAgeMs: Math.round(fleet.ageMs()),
            outcome: refusal.reason,
            ...refusal,
        });
        new CallerReply(res, undefined).refuse(refusal);
    }
}

function refused(reason: Refusal["reason"], message: string, retryAfterMs?: number): Admission {
    return { refusal: { reason, message, notRun: true, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } };
}

/** Names a request by what makes it the same when it comes again: caller, path and body. */
export function fingerprintOf({ head, body }: Pick<AdmittedRequest, "head" | "body">): string {
    const hash = createHash("sha1");
    hash.update(`${head.key ?? ""}\n${head.method}\n${head.host}\n${head.target}\n`).update(body);
    return hash.digest("base64");
}
