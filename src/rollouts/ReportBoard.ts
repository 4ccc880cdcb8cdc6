/**
 * The last report of each entry host on the answers of both versions, as collected by a control host. Counts only grow
 * while a host's process runs, so that a lost or late report costs nothing but time; those of ended processes are kept
 * while the roll-out lasts. Recent counts are differences to reports of some seconds ago.
 */
import type { Clock } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { type HostReport, hostReportSchema, type ServiceReport } from "./Types.js";

/** Interval and number of the copies with which recent counts are worked out. */
const copyIntervalMs = 500;
const maxCopies = 8;
/** Recent counts cover this time. */
export const recentMs = 3000;
/** Reports are forgotten after this time; a host in contact renews its own about twice a second. */
const keptMs = 900_000;
const maxReports = 4096;

interface StoredReport extends Omit<HostReport, "ageMs"> {
    readonly atMs: number;
}

type ByProcess = ReadonlyMap<string, StoredReport>;

/** The counts of one process of a host in one roll-out. */
export interface ProcessCounts {
    readonly host: string;
    readonly total: ServiceReport;
    /** The report that recent counts start from; undefined when all are recent. */
    readonly since: ServiceReport | undefined;
    readonly ageMs: number;
}

export class ReportBoard {
    private latest = new Map<string, StoredReport>();
    /** Reports that have come directly from hosts since the last {@link takeDirect}. */
    private readonly direct = new Set<string>();
    private copies: readonly { readonly atMs: number; readonly reports: ByProcess; }[] = [];

    public constructor(private readonly clock: Clock, private readonly events: EventLog) {}

    /** Records a report, unless a later one of that process is known; a malformed one is logged and ignored. */
    public record(report: unknown, isDirect: boolean): void {
        const parsed = hostReportSchema.safeParse(report);
        if (!parsed.success) {
            this.events.event(EventId.RolloutReportUnreadable, { message: parsed.error.issues[0]?.message });
            return;
        }
        const { ageMs, ...fields } = parsed.data;
        const key = keyOf(fields);
        const atMs = this.clock.nowMs() - Math.max(0, ageMs);
        const known = this.latest.get(key);
        if (known !== undefined && known.atMs >= atMs) {
            return;
        }
        this.latest.delete(key);
        this.latest.set(key, { ...fields, atMs });
        if (isDirect) {
            this.direct.add(key);
        }
        if (this.latest.size > maxReports) {
            const [oldest] = this.latest.keys();
            this.latest.delete(oldest ?? "");
        }
    }

    /** Reports that hosts have sent to this control host since the last call. */
    public takeDirect(): readonly HostReport[] {
        const reports = [...this.direct].flatMap(key => this.latest.get(key) ?? []);
        this.direct.clear();
        return reports.map(one => this.toReport(one));
    }

    /** Adds reports to those of the next {@link takeDirect}, since they were not delivered. */
    public returnDirect(reports: readonly HostReport[]): void {
        reports.forEach(one => this.direct.add(keyOf(one)));
    }

    /** The last report of a process; undefined when there is none. */
    public find(host: string, incarnation: number): HostReport | undefined {
        const report = this.latest.get(keyOf({ host, incarnation }));
        return report === undefined ? undefined : this.toReport(report);
    }

    /** Counts of all processes in one order. */
    public countsOf(order: number): readonly ProcessCounts[] {
        const fromMs = this.clock.nowMs() - recentMs;
        const copy = this.copies.filter(one => one.atMs <= fromMs).at(-1);
        return [...this.latest].flatMap(([key, report]) => {
            const total = report.services.find(one => one.order === order);
            const since = copy?.reports.get(key)?.services.find(one => one.order === order);
            return total === undefined
                ? []
                : [{ host: report.host, total, since, ageMs: this.clock.nowMs() - report.atMs }];
        });
    }

    /** Takes a copy for later recent counts when one is due; called regularly on the leader. */
    public update(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - (this.copies.at(-1)?.atMs ?? -Infinity) < copyIntervalMs) {
            return;
        }
        for (const [key, { atMs }] of this.latest) {
            if (nowMs - atMs > keptMs) {
                this.latest.delete(key);
            }
        }
        this.copies = [...this.copies, { atMs: nowMs, reports: new Map(this.latest) }].slice(-maxCopies);
    }

    private toReport({ atMs, ...fields }: StoredReport): HostReport {
        return { ...fields, ageMs: Math.max(0, Math.round(this.clock.nowMs() - atMs)) };
    }
}

function keyOf({ host, incarnation }: Pick<HostReport, "host" | "incarnation">): string {
    return `${host} ${incarnation}`;
}
