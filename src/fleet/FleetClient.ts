/**
 * Follows the fleet's state on an entry host by long polling one control host at a time. Keeps the current view and its
 * age, switches to another control host when one fails, stops responding or has lost contact with the group, and never
 * returns to an older configuration.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, DataCentreId, EndpointId, HostId, Incarnation } from "../common/Types.js";
import type { EndpointLimit } from "../endpoints/EndpointLimits.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { PeerMethod, PeerTransport } from "../peer/Types.js";
import { rolloutViewSchema, type ServiceReport } from "../rollouts/Types.js";
import type { Service } from "../supervise/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { EntryFaultLog } from "./EntryFaultLog.js";
import { hostOf, isLive } from "./EntryHostRegistry.js";
import {
    type CrashReports,
    decompressText,
    type EntryHostStatus,
    fleetMethods,
    type HeldTags,
    type SyncReply,
} from "./FleetMessages.js";
import { checkListPart } from "./ListedEndpoints.js";
import { applyPart } from "./ListVersions.js";
import type { Statement, StatementReport } from "./StatementReports.js";
import type {
    DeploymentDecoder,
    EndpointCrash,
    FleetSource,
    FleetView,
    ListedEndpoint,
    LoadReporter,
    PartKey,
} from "./Types.js";

/** How long a control host may hold back its reply; bounds the view's age while nothing changes. */
const pollWaitMs = 500;
/** The same during a roll-out, so that reports on it are recent. */
const rolloutPollWaitMs = 250;
/** Additional time for the network and the control host's processing. */
const replyMarginMs = 500;
/** The client switches to another control host when the state is older than this. */
const maxStateAgeMs = 1500;
/** Pause after all control hosts have been tried without success. */
const retryPauseMs = 100;
/** Interval between two equal reports of this host: on the reach of a data centre, or what an endpoint states. */
const reportIntervalMs = 300;

/** Number of reports whose times are remembered; the oldest are forgotten first. */
const maxKnownReports = 1024;

/** The view before the first reply of a control host. */
export const emptyView: FleetView = {
    deployment: undefined,
    endpoints: [],
    endpointsReadMs: 0,
    hosts: [],
    dataCentresOut: new Set(),
    quarantined: new Set(),
    suspectedParts: new Set(),
    condemnedParts: new Set(),
    cutOff: new Set(),
    limits: new Map(),
    brittle: new Map(),
    leaving: new Set(),
};

interface FleetClientOptions {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    /** Control hosts to ask in addition to those that replies name. */
    readonly seeds: () => readonly HostId[];
    readonly decoder: DeploymentDecoder;
    readonly transport: PeerTransport;
    /** Includes time in system suspension, so that the view's age does too. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Aborted once this host has been told to stop; other hosts then send it no work. */
    readonly stopping: AbortSignal;
    /** Reports this host's load; undefined where no load is exchanged. */
    readonly load?: LoadReporter;
}

export class FleetClient implements FleetSource, Service {
    public readonly name = "fleet-client";
    private readonly changes = new Emitter<FleetView>();
    public readonly onChange = this.changes.event;
    private current = emptyView;
    /** Entry hosts with their status as of the message in which it last changed. */
    private entryHosts: readonly EntryHostStatus[] = [];
    private heldTags: HeldTags = {
        config: 0,
        endpoints: "",
        hosts: "",
        marks: "",
        cuts: "",
        statements: "",
        parts: "",
    };
    /** Time until which the view is known to have been the latest, on the local clock. */
    private confirmedUntilMs = -Infinity;
    /** The same for its roll-outs, which a control host of an older build does not confirm. */
    private rolloutsConfirmedUntilMs = -Infinity;
    /** What is reported of roll-outs with each poll. */
    private rolloutReports: () => readonly ServiceReport[] = () => [];
    /** Control hosts that the last reply named. */
    private controls: readonly HostId[] = [];
    /** When this host last made each report, on the local clock. */
    private readonly reportedMs = new BoundedMap<string, number>(maxKnownReports);
    /** Crash reports that no control host has acknowledged. */
    private unreportedCrashes: EndpointCrash[] = [];
    /** Index of the control host to poll, modulo the number of candidates. */
    private candidateIndex = 0;
    /** The control host whose poll failed last; undefined after a successful poll. */
    private lostControl: HostId | undefined;
    private readonly entryFaults: EntryFaultLog;

    public constructor(private readonly options: FleetClientOptions) {
        this.entryFaults = new EntryFaultLog(options.log);
    }

    public view(): FleetView {
        return this.current;
    }

    public ageMs(): number {
        return this.options.clock.nowMs() - this.confirmedUntilMs;
    }

    public rolloutsAgeMs(): number {
        return this.options.clock.nowMs() - this.rolloutsConfirmedUntilMs;
    }

    /** Sets what is reported of roll-outs with each poll. */
    public reportRollouts(reports: () => readonly ServiceReport[]): void {
        this.rolloutReports = reports;
    }

    /** Reports at once, and again with the next poll if that fails. */
    public reportCrash(crash: EndpointCrash): void {
        this.unreportedCrashes.push(crash);
        inBackground(this.options.log, "report-crashes", this.sendCrashes());
    }

    public reportSoundParts(parts: readonly PartKey[]): void {
        const keys = parts.filter(key => this.isReportDue(`sound ${key}`));
        if (keys.length > 0) {
            this.startReport(fleetMethods.sound, { keys });
        }
    }

    public reportReach(
        { id: endpoint, dataCentre: to }: Pick<ListedEndpoint, "id" | "dataCentre">,
        isReached: boolean,
    ) {
        const { self: host, dataCentre: from } = this.options;
        if (to !== from && this.isReportDue(`${to} ${isReached}`)) {
            this.startReport(fleetMethods.cut, { host, from, to, endpoint, isReached, ageMs: 0 });
        }
    }

    public reportStatement(statement: Statement): void {
        const { endpoint, matter, perSecond } = statement;
        if (this.isReportDue(`${matter} ${endpoint} ${perSecond}`)) {
            this.startReport(fleetMethods.statement, { ...statement, ageMs: 0 });
        }
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const candidates = this.candidates();
            const control = this.currentControl();
            const isServed = control !== undefined && await this.poll(control, signal);
            if (!isServed) {
                this.candidateIndex += 1;
            }
            if (!isServed && this.candidateIndex % Math.max(1, candidates.length) === 0) {
                await this.options.clock.sleep(retryPauseMs, signal);
            }
        }
    }

    /** True, and counts as made, when a report was not made within the interval. */
    private isReportDue(key: string): boolean {
        const nowMs = this.options.clock.nowMs();
        const isDue = nowMs - (this.reportedMs.get(key) ?? -Infinity) >= reportIntervalMs;
        if (isDue) {
            this.reportedMs.set(key, nowMs);
        }
        return isDue;
    }

    private async sendCrashes(): Promise<void> {
        const crashes = this.unreportedCrashes.splice(0);
        if (!await this.sendReport(fleetMethods.crash, crashReportsOf(crashes))) {
            this.unreportedCrashes.unshift(...crashes);
        }
    }

    private startReport<Report>(method: PeerMethod<Report, Record<string, never>>, report: Report): void {
        inBackground(this.options.log, method.name, this.sendReport(method, report));
    }

    /** Sends a report to the current control host; true when it was acknowledged. */
    private async sendReport<Report>(
        method: PeerMethod<Report, Record<string, never>>,
        report: Report,
    ): Promise<boolean> {
        const { transport, metrics } = this.options;
        const control = this.currentControl();
        const options = { timeoutMs: replyMarginMs };
        const sent = control === undefined ? undefined : await transport.call(control, method, report, options);
        const isSent = sent?.isRight() === true;
        metrics.count("reports", { method: method.name, outcome: isSent ? "sent" : "lost" });
        return isSent;
    }

    private currentControl(): HostId | undefined {
        const candidates = this.candidates();
        return candidates[this.candidateIndex % Math.max(1, candidates.length)];
    }

    /** Control hosts in rendezvous order, so that entry hosts are spread over them. */
    private candidates(): readonly HostId[] {
        const known = this.controls.length > 0 ? [...this.controls, ...this.options.seeds()] : this.options.seeds();
        return rankByWeight(this.options.self, [...new Set(known)]);
    }

    /** Polls a control host; returns true when its state is recent enough to stay with it. */
    private async poll(control: HostId, signal: AbortSignal): Promise<boolean> {
        const { self: host, dataCentre, incarnation, transport, clock, log } = this.options;
        const crashes = this.unreportedCrashes.splice(0);
        const sentMs = clock.nowMs();
        const isStale = this.ageMs() > maxStateAgeMs;
        const isLeaving = this.options.stopping.aborted;
        const { heldTags: held } = this;
        const isInRollout = this.current.rollouts?.records.some(one => one.state === "serving") === true;
        const waitMs = isStale ? 0 : isInRollout ? rolloutPollWaitMs : pollWaitMs;
        const req = { host, dataCentre, incarnation, isLeaving, held, waitMs };
        const options = { timeoutMs: pollWaitMs + replyMarginMs, signal };
        const reply = await transport.call(
            control,
            fleetMethods.sync,
            { ...req, ...crashReportsOf(crashes), load: this.options.load?.report(), rollouts: this.rolloutStatus() },
            options,
        );
        if (reply.isLeft()) {
            this.unreportedCrashes.unshift(...crashes);
            if (this.lostControl === undefined && !signal.aborted) {
                log.event(EventId.ControlHostLost, {
                    control,
                    ...reply.extract(),
                    viewAgeMs: Math.round(this.ageMs()),
                });
            }
            this.lostControl = control;
            return false;
        }
        if (this.lostControl !== undefined) {
            log.event(EventId.ControlHostRegained, { control, lost: this.lostControl });
            this.lostControl = undefined;
        }
        const answer = reply.unsafeCoerce();
        const isViewChanged = this.applyReply(answer);
        if (answer.load !== undefined) {
            this.options.load?.accept(answer.load, answer.heldMs);
        }
        if (answer.ageMs !== undefined) {
            const untilMs = sentMs + answer.heldMs - answer.ageMs;
            this.confirmedUntilMs = Math.max(this.confirmedUntilMs, untilMs);
            // A control host that lags behind the held revision does not know the latest state.
            if (answer.rollouts !== undefined && answer.rollouts.revision >= (this.current.rollouts?.revision ?? 0)) {
                this.rolloutsConfirmedUntilMs = Math.max(this.rolloutsConfirmedUntilMs, untilMs);
            }
        }
        if (isStale && this.ageMs() > maxStateAgeMs) {
            await clock.sleep(retryPauseMs, signal);
            return false;
        }
        if (!isViewChanged && answer.heldMs < req.waitMs / 2) {
            // The control host has something that this host can't apply, such as an older list of endpoints.
            await clock.sleep(retryPauseMs, signal);
        }
        return true;
    }

    /** Applies a reply; returns true when the view has changed. */
    private applyReply(reply: SyncReply): boolean {
        const before = this.current;
        this.controls = reply.controls;
        this.applyConfig(reply);
        this.applyEndpoints(reply);
        this.applyHosts(reply);
        this.applyRollouts(reply);
        const { marks, cuts, statements, parts } = reply;
        if (marks !== undefined) {
            this.heldTags = { ...this.heldTags, marks: marks.tag };
            this.current = {
                ...this.current,
                dataCentresOut: new Set(marks.dataCentresOut as readonly DataCentreId[]),
                quarantined: new Set(marks.quarantined),
            };
        }
        if (parts !== undefined) {
            this.heldTags = { ...this.heldTags, parts: parts.tag };
            this.current = {
                ...this.current,
                suspectedParts: new Set(parts.suspected),
                condemnedParts: new Set(parts.condemned),
            };
        }
        if (cuts !== undefined) {
            this.heldTags = { ...this.heldTags, cuts: cuts.tag };
            this.current = { ...this.current, cutOff: new Set(cuts.cutOff) };
        }
        if (statements !== undefined) {
            this.heldTags = { ...this.heldTags, statements: statements.tag };
            this.current = { ...this.current, ...this.decodeStatements(statements.all) };
        }
        if (this.current !== before) {
            this.logChange(reply);
            this.changes.fire(this.current);
        }
        return this.current !== before;
    }

    private applyConfig({ config }: SyncReply): void {
        if (config === undefined || config.version <= this.heldTags.config) {
            return;
        }
        const { decoder, log, clock } = this.options;
        const startMs = clock.nowMs();
        decoder.decode(decompressText(config.packed)).caseOf({
            Left: fault => log.event(EventId.DeploymentUnreadable, { version: config.version, message: fault.message }),
            Right: deployment => {
                this.heldTags = { ...this.heldTags, config: config.version };
                this.current = { ...this.current, deployment };
                const decodedMs = Math.round(clock.nowMs() - startMs);
                log.event(EventId.DeploymentInForce, {
                    version: config.version,
                    routes: deployment.routes.length,
                    decodedMs,
                });
            },
        });
    }

    private rolloutStatus(): { readonly revision: number; readonly services: readonly ServiceReport[]; } {
        return { revision: this.current.rollouts?.revision ?? 0, services: this.rolloutReports() };
    }

    /** Takes over roll-outs that are newer than those held; unreadable ones are logged, and not confirmed as latest. */
    private applyRollouts({ rollouts }: SyncReply): void {
        const view = rollouts?.view;
        if (view === undefined || view.revision <= (this.current.rollouts?.revision ?? 0)) {
            return;
        }
        const parsed = rolloutViewSchema.safeParse(view);
        if (!parsed.success) {
            this.options.log.event(EventId.RolloutReportUnreadable, { message: parsed.error.issues[0]?.message });
            return;
        }
        this.current = { ...this.current, rollouts: parsed.data };
        this.options.log.event(EventId.RolloutsInForce, {
            revision: view.revision,
            rollouts: parsed.data.records.map(({ service, target, state, step }) => ({ service, target, state, step })),
        });
    }

    private applyHosts({ hosts: part }: SyncReply): void {
        if (part === undefined) {
            return;
        }
        const known = applyPart(this.entryHosts, this.heldTags.hosts, part, hostOf);
        this.heldTags = { ...this.heldTags, hosts: known === undefined ? "" : part.tag };
        if (known !== undefined) {
            this.entryHosts = known;
            const hosts = known.map(one => ({
                host: one.host,
                dataCentre: one.dataCentre,
                incarnation: one.incarnation,
                isLive: isLive(one),
            }));
            this.current = { ...this.current, hosts };
        }
    }

    private applyEndpoints({ endpoints: aged }: SyncReply): void {
        const { clock } = this.options;
        if (aged === undefined || aged.ageMs < 0) {
            return;
        }
        const endpointsReadMs = clock.nowMs() - aged.ageMs;
        const isNewer = endpointsReadMs > this.current.endpointsReadMs || this.heldTags.endpoints === "";
        const { part, faults } = checkListPart(aged.part);
        this.entryFaults.record(faults, this.currentControl());
        const endpoints = applyPart(this.current.endpoints, this.heldTags.endpoints, part, ({ id }) => id);
        if (endpoints === undefined) {
            this.heldTags = { ...this.heldTags, endpoints: "" };
        }
        else if (isNewer) {
            this.heldTags = { ...this.heldTags, endpoints: part.tag };
            this.current = { ...this.current, endpoints, endpointsReadMs };
        }
    }

    private decodeStatements(reports: readonly StatementReport[]): Pick<FleetView, "limits" | "brittle" | "leaving"> {
        const nowMs = this.options.clock.nowMs();
        const limits = new Map<EndpointId, EndpointLimit>();
        const brittle = new Map<EndpointId, EndpointLimit>();
        const leaving = new Set<EndpointId>();
        for (const { endpoint, matter, perSecond, ageMs } of reports) {
            if (matter === "leaving") {
                leaving.add(endpoint);
            }
            else {
                (matter === "limit" ? limits : brittle).set(endpoint, { perSecond, statedMs: nowMs - ageMs });
            }
        }
        return { limits, brittle, leaving };
    }

    private logChange(reply: SyncReply): void {
        const { deployment, endpoints, hosts, dataCentresOut, cutOff, suspectedParts, condemnedParts } = this.current;
        const countStated = (stated: FleetView["limits"]) =>
            [...stated.values()].filter(one => one.perSecond !== undefined).length;
        this.options.log.event(EventId.FleetViewChanged, {
            config: deployment?.version,
            endpoints: endpoints.length,
            endpointsAgeMs: Math.round(reply.endpointsAgeMs),
            hosts: hosts.filter(host => host.isLive).length,
            dataCentresOut: [...dataCentresOut],
            cutOff: [...cutOff],
            limits: countStated(this.current.limits),
            brittle: countStated(this.current.brittle),
            suspectedParts: suspectedParts.size,
            condemnedParts: [...condemnedParts],
            ageMs: Math.round(this.ageMs()),
        });
        this.options.metrics.gauge("fleet_config_version", deployment?.version ?? 0);
    }
}

function crashReportsOf(crashes: readonly EndpointCrash[]): CrashReports {
    return {
        crashes: crashes.map(one => one.fingerprint),
        partCrashes: crashes.map(({ endpoint, parts }) => ({ endpoint, keys: [...parts] })),
    };
}
