/**
 * Joins the load of all hosts on a control host. Reports of entry hosts that poll this control host are added up, and
 * with each exchange between a control host and the leader their parts are exchanged. The digest for entry hosts is
 * made once per interval, and its text is shared by all replies.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import { hashText } from "../common/TextHash.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { ListedEndpoint, LoadDigest, LoadExchange, LoadPart } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { LoadStatements, maxStatementAgeMs } from "./LoadStatements.js";
import { decodeLoad, encodeLoad, EndpointPositions, keyOfText } from "./LoadText.js";
import type { EndpointWork, LoadSummary } from "./Types.js";
import { noWork } from "./WorkMeter.js";

/** Shortest time between two digests. */
const digestIntervalMs = 150;
/** With many endpoints digests are made less often, so that a host gets at most this many bytes a second of them. */
const digestBytesPerMs = 2;
const maxDigestIntervalMs = 1000;
/** A host reports about twice a second; later its work counts as ended, or is reported to another control host. */
const reportTtlMs = 1500;
/** Parts of other control hosts are exchanged three times a second. The digest is as old as its oldest part. */
const partTtlMs = 1000;
/** Lists of endpoints to which texts of other hosts may still refer. */
const maxLists = 8;

interface HeldWork {
    readonly hosts: number;
    readonly work: ReadonlyMap<EndpointId, EndpointWork>;
    /** When its figures were true, on the local clock. */
    readonly asOfMs: number;
}

interface LoadBoardOptions {
    readonly endpoints: () => readonly ListedEndpoint[];
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class LoadBoard implements LoadExchange {
    private readonly reports = new Map<HostId, HeldWork>();
    /** Parts of other control hosts, known to the leader. */
    private readonly parts = new Map<HostId, HeldWork>();
    /** The part of all other control hosts, known to one that is not the leader. */
    private fromLeader: HeldWork | undefined;
    private readonly statements: LoadStatements;
    private readonly lists = new BoundedMap<string, EndpointPositions>(maxLists);
    private listed: readonly ListedEndpoint[] | undefined;
    private positions = new EndpointPositions([]);
    private digest: { readonly tag: string; readonly text: string; readonly asOfMs: number; } | undefined;
    private digestMadeMs = -Infinity;

    public constructor(private readonly options: LoadBoardOptions) {
        this.statements = new LoadStatements(options.clock);
    }

    public recordReport(host: HostId, text: string): void {
        const held = this.read(text, 0, host);
        if (held !== undefined) {
            this.reports.set(host, held);
        }
    }

    public digestFor(held: string): LoadDigest | undefined {
        const nowMs = this.options.clock.nowMs();
        const sizeMs = (this.digest?.text.length ?? 0) / digestBytesPerMs;
        if (nowMs - this.digestMadeMs >= Math.min(maxDigestIntervalMs, Math.max(digestIntervalMs, sizeMs))) {
            this.makeDigest();
        }
        if (this.digest === undefined) {
            return undefined;
        }
        const { tag, text, asOfMs } = this.digest;
        const times = { ageMs: this.digestMadeMs - asOfMs, madeMs: nowMs - this.digestMadeMs };
        return tag === held ? { tag, ...times } : { tag, text, ...times };
    }

    public ownPart(): LoadPart | undefined {
        return this.encode([]);
    }

    /** Records the part of another control host, as the leader. */
    public recordPart(control: HostId, { text, ageMs }: LoadPart): void {
        this.fromLeader = undefined;
        const held = this.read(text, ageMs, control);
        if (held !== undefined) {
            this.parts.set(control, held);
        }
    }

    /** The part of all control hosts but one, for that one. */
    public partFor(control: HostId): LoadPart | undefined {
        const others = [...this.recentParts()].filter(([host]) => host !== control).map(([, held]) => held);
        return this.encode(others);
    }

    /** Records what the leader has told of the other control hosts. */
    public recordOthers({ text, ageMs }: LoadPart, leader: HostId): void {
        this.parts.clear();
        this.fromLeader = this.read(text, ageMs, leader) ?? this.fromLeader;
    }

    private makeDigest(): void {
        const { clock, metrics } = this.options;
        this.digestMadeMs = clock.nowMs();
        const summary = this.sum([
            ...[...this.recentParts()].map(([, held]) => held),
            ...(this.fromLeader === undefined || this.isOver(this.fromLeader, partTtlMs) ? [] : [this.fromLeader]),
        ]);
        if (summary.hosts === 0) {
            this.digest = undefined;
            return;
        }
        const text = encodeLoad(this.currentPositions(), summary, "digest");
        this.digest = { tag: hashText(text).toString(36), text, asOfMs: this.digestMadeMs - summary.ageMs };
        metrics.gauge("load_digest_bytes", text.length);
        metrics.gauge("load_digest_age_ms", summary.ageMs);
    }

    private encode(others: readonly HeldWork[]): LoadPart {
        const summary = this.sum(others);
        return { text: encodeLoad(this.currentPositions(), summary, "report"), ageMs: summary.ageMs };
    }

    /**
     * Adds up the reports of this control host's own hosts and the parts of others. The sum is as old as the oldest
     * part, or as the reports are on average, since a host that has just ended must not make the whole sum old.
     */
    private sum(parts: readonly HeldWork[]): LoadSummary {
        const nowMs = this.options.clock.nowMs();
        const work = new Map<EndpointId, EndpointWork>();
        const reports = [...this.recentReports()];
        const reportAgesMs = reports.reduce((sum, one) => sum + nowMs - one.asOfMs, 0);
        const ageMs = Math.max(reportAgesMs / Math.max(1, reports.length), ...parts.map(one => nowMs - one.asOfMs));
        let hosts = 0;
        for (const one of [...reports, ...parts]) {
            hosts += one.hosts;
            for (const [endpoint, added] of one.work) {
                const before = work.get(endpoint) ?? noWork;
                work.set(endpoint, {
                    running: before.running + added.running,
                    prefillTokens: before.prefillTokens + added.prefillTokens,
                    heldTokens: before.heldTokens + added.heldTokens,
                });
            }
        }
        return { hosts, ageMs, work, statements: this.statements.recent(maxStatementAgeMs) };
    }

    /** Decodes a report or a part; undefined, with a log line, when it can't be read. */
    private read(text: string, ageMs: number, from: HostId): HeldWork | undefined {
        const { clock, metrics } = this.options;
        this.currentPositions();
        const key = keyOfText(text);
        const positions = this.lists.get(key);
        if (key === "") {
            this.logIgnored(from, "a text without a list of endpoints");
            return undefined;
        }
        if (positions === undefined) {
            // The list of endpoints has just changed on one of the hosts.
            metrics.count("load_texts_ignored", { kind: "list" });
            return undefined;
        }
        return decodeLoad(text, positions, "report").caseOf<HeldWork | undefined>({
            Left: ({ message }) => {
                this.logIgnored(from, message);
                return undefined;
            },
            Right: ({ hosts, work, statements }) => {
                for (const [endpoint, { ageMs: statedAgeMs, ...statement }] of statements) {
                    this.statements.record(endpoint, statement, statedAgeMs);
                }
                return { hosts, work, asOfMs: clock.nowMs() - Math.max(0, ageMs) };
            },
        });
    }

    private logIgnored(from: HostId, message: string): void {
        this.options.metrics.count("load_texts_ignored", { kind: "report" });
        this.options.log.event(EventId.LoadReportIgnored, { from, message });
    }

    private *recentReports(): Iterable<HeldWork> {
        for (const [host, held] of this.reports) {
            if (this.isOver(held, reportTtlMs)) {
                this.reports.delete(host);
            }
            else {
                yield held;
            }
        }
    }

    private *recentParts(): Iterable<readonly [HostId, HeldWork]> {
        for (const [control, held] of this.parts) {
            if (this.isOver(held, partTtlMs)) {
                this.parts.delete(control);
            }
            else {
                yield [control, held];
            }
        }
    }

    private isOver({ asOfMs }: HeldWork, ttlMs: number): boolean {
        return this.options.clock.nowMs() - asOfMs > ttlMs;
    }

    private currentPositions(): EndpointPositions {
        const endpoints = this.options.endpoints();
        if (this.listed !== endpoints) {
            this.listed = endpoints;
            this.positions = new EndpointPositions(endpoints.map(one => one.id));
            this.lists.set(this.positions.key, this.positions);
        }
        return this.positions;
    }
}
