/**
 * Publishes the state of the fleet from a control host to entry hosts. Agreed state comes from the replicated log; the
 * list of endpoints and the status of entry hosts are exchanged through the leader. Each exchange with the leader also
 * proves until when this host's state was the latest, on which the leases of entry hosts are based.
 */
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { Notifier } from "../replication/Notifier.js";
import type { RaftLog } from "../replication/RaftLog.js";
import { RolloutControl } from "../rollouts/RolloutControl.js";
import type { Service } from "../supervise/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { type CutReport, CutReports } from "./CutReports.js";
import type { EndpointListReader } from "./EndpointListReader.js";
import { EntryHostRegistry, isLive } from "./EntryHostRegistry.js";
import {
    compressText,
    type CrashReports,
    fleetMethods,
    type HeldTags,
    type LeaderSyncReply,
    type LeaderSyncRequest,
    type SyncReply,
    type SyncRequest,
    tagOf,
} from "./FleetMessages.js";
import type { FleetCommand, FleetState } from "./FleetState.js";
import { ListVersions } from "./ListVersions.js";
import { PartJudge } from "./PartJudge.js";
import { type StatementReport, StatementReports } from "./StatementReports.js";
import type { ListedEndpoint, LoadExchange, PartKey } from "./Types.js";

/** Interval of the exchanges with the leader; a small part of the time limit for applying a change. */
const exchangeIntervalMs = 300;
/** Time limit for one exchange with the leader. */
const exchangeTimeoutMs = 500;
/** Longest time for which a reply to an entry host is held back. */
const maxHoldMs = 1000;
/** Time limit for one attempt to commit crash marks. */
const markTimeoutMs = 2000;
/** How long reported crashes are proposed again while the group has no leader; longer than its recovery takes. */
const keepReportsMs = 15_000;
/** Pause between two such attempts. */
const markRetryMs = 100;

interface FleetPublisherOptions {
    readonly self: HostId;
    readonly log: RaftLog;
    readonly state: FleetState;
    readonly reader: () => EndpointListReader;
    /** Control hosts that entry hosts may use. */
    readonly controls: () => readonly HostId[];
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    /** Includes time in system suspension, so that the state becomes stale during one. */
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    /** Joins the load of hosts; undefined where no load is exchanged. */
    readonly load?: LoadExchange;
}

export class FleetPublisher implements Service {
    /** Name in logs; "board" stands for the state that control hosts collect and publish. */
    public readonly name = "fleet-board";
    private readonly entryHosts: EntryHostRegistry;
    private readonly cuts: CutReports;
    private readonly statements: StatementReports;
    private readonly endpointVersions = new ListVersions<ListedEndpoint>(idOf, endpoint => JSON.stringify(endpoint));
    private readonly judge: PartJudge;
    public readonly rollouts: RolloutControl;
    /** Members of the group whose last message showed a build that knows no roll-outs; as the leader has told. */
    private oldControls = new Set<HostId>();
    /** False while the leader's build knows no roll-outs. */
    private leaderKnowsRollouts = true;
    /** Tags of the crash marks and data centres out of use, and of the parts of prompts, as of an applied index. */
    private markedAt: { readonly appliedIndex: number; readonly marks: string; readonly parts: string; } | undefined;
    private readonly changes: Notifier;
    /** Wakes the exchange when the leader has changed. */
    private readonly roleChanges: Notifier;
    /** The compressed configuration, kept for further replies. */
    private compressed: { readonly version: number; readonly text: string; } | undefined;
    /** Time until which this host's state is known to have been the latest. */
    private confirmedUntilMs: number | undefined;
    /** Outcome of the last exchange; only changes of it are logged. */
    private isConfirmed = false;

    public constructor(private readonly options: FleetPublisherOptions) {
        const { clock, registry, log } = options;
        this.entryHosts = new EntryHostRegistry(clock);
        this.cuts = new CutReports(clock);
        this.statements = new StatementReports(clock);
        this.judge = new PartJudge(options.state.parts, clock);
        this.rollouts = new RolloutControl({
            table: options.state.rollouts,
            hosts: () => this.entryHosts.others([]).map(one => ({ ...one, isLive: isLive(one) })),
            endpoints: () => options.reader().current().endpoints,
            propose: async command => (await options.log.propose(command, markTimeoutMs)).isRight(),
            clock,
            events: options.events,
            metrics: options.metrics,
        });
        this.changes = new Notifier(clock);
        this.roleChanges = new Notifier(clock);
        log.onApplied(() => this.changes.notify());
        log.onRoleChange(() => this.roleChanges.notify());
        registry.handle(fleetMethods.sync, req => this.handleSync(req));
        registry.handle(fleetMethods.cut, async report => {
            this.recordCuts([report]);
            return {};
        });
        registry.handle(fleetMethods.statement, async report => {
            this.recordStatements([report]);
            return {};
        });
        registry.handle(fleetMethods.crash, async (reports, from) => {
            inBackground(options.events, "mark-crashes", this.markCrashes(reports, from));
            return {};
        });
        registry.handle(fleetMethods.sound, async ({ keys }, from) => {
            inBackground(options.events, "clear-parts", this.clearParts(keys, from));
            return {};
        });
        registry.handle(fleetMethods.board, req => this.handleLeaderSync(req));
    }

    /** Checks the replies that are held back, and answers the entry hosts for which something has changed. */
    public notify(): void {
        this.changes.notify();
    }

    /** Time for which a newer state may have existed, in milliseconds; undefined before the first confirmation. */
    public get ageMs(): number | undefined {
        return this.confirmedUntilMs === undefined ? undefined : this.options.clock.nowMs() - this.confirmedUntilMs;
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, log, events } = this.options;
        while (!signal.aborted) {
            const startMs = clock.nowMs();
            const confirmed = log.status().role === "leader"
                ? await this.confirmLeadership()
                : await this.exchangeWithLeader();
            if (confirmed) {
                this.confirmedUntilMs = startMs;
            }
            this.logConfirmation(confirmed);
            if (log.status().role === "leader") {
                inBackground(events, "judge-parts", this.judgeParts());
                inBackground(events, "judge-rollouts", this.rollouts.judge());
            }
            else {
                this.judge.reset();
            }
            await this.roleChanges.wait(exchangeIntervalMs, signal);
        }
    }

    /** Hosts that are in contact and whose builds know no roll-outs, so that none may begin. */
    public hostsWithoutRollouts(): readonly string[] {
        const { leader } = this.options.log.status();
        const entries = this.entryHosts.others([]).filter(one => isLive(one) && one.rollouts === undefined);
        return [
            ...entries.map(one => one.host),
            ...this.oldControls,
            ...(this.leaderKnowsRollouts ? [] : [leader ?? "leader"]),
        ];
    }

    /** True when all live entry hosts hold a revision of the roll-outs, as far as this control host knows. */
    public isHeldByAll(revision: number): boolean {
        return this.entryHosts.others([]).filter(isLive).every(one => (one.rollouts ?? 0) >= revision);
    }

    private async confirmLeadership(): Promise<boolean> {
        return (await this.options.log.readBarrier(exchangeTimeoutMs)).isRight();
    }

    /**
     * Exchanges host status and endpoint list with the leader. Returns true once this host's state is as new as the
     * leader's.
     */
    private async exchangeWithLeader(): Promise<boolean> {
        const { log, self, transport, reader, clock } = this.options;
        const { leader } = log.status();
        if (leader === undefined || leader === self) {
            return false;
        }
        const endpointsTag = reader().current().tag;
        const hosts = this.entryHosts.takeDirect();
        const reports = this.rollouts.reports.takeDirect();
        const req = {
            control: self,
            hosts,
            endpointsTag,
            cuts: this.cuts.recent(),
            statements: this.statements.all(),
            load: this.options.load?.ownPart(),
            rollouts: { reports },
        };
        const reply = await transport.call(leader, fleetMethods.board, req, { timeoutMs: exchangeTimeoutMs });
        const leaderReply = reply.orDefault({ kind: "not-leader" });
        if (leaderReply.kind === "not-leader") {
            this.entryHosts.returnDirect(hosts);
            this.rollouts.reports.returnDirect(reports);
            return false;
        }
        leaderReply.hosts.forEach(host => this.entryHosts.record(host));
        this.leaderKnowsRollouts = leaderReply.rollouts !== undefined;
        this.oldControls = new Set(leaderReply.rollouts?.oldControls);
        this.recordCuts(leaderReply.cuts);
        this.recordStatements(leaderReply.statements ?? []);
        if (leaderReply.load !== undefined) {
            this.options.load?.recordOthers(leaderReply.load, leader);
        }
        if (leaderReply.endpoints !== undefined) {
            reader().adoptIfNewer(leaderReply.endpoints);
        }
        else if (reader().current().tag === endpointsTag) {
            reader().confirm(leaderReply.endpointsAgeMs);
        }
        const untilMs = clock.nowMs() + exchangeTimeoutMs;
        while (log.status().appliedIndex < leaderReply.commitIndex && clock.nowMs() < untilMs) {
            await this.changes.wait(untilMs - clock.nowMs());
        }
        return log.status().appliedIndex >= leaderReply.commitIndex;
    }

    /** Answers another control host; as not-leader unless this host has just confirmed its leadership. */
    private async handleLeaderSync(req: LeaderSyncRequest): Promise<LeaderSyncReply> {
        const { log, reader } = this.options;
        req.hosts.forEach(host => this.entryHosts.record(host));
        this.recordCuts(req.cuts);
        this.recordStatements(req.statements);
        if (req.load !== undefined) {
            this.options.load?.recordPart(req.control, req.load);
        }
        req.rollouts?.reports.forEach(one => this.rollouts.reports.record(one, false));
        const read = log.status().role === "leader" ? await log.readBarrier(exchangeTimeoutMs) : undefined;
        if (read?.isRight() === true) {
            this.leaderKnowsRollouts = true;
            this.noteControl(req);
        }
        return read === undefined || read.isLeft() ? { kind: "not-leader" } : {
            kind: "board",
            commitIndex: read.unsafeCoerce(),
            hosts: this.entryHosts.others(req.hosts),
            ...(req.endpointsTag === reader().current().tag ? {} : { endpoints: reader().current() }),
            endpointsAgeMs: reader().current().ageMs,
            cuts: this.cuts.recent(),
            statements: this.statements.all(),
            load: this.options.load?.partFor(req.control),
            rollouts: { oldControls: [...this.oldControls] },
        };
    }

    /** Notes on the leader whether a control host's build knows roll-outs. */
    private noteControl({ control, rollouts }: LeaderSyncRequest): void {
        if (rollouts === undefined) {
            this.oldControls.add(control);
        }
        else {
            this.oldControls.delete(control);
        }
    }

    private recordCuts(reports: readonly CutReport[]): void {
        const isNew = reports.map(report => this.cuts.record(report)).includes(true);
        if (isNew) {
            this.changes.notify();
        }
    }

    private recordStatements(reports: readonly StatementReport[]): void {
        const isNew = reports.map(report => this.statements.record(report)).includes(true);
        if (isNew) {
            this.changes.notify();
        }
    }

    /**
     * Answers an entry host as soon as something has changed for it, or after the time that it waits (long polling).
     */
    private async handleSync(req: SyncRequest): Promise<SyncReply> {
        const { clock, metrics } = this.options;
        const { host, dataCentre, incarnation, isLeaving } = req;
        const rollouts = req.rollouts?.revision;
        this.entryHosts.recordContact({ host, dataCentre, incarnation, isLeaving, rollouts });
        if (req.rollouts !== undefined) {
            this.rollouts.reports.record({ host, incarnation, ...req.rollouts, ageMs: 0 }, true);
        }
        if (req.crashes.length > 0) {
            inBackground(this.options.events, "mark-crashes", this.markCrashes(req, host));
        }
        metrics.count("syncs");
        if (req.load !== undefined) {
            this.options.load?.recordReport(host, req.load.report);
        }
        const startMs = clock.nowMs();
        const untilMs = startMs + Math.min(req.waitMs, maxHoldMs);
        let tags = this.tags(dataCentre);
        const { rollouts: table } = this.options.state;
        const hasNewRollouts = () => rollouts !== undefined && table.revision > rollouts;
        while (!hasChanges(tags, req) && !hasNewRollouts() && clock.nowMs() < untilMs) {
            await this.changes.wait(untilMs - clock.nowMs());
            tags = this.tags(dataCentre);
        }
        return this.replyTo(req, tags, clock.nowMs() - startMs);
    }

    private async markCrashes({ crashes: fingerprints, partCrashes: parts }: CrashReports, from: HostId) {
        const { events, clock } = this.options;
        events.event(EventId.CrashesReported, { from, parts });
        await this.proposeMark({ kind: "mark-crashes", fingerprints, atMs: clock.wallMs(), parts }, keepReportsMs);
    }

    /** Ends the suspicion of parts on which an answer was completed. */
    private async clearParts(keys: readonly PartKey[], from: HostId): Promise<void> {
        const suspected = new Set(this.options.state.parts.suspected.map(one => one.key));
        const cleared = keys.filter(key => suspected.has(key));
        if (cleared.length > 0) {
            this.options.events.event(EventId.PartsCleared, { from, parts: cleared });
            await this.proposeMark({ kind: "clear-parts", keys: cleared });
        }
    }

    /** Condemns or releases the part that is due, if any. */
    private async judgeParts(): Promise<void> {
        const { events, metrics, state: { parts } } = this.options;
        const verdict = this.judge.verdict();
        metrics.gauge("suspected_parts", parts.suspected.length);
        metrics.gauge("condemned_parts", parts.condemned.length);
        if (verdict !== undefined) {
            const record = [...parts.suspected, ...parts.condemned].find(one => one.key === verdict.key);
            events.event(EventId.PartJudged, { verdict: verdict.kind, part: verdict.key, crashed: record?.endpoints });
            await this.proposeMark(verdict);
        }
    }

    /** Proposes a command; again for `keepMs` as long as no host has accepted it. */
    private async proposeMark(command: FleetCommand, keepMs: number = 0): Promise<void> {
        const { log, events, clock } = this.options;
        const untilMs = clock.nowMs() + keepMs;
        const propose = () => log.propose(command, markTimeoutMs);
        let marked = await propose();
        const isRejected = () => marked.caseOf({ Left: error => error.kind === "not-accepted", Right: () => false });
        while (isRejected() && clock.nowMs() < untilMs) {
            await clock.sleep(markRetryMs);
            marked = await propose();
        }
        marked.ifLeft(error => events.event(EventId.CrashMarksNotRecorded, { ...error, command: command.kind }));
    }

    /** Tags of the parts of the current state, as told to hosts of a data centre. */
    private tags(dataCentre: DataCentreId): HeldTags {
        const { state, reader } = this.options;
        const { tag, endpoints } = reader().current();
        this.endpointVersions.add(tag, endpoints);
        return {
            config: state.version,
            endpoints: tag,
            hosts: this.entryHosts.tag,
            ...this.markTags(),
            cuts: this.cuts.cutOffFrom(dataCentre).join(" "),
            statements: this.statements.tag,
        };
    }

    /** Tags of what changes only with the log. */
    private markTags(): Pick<HeldTags, "marks" | "parts"> {
        const { state, log } = this.options;
        const { appliedIndex } = log.status();
        if (this.markedAt?.appliedIndex !== appliedIndex) {
            const { suspected, condemned } = this.partKeys();
            this.markedAt = {
                appliedIndex,
                marks: tagOf([state.dataCentresOut, state.quarantined]),
                parts: suspected.length + condemned.length === 0 ? "" : tagOf([suspected, condemned]),
            };
        }
        const { marks, parts } = this.markedAt;
        return { marks, parts };
    }

    private partKeys() {
        const { suspected, condemned } = this.options.state.parts;
        return { suspected: suspected.map(one => one.key), condemned: condemned.map(one => one.key) };
    }

    private replyTo(
        { held, dataCentre, load, rollouts: heldRollouts }: SyncRequest,
        tags: HeldTags,
        heldMs: number,
    ): SyncReply {
        const { state, reader, controls } = this.options;
        const { dataCentresOut, quarantined, rollouts } = state;
        const { ageMs } = reader().current();
        return {
            ageMs: this.ageMs,
            heldMs,
            controls: controls(),
            endpointsAgeMs: ageMs,
            ...(tags.config > held.config ? { config: this.compressedConfig() } : {}),
            ...(tags.endpoints === held.endpoints
                ? {}
                : { endpoints: { part: this.endpointVersions.since(held.endpoints), ageMs } }),
            ...(tags.hosts === held.hosts ? {} : { hosts: this.entryHosts.since(held.hosts) }),
            ...(tags.marks === held.marks ? {} : { marks: { tag: tags.marks, dataCentresOut, quarantined } }),
            ...(tags.parts === held.parts ? {} : { parts: { tag: tags.parts, ...this.partKeys() } }),
            ...(tags.cuts === held.cuts ? {} : { cuts: { tag: tags.cuts, cutOff: this.cuts.cutOffFrom(dataCentre) } }),
            ...(tags.statements === held.statements
                ? {}
                : { statements: { tag: tags.statements, all: this.statements.all() } }),
            ...(load === undefined ? {} : { load: this.options.load?.digestFor(load.held) }),
            rollouts: rollouts.revision > (heldRollouts?.revision ?? 0)
                ? { revision: rollouts.revision, view: rollouts.snapshot() }
                : { revision: rollouts.revision },
        };
    }

    private compressedConfig(): { readonly version: number; readonly packed: string; } {
        const { version, text } = this.options.state;
        if (this.compressed?.version !== version) {
            this.compressed = { version, text: compressText(text) };
        }
        return { version, packed: this.compressed.text };
    }

    private logConfirmation(confirmed: boolean): void {
        if (confirmed !== this.isConfirmed) {
            this.isConfirmed = confirmed;
            const { leader, term, appliedIndex } = this.options.log.status();
            const event = confirmed ? EventId.FleetStateConfirmed : EventId.FleetStateUnconfirmed;
            this.options.events.event(event, { leader, term, appliedIndex, ageMs: this.ageMs });
        }
    }
}

function hasChanges(tags: HeldTags, { held }: SyncRequest): boolean {
    return tags.config > held.config
        || tags.endpoints !== held.endpoints
        || tags.marks !== held.marks
        || tags.hosts !== held.hosts
        || tags.cuts !== held.cuts
        || tags.statements !== held.statements
        || tags.parts !== held.parts;
}

function idOf({ id }: ListedEndpoint): string {
    return id;
}
