/**
 * One caller's request from its head to its final answer: a task straight down. It is refused at once where nothing can
 * come of it, its stages are run, and it is sent to one endpoint after another as far as its kind, its route and the
 * fleet's budget of repeats allow.
 */
import type * as http from "node:http";
import type { Clock, DataCentreId } from "../common/Types.js";
import type { Route, Service, Workspace } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { CallerReply } from "./CallerReply.js";
import type { EndpointChoice } from "./EndpointChooser.js";
import { EndpointExchange } from "./EndpointExchange.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { GatewayDependencies } from "./Gateway.js";
import { defaultRetryMs, infeasibleStages, type StagePlan, type StageResults } from "./StageGraph.js";
import type { AttemptOutcome, Refusal, ReplyHead, RequestHead } from "./Types.js";

/** Attempts that never reached an endpoint, for one request. */
const mostUnsent = 4;
/** Pause before an endpoint is looked for again when none may be given the request. */
const noEndpointPauseMs = 40;
/** A request waits for an endpoint at most for this part of its latency objective. */
const endpointWaitShare = 0.5;
/** A repeatable request is taken elsewhere after this many times its usual time, but no sooner than the least. */
const silentFactor = 6;
const leastSilentMs = 350;
/** A resumable stream is taken elsewhere after this much silence before its first event, and between two. */
const streamSilentMs = 1500;
const streamGapMs = 900;
/** A caller that is refused by a host that stops reaches another one at once. */
export const stoppingRetryMs = 50;
/** Time kept for the last answer's way before the caller's deadline. */
const answerMarginMs = 15;

/** What has been found out about a request before it is run. */
export interface AdmittedRequest {
    readonly head: RequestHead;
    readonly route: Route;
    readonly service: Service;
    readonly workspace: Workspace | undefined;
    readonly body: Buffer;
    readonly arrivedMs: number;
}

type Ending = { readonly kind: "answered"; } | { readonly kind: "refused"; readonly refusal: Refusal; };

export class GatewayRequest {
    private readonly caller: CallerReply;
    private readonly abort = new AbortController();
    private readonly tried = new Set<EndpointRecord>();
    private readonly attempts: string[] = [];
    private readonly clock: Clock;
    private readonly log: EventLog;
    private readonly deadlineMs: number;
    private results: StageResults | undefined;
    /** Data centres whose endpoints could not fetch the results. */
    private readonly unreachableFrom = new Set<DataCentreId>();
    /** Data centres whose results are of no use, since none of their endpoints can be reached from here. */
    private readonly cutOff = new Set<DataCentreId>();
    private isOver = false;
    /** True once this host's planned stop has ended the wait. */
    private isStopped = false;
    private isSent = false;
    private hasLeft = false;
    /** Attempts after which the request may have run. */
    private ran = 0;
    private unsent = 0;
    private sent = 0;

    public constructor(
        private readonly parts: GatewayDependencies,
        private readonly admitted: AdmittedRequest,
        private readonly res: http.ServerResponse,
    ) {
        const { head, route, arrivedMs } = admitted;
        this.clock = parts.clock;
        this.log = parts.log;
        this.caller = new CallerReply(res, head.lastEvent);
        const callerMs = head.remainingMs === undefined ? Infinity : head.remainingMs - answerMarginMs;
        this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, callerMs);
    }

    public async run(): Promise<void> {
        const timer = this.clock.setTimer(Math.max(0, this.deadlineMs - this.clock.nowMs()), () => {
            this.isOver = true;
            this.abort.abort();
        });
        const closed = () => {
            this.hasLeft = !this.res.writableFinished;
            this.abort.abort();
        };
        this.res.on("close", closed);
        const ending = await this.serve();
        timer.dispose();
        this.res.off("close", closed);
        if (ending.kind === "refused") {
            this.caller.refuse(ending.refusal);
        }
        this.results?.free();
        this.noteEnd(ending);
    }

    /** Answers a request that is at no endpoint, since this host's process is about to end. */
    public stopWaiting(): void {
        if (!this.isSent) {
            this.isStopped = true;
            this.abort.abort();
        }
    }

    private async serve(): Promise<Ending> {
        for (;;) {
            const refusal = await this.prepare();
            if (refusal !== undefined) {
                return { kind: "refused", refusal };
            }
            const choice = await this.choose();
            if (choice === undefined && this.makeElsewhere()) {
                continue;
            }
            if (choice === undefined) {
                return { kind: "refused", refusal: this.noEndpoint() };
            }
            this.isSent = true;
            const end = await this.attempt(choice);
            this.isSent = false;
            const ending = this.judge(end, choice.record);
            if (ending !== undefined) {
                return ending;
            }
        }
    }

    /** Runs the stages, unless their results are at hand. */
    private async prepare(): Promise<Refusal | undefined> {
        const { route, head, workspace } = this.admitted;
        const deployment = this.parts.fleet.view().deployment;
        if (route.stages.length === 0 || this.results !== undefined || deployment === undefined) {
            return this.abort.signal.aborted ? this.ended() : undefined;
        }
        const plan: StagePlan = {
            request: head.id,
            route,
            deployment,
            pieces: head.pieces,
            pieceKey: head.pieceKey,
            priority: workspace?.priority ?? route.priority,
            objectiveMs: this.admitted.arrivedMs + route.objectiveMs,
            deadlineMs: this.deadlineMs,
            replyMs: this.parts.replyTimes.expectedMs(route.id),
            dataCentre: this.expectedCentre(),
            notIn: [...this.cutOff],
        };
        const hopeless = this.sent === 0 ? this.hopelessIn(plan) : undefined;
        if (hopeless !== undefined) {
            return hopeless;
        }
        let made = await this.parts.stages.run(plan, this.abort.signal);
        const hasGone = made.caseOf({ Left: error => error.kind === "source-gone", Right: () => false });
        if (hasGone && !this.abort.signal.aborted) {
            // Its maker has ended, or kept it no longer; whatever was made of it is made anew.
            made = await this.parts.stages.run(plan, this.abort.signal);
        }
        return made.caseOf<Refusal | undefined>({
            Right: results => {
                this.results = results;
                return undefined;
            },
            Left: error => {
                if (this.abort.signal.aborted) {
                    return this.ended();
                }
                const retryAfterMs = error.kind === "overloaded" ? error.retryAfterMs : defaultRetryMs;
                return { ...this.refusal("overloaded", error.message), retryAfterMs };
            },
        });
    }

    /** A refusal for a request whose stages can't be expected to end in time, by what gatherers told last. */
    private hopelessIn(plan: StagePlan): Refusal | undefined {
        const { pieces } = this.parts;
        const hopeless = infeasibleStages(plan, this.clock.nowMs(), service => pieces.waitMs(service));
        if (hopeless === undefined) {
            return undefined;
        }
        const { neededMs, leftMs, retryAfterMs } = hopeless;
        const message = `the stages need ${Math.round(neededMs)} ms, ${Math.round(leftMs)} ms are left`;
        return { ...this.refusal("overloaded", message), retryAfterMs };
    }

    /** Where the endpoint is that would be chosen now. */
    private expectedCentre(): DataCentreId | undefined {
        const { tracker: book, chooser } = this.parts;
        const { service, head } = this.admitted;
        return chooser.choose(service, book.usable(service.id), this.tried, head.prompt)?.record.listed.dataCentre;
    }

    /**
     * Gives up results that only endpoints beside them can fetch, when none of those can be reached: the stages run again
     * elsewhere. False when that is no way out, or was one before.
     */
    private makeElsewhere(): boolean {
        const { results, unreachableFrom, cutOff } = this;
        if (results === undefined || unreachableFrom.size === 0 || cutOff.size > 0 || this.abort.signal.aborted) {
            return false;
        }
        results.dataCentres.forEach(one => cutOff.add(one));
        results.free();
        this.results = undefined;
        unreachableFrom.clear();
        this.tried.clear();
        this.unsent = 0;
        return true;
    }

    /** Endpoints that may be given the request, once some could not fetch its results only those beside the results. */
    private usable(): readonly EndpointRecord[] {
        const { results, unreachableFrom } = this;
        const all = this.parts.tracker.usable(this.admitted.service.id);
        return results === undefined || unreachableFrom.size === 0
            ? all
            : all.filter(({ listed: { dataCentre } }) =>
                results.dataCentres.has(dataCentre) && !unreachableFrom.has(dataCentre)
            );
    }

    /** An endpoint that may be given the request; waits a little where there is none now. */
    private async choose(): Promise<EndpointChoice | undefined> {
        const { chooser } = this.parts;
        const { service, head, route } = this.admitted;
        const waitMs = this.unreachableFrom.size > 0 ? 0 : route.objectiveMs * endpointWaitShare;
        const untilMs = Math.min(this.deadlineMs, this.clock.nowMs() + waitMs);
        for (;;) {
            const choice = chooser.choose(service, this.usable(), this.tried, head.prompt);
            if (choice !== undefined || this.abort.signal.aborted || this.clock.nowMs() >= untilMs) {
                return this.abort.signal.aborted ? undefined : choice;
            }
            await this.clock.sleep(noEndpointPauseMs, this.abort.signal);
        }
    }

    private async attempt({ record, reason }: EndpointChoice): Promise<AttemptOutcome> {
        const { tracker: book, codec, connections, cold, replyTimes } = this.parts;
        const { head, service, workspace, body, route } = this.admitted;
        const startMs = this.clock.nowMs();
        if (record.isCold) {
            cold.recordSend(record.id);
        }
        const attempt = book.startAttempt(record, service);
        const remainingMs = Math.max(1, Math.floor(this.deadlineMs - startMs));
        const headers = codec.encodeAttempt(head, {
            instance: record.listed.instance,
            remainingMs,
            workspace: workspace?.id,
            results: route.stages.length > 0 ? this.results?.handles ?? [] : undefined,
            lastEvent: this.caller.lastEvent,
            bodyBytes: body.length,
        });
        let hasReplied = false;
        const onReply = () => {
            if (!hasReplied) {
                hasReplied = true;
                replyTimes.record(route.id, this.clock.nowMs() - startMs);
                // The endpoint has fetched them, and they block the room of others' results.
                this.results?.free();
                this.results = undefined;
            }
        };
        const exchange = new EndpointExchange({
            head,
            headers,
            body,
            attempt,
            caller: this.caller,
            codec,
            connections,
            clock: this.clock,
            signal: this.abort.signal,
            isRepeatable: this.isRepeatable,
            firstSignMs: this.silenceBorneMs(record),
            gapMs: route.kind === "resumable" && this.ran + 1 < route.maxEndpoints ? streamGapMs : undefined,
            onReply,
        });
        const end = await exchange.run();
        attempt.recordOutcome(end);
        if (end.kind === "broken" && !end.isSilent) {
            void this.reportIfCrashed(record);
        }
        this.noteAttempt(record, reason, end, startMs);
        return end;
    }

    /** A broken connection alone tells nothing of the endpoint; one that refuses the next has crashed. */
    private async reportIfCrashed(record: EndpointRecord): Promise<void> {
        const { connections, reportCrash, stopped } = this.parts;
        if (await connections.refusesConnections(record.id, stopped)) {
            reportCrash(this.admitted);
        }
    }

    /** What follows from an attempt's end; undefined to go on with another attempt. */
    private judge(end: AttemptOutcome, record: EndpointRecord): Ending | undefined {
        switch (end.kind) {
            case "cancelled":
                this.ran += 1;
                return { kind: "refused", refusal: this.ended() };
            case "unsent":
                this.unsent += 1;
                return this.unsent < mostUnsent ? undefined : { kind: "refused", refusal: this.noEndpoint() };
            case "not-run":
                return this.judgeNotRun(end.status, record);
            case "broken":
                this.ran += 1;
                if (this.isRepeatable && this.mayRepeat()) {
                    return undefined;
                }
                return { kind: "refused", refusal: this.refusal("broken", end.message) };
            case "replied":
                this.ran += 1;
                if (end.reply.status >= 500 && this.isRepeatable && !this.caller.hasBegun && this.mayRepeat()) {
                    return undefined;
                }
                return this.answer(end.reply, end.body);
        }
    }

    /** Gives a whole reply to the caller, unless its stream has been relayed already. */
    private answer(reply: ReplyHead, body: Buffer | undefined): Ending {
        if (body === undefined) {
            return { kind: "answered" };
        }
        if (this.caller.hasBegun || notRunStatuses.includes(reply.status)) {
            // The status would promise that the request has not run, or belongs to the continuation of a stream.
            return { kind: "refused", refusal: this.refusal("broken", `an endpoint replied ${reply.status}`) };
        }
        this.caller.writeWhole(reply, body);
        return { kind: "answered" };
    }

    private judgeNotRun(status: number, { listed }: EndpointRecord): Ending | undefined {
        if (status === resultsGone) {
            this.unreachableFrom.add(listed.dataCentre);
            if (this.usable().length === 0) {
                this.results = undefined;
                this.unreachableFrom.clear();
                this.tried.clear();
            }
        }
        if (this.clock.nowMs() < this.deadlineMs && this.parts.retries.tryAcquire(this.admitted.service.id)) {
            return undefined;
        }
        return { kind: "refused", refusal: this.refusal("overloaded", `an endpoint refused it with ${status}`) };
    }

    private get isRepeatable(): boolean {
        const { kind } = this.admitted.route;
        return kind === "idempotent" || kind === "resumable";
    }

    private mayRepeat(): boolean {
        const { route, service } = this.admitted;
        return !this.abort.signal.aborted
            && this.ran < route.maxEndpoints
            && this.parts.retries.tryAcquire(service.id);
    }

    /** For how long an endpoint may give nothing before the request is taken elsewhere; undefined where it can't be. */
    private silenceBorneMs(record: EndpointRecord): number | undefined {
        if (this.ran + 1 >= this.admitted.route.maxEndpoints) {
            return undefined;
        }
        switch (this.admitted.route.kind) {
            case "idempotent":
                return Math.max(leastSilentMs, (record.replyMs ?? 0) * silentFactor);
            case "resumable":
                return streamSilentMs;
            default:
                return undefined;
        }
    }

    private ended(): Refusal {
        if (this.isStopped) {
            return { ...this.refusal("stopping", "this host stops"), retryAfterMs: stoppingRetryMs };
        }
        return this.refusal("deadline", this.hasLeft ? "the caller has left" : "the time is over");
    }

    private noEndpoint(): Refusal {
        return this.abort.signal.aborted
            ? this.ended()
            : {
                ...this.refusal("no-endpoint", "no endpoint may be given the request now"),
                retryAfterMs: defaultRetryMs,
            };
    }

    private refusal(reason: Refusal["reason"], message: string): Refusal {
        return { reason, message, notRun: this.ran === 0 };
    }

    private noteAttempt(record: EndpointRecord, reason: string, end: AttemptOutcome, startMs: number): void {
        this.attempts.push(`${record.id}:${end.kind}`);
        this.tried.add(record);
        this.sent += end.kind === "unsent" ? 0 : 1;
        this.log.event(EventId.EndpointAttemptEnded, {
            request: this.admitted.head.id,
            endpoint: record.id,
            chosenBy: reason,
            running: record.running.size,
            failureShare: Number(record.failureShare.toFixed(2)),
            isCold: record.isCold,
            end: end.kind,
            ...(end.kind === "replied" ? { status: end.reply.status } : {}),
            ...(end.kind === "not-run" ? { status: end.status } : {}),
            ...(end.kind === "broken" || end.kind === "unsent" ? { message: end.message } : {}),
            takenMs: Math.round(this.clock.nowMs() - startMs),
        });
    }

    private noteEnd(ending: Ending): void {
        const { head, route, arrivedMs } = this.admitted;
        const durationMs = this.clock.nowMs() - arrivedMs;
        const outcome = ending.kind === "answered" ? "answered" : ending.refusal.reason;
        this.parts.metrics.count("gateway_requests", { outcome, kind: route.kind });
        this.parts.metrics.latency("gateway_request", durationMs, { kind: route.kind });
        this.log.event(EventId.GatewayRequestEnded, {
            request: head.id,
            route: route.id,
            config: this.parts.fleet.view().deployment?.version,
            outcome,
            ...(ending.kind === "refused" ? ending.refusal : {}),
            hasLeft: this.hasLeft,
            isOver: this.isOver,
            attempts: this.attempts,
            events: this.caller.events,
            durationMs: Math.round(durationMs),
        });
    }
}

const resultsGone = 409;
/** Statuses by which callers understand that a request has not run. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];
