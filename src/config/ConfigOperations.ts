/**
 * Operations on the configuration and the replicated groups for the operators' routes; requests and results are plain
 * data. Every change is safe to send again, and an error says whether the change may have been accepted and how to find
 * out.
 */
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import type { GroupAdmin, GroupStatus, MemberChange, ProposeError } from "../replication/Types.js";
import type { Settings } from "./Schema.js";
import {
    baseDocument,
    type CommittedConfig,
    type ConfigChange,
    type ConfigChangeError,
    type ConfigChangeResult,
    type ConfigLogEntry,
    type ConfigReader,
    type ConfigWriter,
    type DocumentChecker,
    type HostReport,
} from "./Types.js";

const changeTimeoutMs = 5000;
const readTimeoutMs = 3000;
const memberChangeTimeoutMs = 30_000;
/** A host whose last report is older than this does not count as live. */
const maxLiveReportAgeMs = 10_000;
const pollIntervalMs = 100;

/** Whether a version is in force on every live host. */
export interface InForceReport {
    readonly version: number;
    /** True when there is a report and no live host is behind. */
    readonly everywhere: boolean;
    /** Live hosts on which an older version is in force. */
    readonly behind: readonly HostReport[];
    /** Hosts whose last report is too old to count as live. */
    readonly notHeard: readonly HostReport[];
}

export type ChangeReport =
    | { readonly outcome: "accepted"; readonly version: number; readonly documentVersion: number; }
        & { readonly inForce?: InForceReport | undefined; }
    | Exclude<ConfigChangeResult, { kind: "accepted"; }> & { readonly outcome: "conflict" | "invalid"; }
    | { readonly outcome: "not-accepted" | "unknown"; readonly message: string; readonly advice: string; };

export interface StatusReport {
    /** Undefined while no quorum can be reached. */
    readonly committedVersion: number | undefined;
    readonly problem: string | undefined;
    readonly hosts: readonly (HostReport & { readonly state: "in force" | "behind" | "not heard"; })[];
}

export type ReadFailure = { readonly outcome: "no-quorum"; readonly message: string; readonly advice: string; };

export type ShowReport =
    | { readonly outcome: "read"; readonly config: CommittedConfig; readonly settings?: Settings | undefined; }
    | { readonly outcome: "not-found"; readonly message: string; }
    | ReadFailure;

export interface GroupReport {
    readonly group: string;
    readonly hosts: readonly { readonly host: HostId; readonly status: GroupStatus; }[];
}

export type MemberReport =
    | { readonly outcome: "changed"; readonly group: string; readonly voters: readonly HostId[]; }
    | { readonly outcome: "not-accepted" | "unknown"; readonly group: string; readonly message: string; }
        & { readonly advice: string; };

export interface ConfigOperationsOptions {
    readonly config: ConfigWriter & ConfigReader;
    /** The groups whose members operators change, in the order in which they are changed. */
    readonly groups: readonly GroupAdmin[];
    readonly checker: DocumentChecker;
    readonly clock: Clock;
}

export class ConfigOperations {
    public constructor(private readonly options: ConfigOperationsOptions) {}

    /**
     * `config apply`, `dc out`, `dc in`: commits a change. With `waitMs`, then waits until the change is in force on all
     * live hosts, but no longer than that time.
     */
    public async change(change: ConfigChange, waitMs: number = 0): Promise<ChangeReport> {
        const outcome = await this.options.config.change(change, changeTimeoutMs);
        if (outcome.isLeft()) {
            return describeChangeError(change, outcome.extract());
        }
        const result = outcome.unsafeCoerce();
        if (result.kind !== "accepted") {
            return { ...result, outcome: result.kind };
        }
        const { version, documentVersion } = result;
        const inForce = waitMs > 0 ? await this.waitUntilInForce(version, waitMs) : undefined;
        return { outcome: "accepted", version, documentVersion, inForce };
    }

    /** Waits until a version is in force on all live hosts, or until the timeout. */
    public async waitUntilInForce(version: number, timeoutMs: number): Promise<InForceReport> {
        const { clock } = this.options;
        const deadlineMs = clock.nowMs() + timeoutMs;
        let report = await this.inForceReport(version);
        while (!report.everywhere && clock.nowMs() < deadlineMs) {
            await clock.sleep(pollIntervalMs);
            report = await this.inForceReport(version);
        }
        return report;
    }

    /** `config show [--site]`: the committed documents, or the merged settings of a site. */
    public async show(site?: string): Promise<ShowReport> {
        const read = await this.options.config.read(readTimeoutMs);
        return read.caseOf<ShowReport>({
            Left: toReadFailure,
            Right: ({ config }) => site === undefined ? { outcome: "read", config } : this.showSite(config, site),
        });
    }

    /** `config log`: the latest accepted changes. */
    public async log(): Promise<{ outcome: "read"; history: readonly ConfigLogEntry[]; } | ReadFailure> {
        const read = await this.options.config.read(readTimeoutMs);
        return read.caseOf<{ outcome: "read"; history: readonly ConfigLogEntry[]; } | ReadFailure>({
            Left: toReadFailure,
            Right: ({ history }) => ({ outcome: "read", history }),
        });
    }

    /** `config status`: the version in force on each host. */
    public async status(): Promise<StatusReport> {
        const { config } = this.options;
        const [read, reports] = await Promise.all([config.read(readTimeoutMs), config.reports()]);
        const committedVersion = read.map<number | undefined>(one => one.config.version).orDefault(undefined);
        const newest = committedVersion ?? Math.max(0, ...reports.map(report => report.version));
        const hosts = reports.map(report => ({ ...report, state: stateOf(report, newest) }));
        const problem = read.swap().map<string | undefined>(message => message).orDefault(undefined);
        return { committedVersion, problem, hosts };
    }

    /** `control status`: the status of each group as reported by each of its hosts. */
    public async controlStatus(): Promise<readonly GroupReport[]> {
        return Promise.all(this.options.groups.map(async group => {
            const statuses = await group.statuses();
            return { group: group.group, hosts: [...statuses].map(([host, status]) => ({ host, status })) };
        }));
    }

    /** `control add|remove|replace` in one group, or in all groups in turn; stops at the first failure. */
    public async changeMembers(change: MemberChange, groupName: string = "all"): Promise<readonly MemberReport[]> {
        const groups = this.options.groups.filter(group => groupName === "all" || group.group === groupName);
        const reports: MemberReport[] = [];
        for (const group of groups) {
            const changed = await group.changeMembers(change, memberChangeTimeoutMs);
            reports.push(changed.caseOf<MemberReport>({
                Left: error => describeMemberError(group.group, error),
                Right: ({ voters }) => ({ outcome: "changed", group: group.group, voters }),
            }));
            if (changed.isLeft()) {
                break;
            }
        }
        return reports;
    }

    private async inForceReport(version: number): Promise<InForceReport> {
        const reports = await this.options.config.reports();
        const states = reports.map(report => ({ report, state: stateOf(report, version) }));
        const behind = states.filter(one => one.state === "behind").map(one => one.report);
        const notHeard = states.filter(one => one.state === "not heard").map(one => one.report);
        return { version, everywhere: reports.length > 0 && behind.length === 0, behind, notHeard };
    }

    private showSite(config: CommittedConfig, site: string): ShowReport {
        const base = config.documents[baseDocument]?.text ?? "";
        const overlay = config.documents[site];
        const sites = this.options.checker(base, overlay === undefined ? {} : { [site]: overlay.text }).orDefault({});
        const settings = sites[site as DataCentreId];
        if (settings === undefined) {
            return { outcome: "not-found", message: `the configuration names no data centre ${site}` };
        }
        return { outcome: "read", config, settings };
    }
}

function stateOf(report: HostReport, version: number): "in force" | "behind" | "not heard" {
    if (report.ageMs > maxLiveReportAgeMs) {
        return "not heard";
    }
    return report.version >= version ? "in force" : "behind";
}

function describeChangeError(change: ConfigChange, error: ConfigChangeError): ChangeReport {
    const { message } = error;
    if (error.kind === "not-accepted") {
        const advice = "The change was not accepted, and will not be. It is safe to send it again.";
        return { outcome: "not-accepted", message, advice };
    }
    const advice = `The change may have been accepted. Send it again with the id ${change.id}: it gets its original `
        + "result and is not applied twice. \"config log\" lists it if it was accepted.";
    return { outcome: "unknown", message, advice };
}

function describeMemberError(group: string, error: ProposeError): MemberReport {
    const { message } = error;
    if (error.kind === "not-accepted") {
        return { outcome: "not-accepted", group, message, advice: "No further change was made. Send it again later." };
    }
    const advice = "The change may go on by itself. \"control status\" shows the members; sending it again is safe.";
    return { outcome: "unknown", group, message, advice };
}

function toReadFailure(message: string): ReadFailure {
    const advice = "No majority of the control hosts can be reached. The last accepted configuration stays in force; "
        + "\"control status\" shows which hosts answer.";
    return { outcome: "no-quorum", message, advice };
}
