/**
 * Compares the answers of two versions. Given the total number of bad answers on a route, each of them is one of the new
 * version with the probability of that version's share of the answers, if both versions are equally good. The exponent of
 * a Chernoff bound on that (over several routes together) says how unlikely the counts then are. Both versions are
 * counted at the same time and on the same routes, so that what makes both worse does not count against one.
 */
import type { AnswerCounts, ServiceReport } from "./Types.js";

/** Upper ends of latency buckets grow by this factor. */
const bucketFactor = 1.25;
const firstBucketMs = 2;
const buckets = 48;
/** Answers of the new version count as slow in later buckets than those of the old one: a margin of one factor. */
const marginBuckets = 1;
/** The slowest shares of the old version's answers, with which the new version's are compared. */
const slowShares = [0.5, 0.1];
/** Fewer answers of the old version give no distribution of latencies to compare with. */
const minBaseAnswers = 20;
/** A version is not rejected for a smaller difference in the share of failures, however certain it is. */
const minFailureExcess = 0.01;

/** Bad and all answers of the two versions in one stratum, such as a route. */
export interface Stratum {
    readonly targetBad: number;
    readonly targetAll: number;
    readonly baseBad: number;
    readonly baseAll: number;
}

/** Counts of one version, with a number for each latency bucket. */
interface VersionTotals {
    good: number;
    failures: number;
    readonly latencies: number[];
}

export interface RouteTotals {
    readonly target: VersionTotals;
    readonly base: VersionTotals;
}

export type Totals = ReadonlyMap<string, RouteTotals>;

export interface Suspicion {
    readonly reason: "failures" | "latency";
    /** The greatest exponent of all comparisons. */
    readonly exponent: number;
}

export function bucketOf(latencyMs: number): number {
    const bucket = Math.ceil(Math.log(Math.max(latencyMs, firstBucketMs) / firstBucketMs) / Math.log(bucketFactor));
    return Math.min(bucket, buckets - 1);
}

/** Negative logarithm of a bound on the probability of at least this many bad answers of the new version by chance. */
export function tailExponent(strata: readonly Stratum[]): number {
    const used = strata.filter(one => one.targetAll > 0 && one.baseAll > 0 && one.targetBad + one.baseBad > 0)
        .map(one => ({
            bad: one.targetBad + one.baseBad,
            seen: one.targetBad,
            share: one.targetAll / (one.targetAll + one.baseAll),
        }));
    const seen = used.reduce((sum, one) => sum + one.seen, 0);
    const expected = used.reduce((sum, one) => sum + one.bad * one.share, 0);
    if (seen <= expected) {
        return 0;
    }
    const exponentAt = (tilt: number) =>
        tilt * seen
        - used.reduce((sum, { bad, share }) => sum + bad * Math.log(1 - share + share * Math.exp(tilt)), 0);
    // The exponent is concave in the tilt, with a maximum at a positive one: ternary search.
    let low = 0;
    let high = maxTilt;
    for (let round = 0; round < tiltRounds; round++) {
        const third = (high - low) / 3;
        if (exponentAt(low + third) < exponentAt(high - third)) {
            low += third;
        }
        else {
            high -= third;
        }
    }
    return Math.max(0, exponentAt((low + high) / 2));
}

const maxTilt = 30;
const tiltRounds = 60;

/** Adds up reports; those of `since` are subtracted, which must be earlier ones of the same hosts. */
export function totalsOf(reports: readonly ServiceReport[], since: readonly ServiceReport[] = []): Totals {
    const totals = new Map<string, RouteTotals>();
    const add = (report: ServiceReport, sign: 1 | -1) => {
        for (const { route, target, base } of report.routes) {
            const known = totals.get(route) ?? { target: emptyTotals(), base: emptyTotals() };
            totals.set(route, known);
            addCounts(known.target, target, sign);
            addCounts(known.base, base, sign);
        }
    };
    reports.forEach(one => add(one, 1));
    since.forEach(one => add(one, -1));
    return totals;
}

/** Sums over all routes. */
export function summaryOf(totals: Totals) {
    const sum = { targetAnswers: 0, targetFailures: 0, baseAnswers: 0, baseFailures: 0 };
    for (const { target, base } of totals.values()) {
        sum.targetAnswers += target.good + target.failures;
        sum.targetFailures += target.failures;
        sum.baseAnswers += base.good + base.failures;
        sum.baseFailures += base.failures;
    }
    return sum;
}

/** The strongest sign that the new version is worse, on one route or over all routes together. */
export function suspicionOf(totals: Totals): Suspicion {
    const routes = [...totals.values()];
    const failures = routes.map(failureStratum);
    const slow = slowShares.map(share => routes.flatMap(one => slowStratum(one, share)));
    const failureExponent = Math.max(
        0,
        ...[failures, ...failures.map(one => [one])].filter(isRelevant).map(tailExponent),
    );
    const latencyExponent = Math.max(
        0,
        ...slow.flatMap(strata => [strata, ...strata.map(one => [one])]).map(tailExponent),
    );
    return failureExponent >= latencyExponent
        ? { reason: "failures", exponent: failureExponent }
        : { reason: "latency", exponent: latencyExponent };
}

function failureStratum({ target, base }: RouteTotals): Stratum {
    return {
        targetBad: target.failures,
        targetAll: target.good + target.failures,
        baseBad: base.failures,
        baseAll: base.good + base.failures,
    };
}

/** Counts as slow what is slower than all but `share` of the old version's answers, with a margin for the new one. */
function slowStratum({ target, base }: RouteTotals, share: number): readonly Stratum[] {
    const baseAll = sumFrom(base.latencies, 0);
    if (baseAll < minBaseAnswers) {
        return [];
    }
    let first = 0;
    while (sumFrom(base.latencies, first) > share * baseAll) {
        first += 1;
    }
    return [{
        targetBad: sumFrom(target.latencies, first + marginBuckets),
        targetAll: sumFrom(target.latencies, 0),
        baseBad: sumFrom(base.latencies, first),
        baseAll,
    }];
}

function isRelevant(strata: readonly Stratum[]): boolean {
    const sum = (of: (one: Stratum) => number) => strata.reduce((total, one) => total + of(one), 0);
    const targetShare = sum(one => one.targetBad) / Math.max(1, sum(one => one.targetAll));
    return targetShare >= sum(one => one.baseBad) / Math.max(1, sum(one => one.baseAll)) + minFailureExcess;
}

function sumFrom(counts: readonly number[], first: number): number {
    let sum = 0;
    for (let at = first; at < counts.length; at++) {
        sum += counts[at] ?? 0;
    }
    return sum;
}

function emptyTotals(): VersionTotals {
    return { good: 0, failures: 0, latencies: new Array<number>(buckets).fill(0) };
}

function addCounts(totals: VersionTotals, counts: AnswerCounts, sign: 1 | -1): void {
    totals.good += sign * counts.good;
    totals.failures += sign * counts.failures;
    for (const [bucket, number] of counts.latencies) {
        const known = totals.latencies[bucket];
        if (known !== undefined) {
            totals.latencies[bucket] = known + sign * number;
        }
    }
}
