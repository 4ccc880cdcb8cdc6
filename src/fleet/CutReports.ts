/**
 * What entry hosts report of data centres that they can't reach, collected by control hosts and told to all entry hosts
 * of the reporting data centre, so that not each of them has to wait for time-outs of its own. A data centre counts as
 * cut off from another one when several hosts there have met time-outs at several of its endpoints, and none has
 * reached it since.
 */
import type { Clock, DataCentreId, EndpointId, HostId } from "../common/Types.js";

/** How long a report counts. A data centre that is told to be cut off gets no requests, so that no new reports come. */
const validMs = 2500;
/** Numbers of hosts and of endpoints that reports must name; a single endpoint may just be down. */
const minHosts = 2;
const minEndpoints = 2;
/** Maximum number of reports passed on between control hosts. */
const maxPassedOn = 200;

/** One host's last experience with a data centre. */
export interface CutReport {
    readonly host: HostId;
    /** Data centre of the host. */
    readonly from: DataCentreId;
    readonly to: DataCentreId;
    readonly endpoint: EndpointId;
    /** False when a connection to the endpoint timed out, true when it replied. */
    readonly isReached: boolean;
    readonly ageMs: number;
}

interface DatedReport extends Omit<CutReport, "ageMs"> {
    readonly atMs: number;
}

export class CutReports {
    /** The last report of each host on each data centre. */
    private readonly reports = new Map<string, DatedReport>();

    public constructor(private readonly clock: Clock) {}

    /** Records a report, unless a newer one of the same host is known. Returns true when it was new. */
    public record({ ageMs, ...report }: CutReport): boolean {
        const key = `${report.host} ${report.to}`;
        const atMs = this.clock.nowMs() - ageMs;
        if (ageMs >= validMs || (this.reports.get(key)?.atMs ?? -Infinity) >= atMs) {
            return false;
        }
        this.reports.set(key, { ...report, atMs });
        return true;
    }

    /** Reports that still count, the newest first. */
    public recent(): readonly CutReport[] {
        return this.valid().sort((a, b) => b.atMs - a.atMs).slice(0, maxPassedOn)
            .map(({ atMs, ...report }) => ({ ...report, ageMs: this.clock.nowMs() - atMs }));
    }

    /** Data centres that are cut off from the given one, in alphabetical order. */
    public cutOffFrom(from: DataCentreId): readonly DataCentreId[] {
        const own = this.reports.size === 0 ? [] : this.valid().filter(one => one.from === from);
        return [...new Set(own.map(one => one.to))].filter(to => isCutOff(own.filter(one => one.to === to))).sort();
    }

    private valid(): DatedReport[] {
        const sinceMs = this.clock.nowMs() - validMs;
        for (const [key, { atMs }] of this.reports) {
            if (atMs <= sinceMs) {
                this.reports.delete(key);
            }
        }
        return [...this.reports.values()];
    }
}

/** Evaluates the reports of the hosts of one data centre on another one. */
function isCutOff(reports: readonly DatedReport[]): boolean {
    const reachedMs = Math.max(-Infinity, ...reports.filter(one => one.isReached).map(one => one.atMs));
    const timeouts = reports.filter(one => !one.isReached && one.atMs > reachedMs);
    const endpoints = new Set(timeouts.map(one => one.endpoint));
    return timeouts.length >= minHosts && endpoints.size >= minEndpoints;
}
