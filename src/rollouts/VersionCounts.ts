/**
 * Counts on an entry host what versions of services answer and what runs at them, for the reports to the control hosts.
 * Answers of an endpoint's first seconds are not counted by latency: a version that is only cold is not slow.
 */
import type { Clock, RouteId, ServiceId } from "../common/Types.js";
import { bucketOf } from "./Evidence.js";
import type { AnswerCounts, RolloutRecord, ServiceReport } from "./Types.js";

/** "good" or "failed" for an answer or a broken one; "none" when the attempt says nothing about the version. */
export type AnswerOutcome = "good" | "failed" | "none";

/** Latencies count this long after a version's first attempt at this host. */
const warmUpMs = 1000;

interface CountedEndpoint {
    readonly id: string;
    readonly service: ServiceId;
    readonly version?: string | undefined;
}

interface OpenCounts {
    good: number;
    failures: number;
    readonly latencies: Map<number, number>;
}

interface OrderCounts {
    readonly order: number;
    requests: number;
    exposed: number;
    readonly targetFailures: Map<string, number>;
    readonly routes: Map<RouteId, { readonly target: OpenCounts; readonly base: OpenCounts; }>;
}

export class VersionCounts {
    private readonly orders = new Map<ServiceId, OrderCounts>();
    /** Running attempts by service and version. */
    private readonly running = new Map<ServiceId, Map<string | undefined, number>>();
    private readonly firstUsedMs = new Map<string, number>();

    public constructor(private readonly clock: Clock) {}

    /** Requests that this host has sent to the service since it knows the order, and those that reached the target. */
    public sent(record: RolloutRecord): { readonly requests: number; readonly exposed: number; } {
        return this.countsOf(record);
    }

    public countRequest(record: RolloutRecord, isNew: boolean, isNewlyExposed: boolean): void {
        const counts = this.countsOf(record);
        counts.requests += isNew ? 1 : 0;
        counts.exposed += isNewlyExposed ? 1 : 0;
    }

    /** Counts a running attempt, and its answer if it began in a roll-out. */
    public begin(
        { id, service, version }: CountedEndpoint,
        route: RouteId,
        record: RolloutRecord | undefined,
    ) {
        this.addRunning(service, version, 1);
        const isTarget = version === record?.target;
        const startedMs = this.clock.nowMs();
        const key = `${service} ${record?.order} ${version}`;
        const firstUsedMs = this.firstUsedMs.get(key) ?? startedMs;
        if (record?.state === "serving") {
            this.firstUsedMs.set(key, firstUsedMs);
        }
        return {
            end: (outcome: AnswerOutcome, latencyMs: number) => {
                this.addRunning(service, version, -1);
                const counts = this.orders.get(service);
                if (record?.state === "serving" && counts?.order === record.order && outcome !== "none") {
                    const ofRoute = counts.routes.get(route) ?? { target: emptyCounts(), base: emptyCounts() };
                    counts.routes.set(route, ofRoute);
                    if (isTarget && outcome === "failed") {
                        counts.targetFailures.set(id, (counts.targetFailures.get(id) ?? 0) + 1);
                    }
                    const isWarm = startedMs - firstUsedMs >= warmUpMs;
                    addAnswer(isTarget ? ofRoute.target : ofRoute.base, outcome, isWarm ? latencyMs : undefined);
                }
            },
        };
    }

    /** The reports on all roll-outs in progress. */
    public report(records: readonly RolloutRecord[]): readonly ServiceReport[] {
        return records.filter(one => one.state === "serving").map(record => {
            const { requests, exposed, routes, targetFailures } = this.countsOf(record);
            let runningAtBase = 0;
            for (const [version, number] of this.running.get(record.service) ?? []) {
                runningAtBase += version === record.target ? 0 : number;
            }
            return {
                service: record.service,
                order: record.order,
                requests,
                exposed,
                runningAtBase,
                targetFailures: [...targetFailures],
                routes: [...routes].map(([route, { target, base }]) => ({
                    route,
                    target: closedCounts(target),
                    base: closedCounts(base),
                })),
            };
        });
    }

    private countsOf({ service, order }: RolloutRecord): OrderCounts {
        const known = this.orders.get(service);
        if (known?.order === order) {
            return known;
        }
        const counts: OrderCounts = { order, requests: 0, exposed: 0, targetFailures: new Map(), routes: new Map() };
        this.orders.set(service, counts);
        return counts;
    }

    private addRunning(service: ServiceId, version: string | undefined, by: number): void {
        const ofService = this.running.get(service) ?? new Map<string | undefined, number>();
        this.running.set(service, ofService);
        const number = (ofService.get(version) ?? 0) + by;
        if (number === 0) {
            ofService.delete(version);
        }
        else {
            ofService.set(version, number);
        }
    }
}

function emptyCounts(): OpenCounts {
    return { good: 0, failures: 0, latencies: new Map() };
}

function addAnswer(counts: OpenCounts, outcome: "good" | "failed", latencyMs: number | undefined): void {
    if (outcome === "failed") {
        counts.failures += 1;
        return;
    }
    counts.good += 1;
    if (latencyMs !== undefined) {
        const bucket = bucketOf(latencyMs);
        counts.latencies.set(bucket, (counts.latencies.get(bucket) ?? 0) + 1);
    }
}

function closedCounts({ good, failures, latencies }: OpenCounts): AnswerCounts {
    return { good, failures, latencies: [...latencies] };
}
