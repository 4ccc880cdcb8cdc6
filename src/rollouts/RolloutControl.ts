/**
 * Roll-outs on a control host: collects the reports of entry hosts, and while this host leads, carries out what
 * {@link judgeRollout} decides.
 */
import type { Clock } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { summaryOf, totalsOf } from "./Evidence.js";
import { ReportBoard } from "./ReportBoard.js";
import { type JudgedEndpoint, type JudgedHost, judgeRollout } from "./RolloutJudge.js";
import type { RolloutCommand, RolloutTable } from "./RolloutTable.js";
import type { RolloutRecord } from "./Types.js";

interface RolloutControlOptions {
    readonly table: RolloutTable;
    /** Hosts that may serve requests, silent ones included until they count as gone. */
    readonly hosts: () => readonly Omit<JudgedHost, "report">[];
    readonly endpoints: () => readonly (JudgedEndpoint & { readonly service: string; })[];
    /** Commits a command; true when that is certain. */
    readonly propose: (command: RolloutCommand) => Promise<boolean>;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}

export class RolloutControl {
    public readonly reports: ReportBoard;
    private isProposing = false;

    public constructor(private readonly options: RolloutControlOptions) {
        this.reports = new ReportBoard(options.clock, options.events);
    }

    /** Decides on all roll-outs in progress; called regularly on the leader. */
    public async judge(): Promise<void> {
        this.reports.update();
        if (this.isProposing) {
            return;
        }
        this.isProposing = true;
        await Promise.all(
            this.options.table.records.filter(one => one.state === "serving").map(one => this.judgeOne(one)),
        );
        this.isProposing = false;
    }

    private async judgeOne(record: RolloutRecord): Promise<void> {
        const { hosts, endpoints, clock, events, propose } = this.options;
        const counts = this.reports.countsOf(record.order);
        const command = judgeRollout({
            record,
            hosts: hosts().map(one => ({ ...one, report: this.reports.find(one.host, one.incarnation) })),
            counts,
            endpoints: endpoints().filter(one => one.service === record.service),
            wallMs: clock.wallMs(),
        });
        const summary = summaryOf(totalsOf(counts.map(one => one.total)));
        this.measure(record, summary);
        if (command === undefined) {
            return;
        }
        const { service, target, order, step } = record;
        const isCommitted = await propose(command);
        events.event(command.kind === "end-rollout" ? EventId.RolloutEnded : EventId.RolloutStepped, {
            service,
            target,
            order,
            ...(command.kind === "step-rollout" ? { step: command.step } : { step }),
            ...(command.kind === "end-rollout" ? { state: command.state, verdict: command.verdict } : summary),
            hosts: new Set(counts.map(one => one.host)).size,
            reportsAgeMs: Math.round(Math.max(0, ...counts.map(one => one.ageMs))),
            elapsedMs: Math.round(clock.wallMs() - record.orderedAtMs),
            isCommitted,
        });
    }

    private measure({ service, step }: RolloutRecord, summary: ReturnType<typeof summaryOf>): void {
        const { metrics } = this.options;
        metrics.gauge("rollout_step", step, { service });
        for (const version of ["target", "base"] as const) {
            metrics.gauge("rollout_answers", summary[`${version}Answers`], { service, version });
            metrics.gauge("rollout_failures", summary[`${version}Failures`], { service, version });
        }
    }
}
