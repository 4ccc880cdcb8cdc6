/**
 * Decides on the leader what a roll-out does next: to reject the new version, to give it a greater share, or to end. It
 * runs without a network, on the reports of hosts. A version is rejected when its answers are worse than chance explains,
 * with all hosts and also without any single one; it has proved itself with enough answers, of several hosts, that are
 * not worse.
 */
import { summaryOf, suspicionOf, tailExponent, type Totals, totalsOf } from "./Evidence.js";
import type { ProcessCounts } from "./ReportBoard.js";
import type { RolloutCommand } from "./RolloutTable.js";
import {
    type HostReport,
    lastStep,
    type RolloutRecord,
    type ServiceReport,
    stepShares,
    type Verdict,
} from "./Types.js";

/**
 * Exponent from which a version is rejected: a probability of e^-16 in each comparison, of which a roll-out makes some
 * thousands. Without a single host the rest must still reach a half of it.
 */
const rejectExponent = 16;
const restShare = 0.5;
/** Number of hosts with the most bad answers that are left out in turn. */
const leftOutHosts = 4;
/** A version whose exponent is above this has not proved itself, and gets no greater share after it has. */
const maxSoundExponent = 6;
/** Answers that prove a version, and how few are enough after a part of the duration. */
const provingAnswers = 40;
const fewProvingAnswers = 15;
const fewAfterShare = 0.4;
/** Share of the proving answers that hosts other than the one with the most must have. */
const otherHostsShare = 1 / 3;
/** Allowed excess of failures of a version that proves itself: early, and later, when few answers must do. */
const maxFailureExcess = 0.05;
const maxLateFailureExcess = 0.12;
/**
 * Shares of the duration from which on a step may be left, so that a version that turns bad later is found. The rest is
 * for requests that run at old endpoints, and for the loss of a leader.
 */
const leaveShares = [0.2, 0.6, 0.75];
/** A share of traffic needs this part of the capacity that the old endpoints have for it. */
const capacityShare = 0.5;
/** The verdict at the deadline is given a little earlier, so that it is known then. */
const deadlineMarginMs = 300;
/** Hosts with older reports don't count as reporting. */
const maxReportAgeMs = 1500;
/**
 * A host returns to old endpoints 1.5 s after its last contact. The end must be committed before that, so that reports of
 * what runs there count for a shorter time.
 */
const maxDrainedAgeMs = 900;
/** In the last step nothing is left to compare with; then this share of failures, and this number, reject a version. */
const lastStepFailureShare = 0.25;
const lastStepFailures = 20;

export interface JudgedHost {
    readonly host: string;
    readonly incarnation: number;
    /** False once it has been silent for a while. */
    readonly isLive: boolean;
    readonly report: HostReport | undefined;
}

export interface JudgedEndpoint {
    readonly version?: string | undefined;
    readonly slots: number;
    readonly isLeaving: boolean;
    readonly coldLeftMs: number;
}

export interface JudgeInput {
    readonly record: RolloutRecord;
    /** All hosts that may serve requests, silent ones included until they count as gone. */
    readonly hosts: readonly JudgedHost[];
    readonly counts: readonly ProcessCounts[];
    /** Endpoints of the service. */
    readonly endpoints: readonly JudgedEndpoint[];
    readonly wallMs: number;
}

/** The next command for a roll-out; undefined while it goes on as it is. */
export function judgeRollout(input: JudgeInput): RolloutCommand | undefined {
    const { record, counts, wallMs } = input;
    const elapsedMs = wallMs - record.orderedAtMs;
    const worse = rejectionOf(input);
    if (worse !== undefined) {
        return endOf(input, "rolled_back", worse.reason, worse.exponent);
    }
    if (record.step < lastStep && elapsedMs >= record.durationMs - deadlineMarginMs) {
        return endOf(input, "rolled_back", record.isProven ? "unfinished" : "unproven");
    }
    const isDue = elapsedMs >= record.durationMs * (leaveShares[record.step] ?? 1);
    if (record.step === lastStep) {
        return isDue && isDrained(input) ? endOf(input, "completed", "drained") : undefined;
    }
    const isSound = isProven(counts, input) && hasCapacity(input, stepShares[record.step + 1] ?? 1);
    return isDue && isSound
        ? {
            kind: "step-rollout",
            service: record.service,
            order: record.order,
            step: record.step + 1,
            isProven: true,
            atMs: wallMs,
        }
        : undefined;
}

/** Why the version is rejected; undefined when it is not. */
function rejectionOf(input: JudgeInput): { readonly reason: string; readonly exponent: number; } | undefined {
    const { record, counts } = input;
    const windows = [counts.map(one => ({ ...one, since: undefined })), counts];
    for (const window of record.step === lastStep ? windows.slice(1) : windows) {
        const suspicion = suspicionOf(totals(window));
        const isWorse = suspicion.exponent >= rejectExponent && (
            isOnlyHost(input)
            || leaveOneOut(window).every(rest => suspicionOf(totals(rest)).exponent >= rejectExponent * restShare)
        ) && (suspicion.reason !== "failures" || isOfSeveralEndpoints(window, input));
        if (isWorse) {
            return suspicion;
        }
        if (record.step === lastStep && failsAbsolutely(window, input)) {
            return { reason: "failures", exponent: suspicion.exponent };
        }
    }
    return undefined;
}

/**
 * True when the failures are not those of one endpoint only, whose end breaks all its requests at once; also when the
 * version has no other endpoint.
 */
function isOfSeveralEndpoints(window: readonly ProcessCounts[], { record, endpoints }: JudgeInput): boolean {
    if (endpoints.filter(one => one.version === record.target).length < 2) {
        return true;
    }
    const byEndpoint = new Map<string, number>();
    const add = (failures: ServiceReport["targetFailures"], sign: number) =>
        failures.forEach(([id, number]) => byEndpoint.set(id, (byEndpoint.get(id) ?? 0) + sign * number));
    window.forEach(({ total, since }) => {
        add(total.targetFailures, 1);
        add(since?.targetFailures ?? [], -1);
    });
    const sum = summaryOf(totals(window));
    const others = sum.targetFailures - Math.max(0, ...byEndpoint.values());
    const stratum = {
        targetBad: others,
        targetAll: sum.targetAnswers,
        baseBad: sum.baseFailures,
        baseAll: sum.baseAnswers,
    };
    return tailExponent([stratum]) >= rejectExponent * restShare;
}

function failsAbsolutely(window: readonly ProcessCounts[], input: JudgeInput): boolean {
    const whole = summaryOf(totals(input.counts.map(one => ({ ...one, since: undefined }))));
    const isBaseSound = whole.baseFailures <= whole.baseAnswers * maxFailureExcess;
    const parts = isOnlyHost(input) ? [window] : leaveOneOut(window);
    return isBaseSound && parts.every(rest => {
        const { targetAnswers, targetFailures } = summaryOf(totals(rest));
        return targetFailures >= lastStepFailures && targetFailures >= lastStepFailureShare * targetAnswers;
    });
}

function isProven(counts: readonly ProcessCounts[], input: JudgeInput): boolean {
    const { record, wallMs } = input;
    const isLate = wallMs - record.orderedAtMs >= record.durationMs * fewAfterShare;
    const needed = isLate ? fewProvingAnswers : provingAnswers;
    const live = input.hosts.filter(one => one.isLive);
    const reporting = live.filter(one => (one.report?.ageMs ?? Infinity) <= maxReportAgeMs);
    const { targetAnswers, targetFailures, baseAnswers, baseFailures } = summaryOf(totals(counts, true));
    if (reporting.length * 2 < live.length || targetAnswers < needed) {
        return false;
    }
    const most = Math.max(...answersByHost(counts).values());
    if (!isOnlyHost(input) && targetAnswers - most < needed * otherHostsShare) {
        return false;
    }
    const targetShare = (targetFailures + 1) / (targetAnswers + 2);
    const isSound = targetShare <= baseFailures / Math.max(1, baseAnswers)
            + (isLate ? maxLateFailureExcess : maxFailureExcess);
    const windows = [totals(counts, true), totals(counts)];
    return isSound && windows.every(one => suspicionOf(one).exponent < maxSoundExponent);
}

/** True when no host runs anything at an old endpoint, or could still begin to. */
function isDrained({ record, hosts }: JudgeInput): boolean {
    return hosts.length > 0 && hosts.every(({ report }) => {
        const counts = report?.services.find(one => one.order === record.order);
        return report !== undefined
            && report.revision >= record.revision
            && report.ageMs <= maxDrainedAgeMs
            && counts?.runningAtBase === 0;
    });
}

function hasCapacity({ record, endpoints }: JudgeInput, share: number): boolean {
    const slotsOf = (isTarget: boolean) =>
        endpoints.filter(one => (one.version === record.target) === isTarget && !one.isLeaving)
            .filter(one => !isTarget || one.coldLeftMs <= 0)
            .reduce((sum, one) => sum + Math.max(1, one.slots), 0);
    return slotsOf(true) > 0 && slotsOf(true) >= slotsOf(false) * share * capacityShare;
}

function isOnlyHost({ hosts, counts }: JudgeInput): boolean {
    return new Set([...hosts.map(one => one.host), ...counts.map(one => one.host)]).size <= 1;
}

/** The counts without each of the hosts that have the most bad answers of the new version. */
function leaveOneOut(counts: readonly ProcessCounts[]): readonly (readonly ProcessCounts[])[] {
    const badness = new Map<string, number>();
    for (const one of counts) {
        let bad = 0;
        for (const { target } of totals([one]).values()) {
            bad += target.failures * failureWeight + target.latencies.reduce((sum, n, bucket) => sum + n * bucket, 0);
        }
        badness.set(one.host, (badness.get(one.host) ?? 0) + bad);
    }
    const worst = [...badness].sort(([, a], [, b]) => b - a).slice(0, leftOutHosts);
    return worst.map(([host]) => counts.filter(one => one.host !== host));
}

/** Weight of a failure against latency buckets, in the order of hosts that are left out. */
const failureWeight = 1000;

function answersByHost(counts: readonly ProcessCounts[]): ReadonlyMap<string, number> {
    const answers = new Map<string, number>();
    for (const one of counts) {
        const { targetAnswers } = summaryOf(totals([one], true));
        answers.set(one.host, (answers.get(one.host) ?? 0) + targetAnswers);
    }
    return answers;
}

function totals(counts: readonly ProcessCounts[], isWhole: boolean = false): Totals {
    return totalsOf(counts.map(one => one.total), isWhole ? [] : counts.flatMap(one => one.since ?? []));
}

function endOf(
    { record, counts, wallMs }: JudgeInput,
    state: "completed" | "rolled_back",
    reason: string,
    exponent: number = 0,
): RolloutCommand {
    const verdict: Verdict = {
        reason,
        atMs: wallMs,
        ...summaryOf(totals(counts, true)),
        hosts: new Set(counts.map(one => one.host)).size,
        exponent: Number(exponent.toFixed(1)),
        reportsAgeMs: Math.round(Math.max(0, ...counts.map(one => one.ageMs))),
    };
    return { kind: "end-rollout", service: record.service, order: record.order, state, verdict };
}
