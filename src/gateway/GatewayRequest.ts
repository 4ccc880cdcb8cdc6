/**
 * Handles one admitted request of a caller from its stages to the final answer. A request that can't succeed is refused
 * at once. Otherwise its stages are run, and it is sent to endpoints one after another, as far as its kind, its route
 * and the fleet's retry budget allow.
 */
import type * as http from "node:http";
import type { Clock } from "../common/Types.js";
import { type RequestVersions, requestVersions } from "../rollouts/VersionRouter.js";
import { type EndedAttempt, mayHaveRun } from "./AttemptRace.js";
import type { HeldBytes } from "./CallerMemory.js";
import { CallerPatience } from "./CallerPatience.js";
import { CallerReply } from "./CallerReply.js";
import { EndpointSelection, type PermittedChoice } from "./EndpointSelection.js";
import type { GatewayDependencies } from "./Gateway.js";
import {
    deadlineCause,
    disconnectedCause,
    failedRefusal,
    impatientCause,
    stoppingCause,
    unavailableCause,
} from "./RefusalCauses.js";
import { RequestAttempts } from "./RequestAttempts.js";
import { RequestEndpoints } from "./RequestEndpoints.js";
import { RequestHedges } from "./RequestHedges.js";
import type { RequestProgress } from "./RequestProgress.js";
import { recordFailure, type RequestOutcome, RequestRecorder } from "./RequestRecorder.js";
import { RequestRuns } from "./RequestRuns.js";
import { RequestStages } from "./RequestStages.js";
import { RequestTakeover } from "./RequestTakeover.js";
import { type AdmittedRequest, notRunStatuses, type Refusal, type RefusalCause, type ReplyHead } from "./Types.js";

/** Maximum number of attempts of a request that never reached an endpoint. */
const maxUnsentAttempts = 4;
/** A request waits for an available endpoint for at most this share of its latency objective. */
const endpointWaitShare = 0.5;
/** Time reserved before the caller's deadline for sending the answer. */
const answerMarginMs = 15;

export class GatewayRequest {
    private readonly caller: CallerReply;
    private readonly abortController = new AbortController();
    private readonly clock: Clock;
    private readonly recorder: RequestRecorder;
    private readonly deadlineMs: number;
    /** 0 is the highest priority. */
    private readonly priority: number;
    private readonly stages: RequestStages;
    private readonly attempts: RequestAttempts;
    private readonly selection: EndpointSelection;
    private readonly patience: CallerPatience;
    private readonly takeover: RequestTakeover;
    private readonly endpoints: RequestEndpoints;
    private readonly runs: RequestRuns;
    /** True once the deadline has passed; logged as `isOver`. */
    private hasTimedOut = false;
    /** True once the planned stop of this host has ended the request. */
    private isStopped = false;
    /** True once the caller has disconnected; logged as `hasLeft`. */
    private hasDisconnected = false;
    private unsentAttempts = 0;

    public constructor(
        private readonly deps: GatewayDependencies,
        private readonly admitted: AdmittedRequest,
        private readonly res: http.ServerResponse,
        held: HeldBytes,
        private readonly progress: RequestProgress,
    ) {
        const { head, route, service, workspace, arrivedMs } = admitted;
        this.clock = deps.clock;
        this.recorder = new RequestRecorder(admitted, deps.clock, deps.log, deps.metrics);
        this.caller = new CallerReply(res, deps.memory, head, progress);
        const callerRemainingMs = head.remainingMs === undefined ? Infinity : head.remainingMs - answerMarginMs;
        this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, callerRemainingMs);
        const { stages, pieces, chooser, permits, cold, clock, log, metrics } = deps;
        const { signal } = this.abortController;
        const versions = requestVersions(service.id, route.id, head.id);
        this.stages = new RequestStages({ stages, pieces, clock, signal });
        this.endpoints = this.createEndpoints(versions);
        const running = () => this.attempts.possibleRuns;
        this.runs = new RequestRuns({ route, service: service.id, retries: deps.retries, running, signal });
        this.patience = this.createPatience();
        this.priority = workspace?.priority ?? route.priority;
        this.selection = new EndpointSelection({
            chooser,
            permits,
            cold,
            clock,
            log,
            metrics,
            signal,
            request: head.id,
            service,
            prompt: head.prompt,
            priority: this.priority,
            deadlineMs: this.deadlineMs,
            onWait: () => deps.hedging.recordWait(service.id),
        });
        this.takeover = this.createTakeover();
        this.attempts = new RequestAttempts({
            deps,
            admitted,
            caller: this.caller,
            held,
            stages: this.stages,
            recorder: this.recorder,
            versions,
            hedges: this.createHedges(),
            deadlineMs: this.deadlineMs,
            signal,
            mayRepeat: () => this.runs.mayRepeat,
            onSilence: (silent, isSilent) => this.takeover.reserve(silent, isSilent),
            onEvent: () => this.patience.recordEvent(),
        });
    }

    private createEndpoints(versions: RequestVersions): RequestEndpoints {
        const { deps: { tracker, versions: router }, stages } = this;
        return new RequestEndpoints({
            service: this.admitted.service.id,
            tracker,
            router,
            versions,
            stages,
            origin: () => this.attempts.origin,
            tried: () => this.attempts.tried,
        });
    }

    private createPatience(): CallerPatience {
        return new CallerPatience({
            route: this.admitted.route,
            arrivedMs: this.admitted.arrivedMs,
            deadlineMs: this.deadlineMs,
            replyMs: this.deps.replyTimes.expectedMs(this.admitted.route.id),
            clock: this.clock,
            isAtEndpoint: () => this.isAtEndpoint,
            isBlocked: () => this.res.writableNeedDrain,
            onRunOut: () => this.abortController.abort(),
        });
    }

    private createHedges(): RequestHedges {
        const { deps, admitted } = this;
        return new RequestHedges({
            deps,
            admitted,
            isQuarantined: () => deps.quarantine.causeFor(admitted) !== undefined,
            selection: this.selection,
            usable: () => this.endpoints.usable(),
            tried: () => this.attempts.tried,
            runsLeft: () => this.runs.left,
            deadlineMs: this.patience.firstEventByMs,
        });
    }

    private createTakeover(): RequestTakeover {
        const { connections, clock, log, metrics, retries } = this.deps;
        return new RequestTakeover({
            log,
            metrics,
            request: this.admitted.head.id,
            selection: this.selection,
            clock,
            stages: this.stages,
            runStages: async () => await this.runStages() === undefined,
            probe: endpoint => connections.probe(endpoint, this.abortController.signal),
            usable: () => this.endpoints.usable(),
            tried: () => this.attempts.tried,
            running: () => this.attempts.running,
            mayMove: () => this.runs.mayRepeat && this.patience.leavesTimeForAttempt,
            acquireRetry: () => retries.tryAcquire(this.admitted.service.id),
        });
    }

    /** Runs the request until it has been answered or refused. */
    public async run(): Promise<void> {
        const timer = this.clock.setTimer(Math.max(0, this.deadlineMs - this.clock.nowMs()), () => {
            this.hasTimedOut = true;
            this.abortController.abort();
        });
        const onClose = () => {
            this.hasDisconnected = !this.res.writableFinished;
            this.abortController.abort();
        };
        this.res.on("close", onClose);
        this.patience.start();
        const outcome = await this.serve().catch((err: unknown) => this.handleError(err));
        timer.dispose();
        this.patience.stop();
        this.res.off("close", onClose);
        this.takeover.end();
        this.stages.free();
        if (outcome.kind === "refused") {
            this.caller.refuse(outcome.refusal);
        }
        this.recorder.recordEnd({
            outcome,
            config: this.deps.fleet.view().deployment?.version,
            hasLeft: this.hasDisconnected,
            isOver: this.hasTimedOut,
            events: this.caller.events,
        });
    }

    /** Ends everything that still runs; the request has certainly not run only if no attempt has been started. */
    private handleError(err: unknown): RequestOutcome {
        this.abortController.abort();
        recordFailure(this.deps.log, err, this.progress);
        return { kind: "refused", refusal: failedRefusal(!this.attempts.hasStarted) };
    }

    /** True during an attempt, which a planned stop does not end. */
    private get isAtEndpoint(): boolean {
        return this.progress.stage === "endpoint";
    }

    /** Refuses the request if it is not at an endpoint, since this process is about to end. */
    public stopWaiting(): void {
        if (!this.isAtEndpoint) {
            this.stop();
        }
    }

    /** Refuses the request; it may have run if it is at an endpoint. */
    public stop(): void {
        this.isStopped = true;
        this.abortController.abort();
    }

    private async serve(): Promise<RequestOutcome> {
        const unavailable = this.unavailableRefusal();
        if (unavailable !== undefined) {
            return { kind: "refused", refusal: unavailable };
        }
        for (;;) {
            if (this.endpoints.isOriginUsedUp) {
                return { kind: "refused", refusal: this.noEndpointRefusal() };
            }
            const refusal = await this.runStages();
            if (refusal !== undefined) {
                return { kind: "refused", refusal };
            }
            const choice = this.takeover.take() ?? await this.chooseEndpoint();
            if (choice === undefined && this.rerunStagesElsewhere()) {
                continue;
            }
            if (choice === undefined) {
                return { kind: "refused", refusal: this.noEndpointRefusal() };
            }
            // The request may have been admitted before its cause was known.
            const cause = this.deps.quarantine.causeFor(this.admitted);
            if (cause !== undefined) {
                choice.permit.place?.release(false);
                return { kind: "refused", refusal: this.refusal({ reason: "quarantined", message: cause }) };
            }
            this.progress.stage = "endpoint";
            const { decisive, others } = await this.attempts.run(choice);
            this.progress.stage = "waiting";
            this.runs.recordEnded(others.filter(one => mayHaveRun(one.outcome)).length);
            others.forEach(one => this.recordResultsGone(one));
            const outcome = this.handleOutcome(decisive);
            if (outcome !== undefined) {
                return outcome;
            }
            await this.takeover.settle();
            if (!this.takeover.isReserved && this.patience.isTooLateToStart) {
                return { kind: "refused", refusal: this.impatientRefusal() };
            }
        }
    }

    /**
     * A refusal when no endpoint of the service may get the request before the time for which it would wait. With
     * stages, that wait begins only after them.
     */
    private unavailableRefusal(): Refusal | undefined {
        const { route } = this.admitted;
        const waitShare = route.stages.length > 0 ? 1 : endpointWaitShare;
        return this.selection.unavailableForMs(this.endpoints.suitable()) > route.objectiveMs * waitShare
            ? this.noEndpointRefusal()
            : undefined;
    }

    /** Runs the stages unless their results are available; returns a refusal when the request can't continue. */
    private async runStages(): Promise<Refusal | undefined> {
        const { route, head, arrivedMs } = this.admitted;
        const { fleet, replyTimes } = this.deps;
        const { deployment } = fleet.view();
        if (route.stages.length === 0 || this.stages.hasResults || deployment === undefined) {
            return this.abortController.signal.aborted ? this.endedRefusal() : undefined;
        }
        const expected = this.selection.expected(this.endpoints.suitable(), this.attempts.tried);
        const plan = {
            request: head.id,
            route,
            deployment,
            pieces: head.pieces,
            pieceKey: head.pieceKey,
            priority: this.priority,
            objectiveMs: arrivedMs + route.objectiveMs,
            deadlineMs: this.patience.nextEventByMs,
            replyMs: replyTimes.expectedMs(route.id),
            dataCentre: expected?.record.listed.dataCentre,
        };
        const refused = await this.stages.run(plan, this.attempts.sent === 0);
        if (this.abortController.signal.aborted) {
            return this.endedRefusal();
        }
        return refused === undefined
            ? undefined
            : this.refusal({ reason: "overloaded", ...refused });
    }

    /**
     * Runs the stages elsewhere when no endpoint that can fetch their results is in reach; false when it can't help.
     */
    private rerunStagesElsewhere(): boolean {
        if (this.abortController.signal.aborted || !this.stages.giveUpDataCentres()) {
            return false;
        }
        this.attempts.tried.clear();
        this.unsentAttempts = 0;
        return true;
    }

    /** Selects an endpoint; waits for a limited time while none is available. */
    private chooseEndpoint(): Promise<PermittedChoice | undefined> {
        const waitMs = this.stages.isBound || this.endpoints.isOriginUsedUp
            ? 0
            : this.admitted.route.objectiveMs * endpointWaitShare;
        const untilMs = Math.min(this.deadlineMs, this.clock.nowMs() + waitMs);
        return this.selection.choose(() => this.endpoints.usable(), this.attempts.tried, untilMs);
    }

    /** Decides what follows from an attempt's outcome; undefined to make another attempt. */
    private handleOutcome(attempt: EndedAttempt<PermittedChoice>): RequestOutcome | undefined {
        const { outcome } = attempt;
        switch (outcome.kind) {
            case "cancelled":
                this.runs.recordEnded();
                return { kind: "refused", refusal: this.endedRefusal() };
            case "unsent":
                this.unsentAttempts += 1;
                return this.unsentAttempts < maxUnsentAttempts
                    ? undefined
                    : { kind: "refused", refusal: this.noEndpointRefusal() };
            case "not-run":
                this.recordResultsGone(attempt);
                return this.handleNotRun(outcome.status);
            case "broken":
                this.runs.recordEnded();
                if (this.takeover.isReserved || this.runs.tryRepeat()) {
                    return undefined;
                }
                return { kind: "refused", refusal: this.refusal({ reason: "broken", message: outcome.message }) };
            case "replied":
                this.runs.recordEnded();
                if (outcome.reply.status >= 500 && !this.caller.hasBegun && this.runs.tryRepeat()) {
                    return undefined;
                }
                return this.sendAnswer(outcome.reply, outcome.body);
        }
    }

    /** Sends a complete reply to the caller; a stream has been relayed already. */
    private sendAnswer(reply: ReplyHead, body: Buffer | undefined): RequestOutcome {
        if (body === undefined) {
            return { kind: "answered" };
        }
        if (this.caller.hasBegun || notRunStatuses.includes(reply.status)) {
            // The status would state that the request has not run, or a stream has already begun with another head.
            return {
                kind: "refused",
                refusal: this.refusal({ reason: "broken", message: `an endpoint replied with status ${reply.status}` }),
            };
        }
        this.caller.writeComplete(reply, body);
        return { kind: "answered" };
    }

    /** Takes note when an endpoint could not fetch the results of the stages. */
    private recordResultsGone({ choice: { record }, outcome }: EndedAttempt<PermittedChoice>): void {
        if (outcome.kind !== "not-run" || outcome.status !== resultsGoneStatus) {
            return;
        }
        this.stages.recordUnreachable(record.listed.dataCentre);
        if (this.endpoints.usable().length === 0) {
            // No endpoint is left that could fetch the results, so the stages run again.
            this.stages.giveUp();
            this.attempts.tried.clear();
        }
    }

    private handleNotRun(status: number): RequestOutcome | undefined {
        if (this.clock.nowMs() < this.deadlineMs && this.deps.retries.tryAcquire(this.admitted.service.id)) {
            return undefined;
        }
        return {
            kind: "refused",
            refusal: this.refusal({
                reason: "overloaded",
                message: `an endpoint refused the request with status ${status}`,
            }),
        };
    }

    private endedRefusal(): Refusal {
        if (this.isStopped) {
            return this.refusal(stoppingCause);
        }
        if (this.hasDisconnected) {
            return this.refusal(disconnectedCause);
        }
        return this.hasTimedOut || !this.patience.hasRunOut ? this.refusal(deadlineCause) : this.impatientRefusal();
    }

    /** Refuses a request whose next event can't come before the caller leaves. */
    private impatientRefusal(): Refusal {
        const neededMs = this.stages.neededMs ?? this.deps.replyTimes.expectedMs(this.admitted.route.id);
        return this.refusal(impatientCause(this.patience.retryAfterMs(neededMs)));
    }

    private noEndpointRefusal(): Refusal {
        if (this.abortController.signal.aborted) {
            return this.endedRefusal();
        }
        const suitable = this.endpoints.suitable();
        if (this.attempts.origin !== undefined && suitable.length === 0) {
            return this.refusal({
                reason: "version-gone",
                message: "no endpoint of the version that began the stream is left",
            });
        }
        return this.refusal(unavailableCause(this.selection.unavailability(suitable)));
    }

    private refusal(cause: RefusalCause): Refusal {
        return { ...cause, notRun: this.runs.ended === 0 };
    }
}

/** Status with which an endpoint refuses a request whose stage results it could not fetch. */
const resultsGoneStatus = 409;
