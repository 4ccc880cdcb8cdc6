/**
 * Admits requests of callers: finds the route and the workspace in the current configuration, refuses requests that
 * can't be served, and runs the others, each as a {@link GatewayRequest}. While the configuration may be out of date,
 * no request is refused permanently, and after the lease on the configuration has ended no key is accepted.
 */
import type * as http from "node:http";
import type { Admission as AdmissionControl } from "../admission/Types.js";
import type { Clock } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetBounds, FleetSource, Workspace } from "../fleet/Types.js";
import type { PieceExecutor } from "../gather/Types.js";
import type { EndpointPermits } from "../limits/EndpointPermits.js";
import type { WorkRecorder } from "../load/WorkMeter.js";
import type { VersionRouter } from "../rollouts/VersionRouter.js";
import type { StreamOrigins } from "../streams/StreamOrigins.js";
import { EventId } from "../telemetry/Events.js";
import type { EventFields, EventLog, Metrics } from "../telemetry/Types.js";
import { BodyIntake, type GivenUpReason } from "./BodyIntake.js";
import { type BodyFault, readBody } from "./BodyReader.js";
import type { CallerMemory, HeldBytes } from "./CallerMemory.js";
import { writeRefusal } from "./CallerReply.js";
import type { EndpointChooser } from "./EndpointChooser.js";
import type { EndpointTracker } from "./EndpointTracker.js";
import type { ColdStartQuota, FleetRetryBudget } from "./FleetQuotas.js";
import type { GatewayHedging } from "./GatewayHedging.js";
import { GatewayRequest } from "./GatewayRequest.js";
import { LimitHistory } from "./LimitHistory.js";
import { ReadTurns } from "./ReadTurns.js";
import { failedRefusal, stoppingCause, stoppingRetryMs } from "./RefusalCauses.js";
import type { ReplyEnds } from "./ReplyEnds.js";
import type { ReplyTimes } from "./ReplyTimes.js";
import { RequestProgress } from "./RequestProgress.js";
import type { RequestQuarantine } from "./RequestQuarantine.js";
import { recordFailure } from "./RequestRecorder.js";
import { pickService, RouteTable } from "./RouteTable.js";
import { type StageGraph, stagesAndReplyMs } from "./StageGraph.js";
import { startOrder } from "./StageOrder.js";
import type { StreamBinding } from "./StreamBinding.js";
import { type AdmittedRequest, type GatewayCodec, isStreamed, type Refusal, type RequestHead } from "./Types.js";
import { dropBody } from "./UnreadBody.js";

/** The lease on keys ends this long before the time by which a revoked key must no longer be accepted. */
const leaseMarginMs = 500;
/** A view older than this share of the time limit for applying a change leads to no permanent refusals. */
const certainViewShare = 0.75;
/** Retry advice while the configuration can't be confirmed. */
const unconfirmedRetryMs = 1000;
/** How long a request waits for the view to be confirmed again. */
const confirmWaitMs = 150;
/** After a start of the whole fleet the first view arrives within an election; a request waits for it this long. */
const firstViewWaitMs = 1500;
/** The wait is also limited to this share of the request's remaining time. */
const firstViewWaitShare = 0.4;
/** Interval at which a waiting request checks the view. */
const confirmPollMs = 20;
/** How long the body of a request may take whose route is not known. */
const unknownRouteReadMs = 30_000;
/** How much of a refused body is read on while no configuration is known. */
const defaultUnreadBytes = 4 * 1024 * 1024;

export interface GatewayDependencies {
    readonly fleet: FleetSource;
    readonly bounds: FleetBounds;
    readonly codec: GatewayCodec;
    readonly tracker: EndpointTracker;
    readonly chooser: EndpointChooser;
    readonly stages: StageGraph;
    readonly pieces: PieceExecutor;
    readonly connections: EndpointConnections;
    readonly ends: ReplyEnds;
    readonly notices: EndpointNotices;
    readonly retries: FleetRetryBudget;
    readonly hedging: GatewayHedging;
    readonly memory: CallerMemory;
    readonly cold: ColdStartQuota;
    readonly permits: EndpointPermits;
    /** Decides which requests with stages begin while capacity is scarce; without it all do. */
    readonly admission?: AdmissionControl | undefined;
    readonly origins: StreamOrigins;
    readonly binding: StreamBinding;
    /** Selects versions in roll-outs. */
    readonly versions: VersionRouter;
    readonly replyTimes: ReplyTimes;
    readonly load: WorkRecorder;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    readonly quarantine: RequestQuarantine;
}

/** Times on the local clock. */
interface PlannedStop {
    /** All requests are accepted until then, since callers may not have been told to disconnect yet. */
    readonly acceptAllUntilMs: number;
    /** Requests that are still waiting then are answered. */
    readonly finalAnswersMs: number;
}

/**
 * How long a stopping host accepts all requests, in milliseconds and as a share of the grace period; the shorter time
 * applies. After the load balancer's lag, new connections arrive only when most hosts stop at the same time.
 */
const acceptAllMs = 2800;
const acceptAllShare = 0.4;
/** Share of the grace period after which waiting requests are answered. */
const finalAnswersShare = 0.95;

type Admission = { readonly admitted: AdmittedRequest; } | { readonly refusal: Refusal; };

export class Gateway {
    /** Limits on what callers send. */
    public readonly limits: LimitHistory;
    private table: RouteTable | undefined;
    private readonly running = new Set<GatewayRequest>();
    private activeCount = 0;
    private plannedStop: PlannedStop | undefined;
    private readonly intake: BodyIntake;
    private readonly turns = new ReadTurns(callback => {
        setImmediate(callback);
    });

    public constructor(private readonly deps: GatewayDependencies) {
        this.intake = new BodyIntake(deps);
        this.limits = new LimitHistory(deps.fleet, deps.clock);
        deps.fleet.onChange(view => {
            if (view.deployment !== undefined && view.deployment !== this.table?.deployment) {
                this.table = new RouteTable(view.deployment);
            }
        });
    }

    /** Number of requests that are being handled. */
    public get active(): number {
        return this.activeCount;
    }

    /**
     * Prepares for a planned stop of this host in `graceMs` milliseconds. Requests that arrive late and may last longer
     * are refused at once, also those whose bodies have not ended; requests that are still waiting shortly before the end
     * are answered then.
     */
    public scheduleStop(graceMs: number): void {
        const { clock } = this.deps;
        const nowMs = clock.nowMs();
        const finalAnswersMs = nowMs + graceMs * finalAnswersShare;
        const acceptAllForMs = Math.min(acceptAllMs, graceMs * acceptAllShare);
        this.plannedStop = { acceptAllUntilMs: nowMs + acceptAllForMs, finalAnswersMs };
        clock.setTimer(acceptAllForMs, () => this.intake.stop(finalAnswersMs));
        clock.setTimer(finalAnswersMs - nowMs, () => this.running.forEach(one => one.stopWaiting()));
    }

    /** Refuses all requests that have not been answered, also those at endpoints, since this process is about to end. */
    public refuseRunning(): void {
        this.running.forEach(one => one.stop());
    }

    /** Serves a request of a caller; resolves once it has been answered. */
    public async handle(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        progress: RequestProgress = new RequestProgress(),
    ): Promise<void> {
        this.activeCount += 1;
        try {
            const arrivedMs = this.deps.clock.nowMs();
            const head = this.deps.codec.decodeHead(req);
            if (head.isLeft()) {
                const { message } = head.extract();
                this.refuse(undefined, res, { reason: "bad-request", message, notRun: true });
                return;
            }
            await this.serve(req, res, head.unsafeCoerce(), arrivedMs, progress);
        }
        catch (err) {
            recordFailure(this.deps.log, err, progress);
            this.refuseFailed(res, progress);
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
        progress: RequestProgress,
    ): Promise<void> {
        progress.request = head.id;
        const { maxBodyBytes = Infinity, maxHeaderBytes = Infinity } = this.limits.current ?? {};
        if (headBytes(req) > maxHeaderBytes) {
            const message = `the head exceeds the limit of ${maxHeaderBytes} bytes`;
            this.refuse(head, res, { reason: "head-too-large", message, notRun: true });
            return;
        }
        const body = await readBody(req, this.intake, this.turns, maxBodyBytes, arrivedMs + this.readMs(head));
        await body.caseOf({
            Left: async fault => this.refuseBody(head, res, fault),
            Right: ({ bytes, held }) =>
                this.serveRead(head, bytes, res, arrivedMs, progress).finally(() => held.release()),
        });
    }

    /** How long the body of a request may take: as long as its caller waits, and as the operator wants it kept waiting. */
    private readMs({ host, target, remainingMs = Infinity }: RequestHead): number {
        return Math.min(remainingMs, this.table?.find(host, target)?.timeoutMs ?? unknownRouteReadMs);
    }

    private refuseBody(head: RequestHead, res: http.ServerResponse, fault: BodyFault): void {
        const refusal = bodyRefusal(fault);
        if (refusal !== undefined) {
            this.refuse(head, res, refusal, fault.kind === "given-up" ? { bodyBytes: fault.bytes } : {});
        }
    }

    private async serveRead(
        head: RequestHead,
        body: Buffer,
        res: http.ServerResponse,
        arrivedMs: number,
        progress: RequestProgress,
    ): Promise<void> {
        progress.stage = "admission";
        await this.waitForConfirmedView(head.remainingMs ?? 0);
        const admission = await this.admitAndBind(head, body, arrivedMs);
        if ("refusal" in admission) {
            this.refuse(head, res, admission.refusal);
            return;
        }
        const held = this.deps.memory.account();
        try {
            await this.run(head, admission.admitted, res, held, progress);
        }
        finally {
            held.release();
        }
    }

    private async run(
        head: RequestHead,
        admitted: AdmittedRequest,
        res: http.ServerResponse,
        held: HeldBytes,
        progress: RequestProgress,
    ): Promise<void> {
        const { route, service, workspace } = admitted;
        if (!res.useChunkedEncodingByDefault && isStreamed(route)) {
            const message = "the end of a stream can't be marked in HTTP/1.0; send the request with HTTP/1.1";
            this.refuse(head, res, { reason: "bad-request", message, notRun: true });
            return;
        }
        const refusal = this.enter(admitted);
        if (refusal !== undefined) {
            this.refuse(head, res, refusal);
            return;
        }
        this.deps.log.event(EventId.GatewayRequestTaken, {
            request: head.id,
            route: route.id,
            service: service.id,
            workspace: workspace?.id,
            config: this.table?.deployment.version,
            viewAgeMs: Math.round(this.deps.fleet.ageMs()),
            remainingMs: head.remainingMs,
            pieces: head.pieces,
            ...(head.lastEvent === undefined ? {} : { lastEvent: head.lastEvent, resumes: head.resumes }),
        });
        this.deps.retries.recordRequest(service.id);
        this.deps.hedging.recordRequest(route.id);
        progress.stage = "waiting";
        const request = new GatewayRequest(this.deps, admitted, res, held, progress);
        this.running.add(request);
        try {
            await request.run();
        }
        finally {
            this.running.delete(request);
        }
    }

    /** Asks admission control, which a stream that has begun elsewhere and a request without stages do not need. */
    private enter({ head, route, workspace, arrivedMs }: AdmittedRequest): Refusal | undefined {
        const { admission, replyTimes, clock } = this.deps;
        const deployment = this.table?.deployment;
        if (admission === undefined || deployment === undefined || head.lastEvent !== undefined) {
            return undefined;
        }
        const stageServices = route.stages.flatMap((stage, at) => (head.pieces[at] ?? 0) > 0 ? [stage.service] : []);
        if (stageServices.length === 0) {
            return undefined;
        }
        const replyMs = replyTimes.expectedMs(route.id);
        const plan = { route, deployment, pieces: head.pieces, replyMs };
        const passedMs = clock.nowMs() - arrivedMs;
        const decision = admission.enter({
            route: route.id,
            stageServices,
            workMs: stagesAndReplyMs(plan, () => 0),
            priority: workspace?.priority ?? route.priority,
            objectiveMs: route.objectiveMs - passedMs,
            remainingMs: Math.min(route.timeoutMs, head.remainingMs ?? Infinity) - passedMs,
        });
        if (decision.kind === "admitted") {
            return undefined;
        }
        const { message, retryAfterMs } = decision;
        const when = retryAfterMs === undefined ? {} : { retryAfterMs };
        return { reason: "overloaded", message, notRun: true, ...when };
    }

    /** True when this host is stopping and the request may run longer. */
    private mayOutlastStop(head: RequestHead, timeoutMs: number): boolean {
        const nowMs = this.deps.clock.nowMs();
        return this.plannedStop !== undefined
            && nowMs > this.plannedStop.acceptAllUntilMs
            && nowMs + Math.min(timeoutMs, head.remainingMs ?? Infinity) > this.plannedStop.finalAnswersMs;
    }

    /** Waits briefly while the view is unconfirmed, as after a stall of this host. */
    private async waitForConfirmedView(remainingMs: number): Promise<void> {
        const { clock, fleet, bounds } = this.deps;
        const hasNoView = !Number.isFinite(fleet.ageMs());
        const waitMs = hasNoView ? Math.min(firstViewWaitMs, remainingMs * firstViewWaitShare) : confirmWaitMs;
        const untilMs = clock.nowMs() + waitMs;
        while (fleet.ageMs() > bounds.configApplyMs && clock.nowMs() < untilMs) {
            await clock.sleep(confirmPollMs);
        }
    }

    private async admitAndBind(head: RequestHead, body: Buffer, arrivedMs: number): Promise<Admission> {
        const admission = this.admit(head, body, arrivedMs);
        return "refusal" in admission || this.table === undefined
            ? admission
            : this.deps.binding.bind(admission.admitted, this.table.deployment);
    }

    private admit(head: RequestHead, body: Buffer, arrivedMs: number): Admission {
        const { fleet, bounds, random } = this.deps;
        const { deployment } = fleet.view();
        if (deployment === undefined || this.table === undefined) {
            return refused("no-configuration", "this host has no configuration yet", unconfirmedRetryMs);
        }
        const ageMs = fleet.ageMs();
        const isCertain = ageMs <= bounds.configApplyMs * certainViewShare;
        const unconfirmed = refused(
            "configuration-unconfirmed",
            `the configuration was last confirmed ${Math.round(ageMs)} ms ago`,
            unconfirmedRetryMs,
        );
        const route = this.table.find(head.host, head.target);
        if (route === undefined) {
            return isCertain ? refused("no-route", "no route matches this host and path") : unconfirmed;
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
            return refused("stopping", "this host is stopping, and the request may take longer", stoppingRetryMs);
        }
        const serviceId = pickService(route, random());
        const service = serviceId === undefined ? undefined : deployment.services.get(serviceId);
        if (service === undefined) {
            return refused("no-endpoint", "the route has no service", unconfirmedRetryMs);
        }
        if (startOrder(route.stages) === undefined) {
            const message = "a stage of the route can't run: it needs itself, or one that does not exist";
            return refused("no-endpoint", message, unconfirmedRetryMs);
        }
        const admitted = { head, route, service, workspace, body, arrivedMs, origin: undefined };
        const cause = this.deps.quarantine.causeFor(admitted);
        return cause === undefined ? { admitted } : refused("quarantined", cause);
    }

    /** Answers a request after an exception, with nothing that could throw it again. */
    private refuseFailed(res: http.ServerResponse, progress: RequestProgress): void {
        const notRun = progress.stage === "reading" || progress.stage === "admission";
        const refusal = failedRefusal(notRun);
        this.deps.metrics.count("gateway_requests", { outcome: refusal.reason, kind: "none" });
        if (res.headersSent) {
            progress.recordEnd(refusal.reason);
            res.destroy();
            return;
        }
        this.dropUnread(res);
        writeRefusal(res, refusal);
    }

    private refuse(
        head: RequestHead | undefined,
        res: http.ServerResponse,
        refusal: Refusal,
        details: EventFields = {},
    ): void {
        const { log, metrics, fleet } = this.deps;
        metrics.count("gateway_requests", { outcome: refusal.reason, kind: "none" });
        log.event(EventId.GatewayRequestEnded, {
            request: head?.id,
            host: head?.host,
            target: head?.target,
            config: fleet.view().deployment?.version,
            viewAgeMs: Math.round(fleet.ageMs()),
            outcome: refusal.reason,
            ...refusal,
            ...details,
        });
        this.dropUnread(res);
        writeRefusal(res, refusal);
    }

    /** Reads on what is left of the request's body while the answer is on its way. */
    private dropUnread(res: http.ServerResponse): void {
        if (!res.req.complete && !res.destroyed) {
            const { maxBodyBytes = defaultUnreadBytes } = this.limits.current ?? {};
            dropBody(res.req, res, maxBodyBytes, { ...this.deps, turns: this.turns });
        }
    }
}

/** Answer to a request whose body was not read to its end; undefined when its caller has left. */
function bodyRefusal(fault: BodyFault): Refusal | undefined {
    switch (fault.kind) {
        case "incomplete":
            return undefined;
        case "too-large": {
            const message = `the body exceeds the limit of ${fault.limitBytes} bytes`;
            return { reason: "too-large", message, notRun: true };
        }
        case "given-up":
            return givenUpRefusal(fault.reason);
    }
}

function givenUpRefusal(reason: GivenUpReason): Refusal {
    switch (reason) {
        case "late":
            return { reason: "body-too-slow", message: "the body did not end in time", notRun: true };
        case "stopping":
            return { ...stoppingCause, notRun: true };
        case "memory": {
            const message = "this host holds as much data for callers as it may";
            return { reason: "overloaded", message, notRun: true, retryAfterMs: unconfirmedRetryMs };
        }
    }
}

/** Size of a request's head as it was sent, but for spaces round the values. */
function headBytes({ method = "", url = "", rawHeaders }: http.IncomingMessage): number {
    const lineBytes = method.length + url.length + " HTTP/1.1\r\n".length + 1;
    return rawHeaders.reduce((sum, text) => sum + text.length + ": ".length, lineBytes + "\r\n".length);
}

function refused(reason: Refusal["reason"], message: string, retryAfterMs?: number): Admission {
    return { refusal: { reason, message, notRun: true, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } };
}
