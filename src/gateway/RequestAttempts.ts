/**
 * The attempts of one request at endpoints: sends the request to a chosen endpoint, and records what the attempt shows
 * of the endpoint, of the request and of the stream that it begins.
 */
import type { Route } from "../fleet/Types.js";
import type { RequestVersions } from "../rollouts/VersionRouter.js";
import { originOf, type StreamOrigin } from "../streams/StreamOrigin.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { AttemptRace, type Contender, type RaceEnd } from "./AttemptRace.js";
import { AttemptReply } from "./AttemptReply.js";
import type { HeldBytes } from "./CallerMemory.js";
import type { CallerReply } from "./CallerReply.js";
import { EndpointExchange } from "./EndpointExchange.js";
import type { PermittedChoice } from "./EndpointSelection.js";
import type { EndpointRecord, RunningAttempt } from "./EndpointTracker.js";
import type { GatewayDependencies } from "./Gateway.js";
import type { RequestHedges } from "./RequestHedges.js";
import { recordFailure, type RequestRecorder } from "./RequestRecorder.js";
import type { RequestStages } from "./RequestStages.js";
import { firstByteTimeoutMs, gapTimeoutMs } from "./SilenceLimits.js";
import { streamKey } from "./StreamBinding.js";
import type { AdmittedRequest, AttemptOutcome } from "./Types.js";
import { endVersionAttempt } from "./VersionOutcome.js";

/** Status with which an endpoint refuses a request that it has no room for. */
const noRoomStatus = 503;
/** Replies with this status or a higher one say nothing of how long an answer takes. */
const failureStatus = 400;

interface RequestAttemptsOptions {
    readonly deps: GatewayDependencies;
    readonly admitted: AdmittedRequest;
    readonly caller: CallerReply;
    readonly held: HeldBytes;
    readonly stages: RequestStages;
    readonly recorder: RequestRecorder;
    readonly versions: RequestVersions;
    readonly hedges: RequestHedges;
    /** Deadline of the request, on the local clock. */
    readonly deadlineMs: number;
    /** Aborted when the request has ended. */
    readonly signal: AbortSignal;
    /** True when the request may be sent once more after the attempt that is running or about to begin. */
    readonly mayRepeat: () => boolean;
    /** Called when an endpoint is silent; see {@link RequestTakeover.reserve}. */
    readonly onSilence: (silent: EndpointRecord, isSilent: () => boolean) => Promise<boolean>;
    /** Called at each event of a streamed reply. */
    readonly onEvent: () => void;
}

export class RequestAttempts {
    /** Endpoints that get no further attempt. */
    public readonly tried = new Set<EndpointRecord>();
    /** Endpoints that may have got the request; unlike {@link tried}, it only grows. */
    private readonly reached = new Set<EndpointRecord>();
    private startedCount = 0;
    private sentCount = 0;
    private streamOrigin: StreamOrigin | undefined;
    private race: AttemptRace<PermittedChoice> | undefined;

    public constructor(private readonly options: RequestAttemptsOptions) {
        this.streamOrigin = options.admitted.origin;
    }

    /** True once an attempt has been started, whatever its outcome. */
    public get hasStarted(): boolean {
        return this.startedCount > 0;
    }

    /** Number of attempts that may have reached an endpoint. */
    public get sent(): number {
        return this.sentCount;
    }

    /** Where the stream began; undefined until it has brought an event. */
    public get origin(): StreamOrigin | undefined {
        return this.streamOrigin;
    }

    /** Number of attempts, of those that are running or about to begin, in which the request may run. */
    public get possibleRuns(): number {
        return this.race?.possibleRuns ?? 1;
    }

    /** Number of attempts that are running. */
    public get running(): number {
        return this.race?.running ?? 0;
    }

    /** Runs an attempt at an endpoint, with a hedge where it is slow; resolves once the outcomes have been recorded. */
    public async run(choice: PermittedChoice): Promise<RaceEnd<PermittedChoice>> {
        const { deps, signal, hedges } = this.options;
        const delayMs = this.hasBegun ? undefined : hedges.delayMs();
        const race = new AttemptRace<PermittedChoice>(
            signal,
            (one, contender) => this.runOne(one, contender, delayMs !== undefined),
        );
        this.race = race;
        race.enter(choice);
        if (delayMs !== undefined) {
            inBackground(deps.log, "hedge", hedges.enterLater(race, choice, delayMs));
        }
        const end = await race.end();
        this.race = undefined;
        hedges.recordEnd(end);
        return end;
    }

    private get hasBegun(): boolean {
        return this.options.caller.hasBegun || this.options.caller.events > 0;
    }

    private async runOne(choice: PermittedChoice, contender: Contender, mayLose: boolean): Promise<AttemptOutcome> {
        const { record } = choice;
        const { deps, admitted, caller, recorder } = this.options;
        // A roll-out may have changed since the selection.
        const version = deps.versions.begin(this.options.versions, record.listed, this.streamOrigin !== undefined);
        if (version === undefined) {
            choice.permit.place?.release(false);
            return { kind: "unsent", message: "its version may not get the request any more", isSilent: false };
        }
        const startMs = deps.clock.nowMs();
        this.startedCount += 1;
        if (caller.events > 0) {
            deps.metrics.count("streams_continued");
        }
        this.recordOrigin(record);
        const attempt = deps.tracker.startAttempt(record, admitted.service);
        const work = deps.load.start(record.id, choice.size);
        deps.chooser.recordSend(record, admitted.head.prompt);
        const firstByte = new FirstByteTimes(deps, admitted.route, startMs);
        const exchange = this.exchangeFor(attempt, contender, firstByte, mayLose, () => work.begin());
        const ended = await exchange.run().catch((err: unknown) => this.recordFailure(err));
        work.end();
        const hasLostRace = ended.kind === "cancelled" && contender.hasLostRace;
        const outcome = hasLostRace ? { ...ended, hasLostRace } : ended;
        if (hasLostRace) {
            // The time without an answer is a lower bound; without it, only the fast attempts of a slow endpoint count.
            firstByte.record();
        }
        choice.permit.place?.release(outcome.kind === "not-run" && outcome.status === noRoomStatus);
        attempt.recordOutcome(outcome);
        endVersionAttempt(version, outcome, firstByte.eventMs, deps.clock.nowMs() - startMs);
        deps.hedging.recordOutcome(admitted.service.id, outcome);
        inBackground(deps.log, "observe-crash", deps.quarantine.observe(admitted, record, outcome));
        this.tried.add(record);
        if (outcome.kind !== "unsent") {
            this.sentCount += 1;
            this.reached.add(record);
        }
        const { isHedge } = contender;
        const { through } = exchange;
        recorder.recordAttempt(choice, { outcome, startMs, lastEvent: caller.lastEvent, through, isHedge });
        return outcome;
    }

    /** The outcome of an exchange that an exception has ended: it is unknown what was sent. */
    private recordFailure(err: unknown): AttemptOutcome {
        const { deps: { log }, admitted: { head } } = this.options;
        recordFailure(log, err, { request: head.id, stage: "endpoint" });
        return { kind: "broken", message: "this host failed to handle the attempt", isSilent: false };
    }

    private exchangeFor(
        attempt: RunningAttempt,
        contender: Contender,
        firstByte: FirstByteTimes,
        mayLose: boolean,
        onBegin: () => void,
    ): EndpointExchange {
        const { deps, admitted, caller, held, stages, mayRepeat, onSilence, onEvent } = this.options;
        const { codec, connections, ends, notices, clock, log } = deps;
        const { head, body, route } = admitted;
        const { record } = attempt;
        return new EndpointExchange({
            head,
            headers: this.headersFor(record.listed.instance, firstByte.startMs),
            body,
            attempt,
            isRepeat: this.reached.has(record),
            caller: new AttemptReply(caller, contender, mayLose),
            held,
            codec,
            connections,
            ends,
            notices,
            clock,
            log,
            signal: contender.signal,
            mayRepeat,
            firstByteTimeoutMs: firstByteTimeoutMs(route, record.replyMs),
            gapMs: gapTimeoutMs(route),
            onSilence: isSilent => onSilence(record, isSilent),
            onCompleteReply: ({ status, isNotRun }) => {
                if (status < failureStatus && !isNotRun) {
                    contender.recordFirstByte();
                    firstByte.record();
                }
            },
            onEvent: () => {
                if (!contender.claim()) {
                    return false;
                }
                this.streamOrigin ??= originOf(record.listed);
                onEvent();
                if (firstByte.recordEvent()) {
                    onBegin();
                    // The endpoint has fetched the results, and they occupy storage that others need.
                    stages.free();
                }
                return true;
            },
        });
    }

    private headersFor(instance: string, startMs: number): readonly string[] {
        const { deps, admitted, caller, stages, deadlineMs } = this.options;
        const { head, workspace, body, route } = admitted;
        return deps.codec.encodeAttempt(head, {
            instance,
            remainingMs: Math.max(1, Math.floor(deadlineMs - startMs)),
            workspace: workspace?.id,
            results: route.stages.length > 0 ? stages.handles : undefined,
            lastEvent: caller.lastEvent,
            bodyBytes: body.length,
        });
    }

    /** Records at which version the stream begins, if the attempt brings its first event. */
    private recordOrigin({ listed }: EndpointRecord): void {
        const { deps, admitted: { route, workspace, head } } = this.options;
        if (route.kind === "resumable" && this.streamOrigin === undefined) {
            deps.origins.record(streamKey(workspace?.id, head.id), originOf(listed), this.startedCount);
        }
    }
}

/** Records the time to the first byte of one attempt, once. */
class FirstByteTimes {
    private isRecorded = false;
    /** Time to the first event; undefined before. */
    public eventMs: number | undefined;

    public constructor(
        private readonly deps: Pick<GatewayDependencies, "clock" | "hedging" | "replyTimes">,
        private readonly route: Route,
        public readonly startMs: number,
    ) {}

    /** Records the time until now. */
    public record(): void {
        if (!this.isRecorded) {
            this.isRecorded = true;
            this.deps.hedging.recordFirstByte(this.route.id, this.deps.clock.nowMs() - this.startMs);
        }
    }

    /** Records the time to the first event; returns true the first time. */
    public recordEvent(): boolean {
        const isFirst = this.eventMs === undefined;
        if (isFirst) {
            this.eventMs = this.deps.clock.nowMs() - this.startMs;
            this.deps.replyTimes.record(this.route.id, this.eventMs);
            this.record();
        }
        return isFirst;
    }
}
