/**
 * Selects on an entry host the versions that a request may use. A hash of the request's id decides which requests go to
 * the version that is rolled out, and until that has proved itself, each host stays within its own part of the exposure
 * bound: the share of what it has sent to the service since it knows the order, and its part of the slack. The parts of
 * all hosts, also of those that are cut off, add up to no more than the bound.
 */
import { hashText } from "../common/TextHash.js";
import type { Event, RouteId, ServiceId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { freshViewMs, type RolloutBounds, type RolloutRecord, type RolloutView, stepShares } from "./Types.js";
import type { AnswerOutcome, VersionCounts } from "./VersionCounts.js";

/** Part of the exposure share that hosts use. */
const usedShare = 0.9;
/** Part of the slack that is divided among the hosts, and the number of hosts that may have joined; the rest is for restarts. */
const usedSlackShare = 0.6;
const reserveHosts = 2;
const hashRange = 2 ** 32;

export interface VersionedEndpoint {
    readonly id: string;
    readonly service: ServiceId;
    readonly version?: string | undefined;
    readonly isLeaving: boolean;
    readonly dataCentre: string;
}

export interface RouterView {
    readonly endpoints: readonly VersionedEndpoint[];
    readonly hosts: readonly { readonly host: string; }[];
    readonly dataCentresOut: ReadonlySet<string>;
    readonly rollouts?: RolloutView | undefined;
}

interface RolloutSource {
    view(): RouterView;
    /** Age of the view's roll-outs. */
    rolloutsAgeMs(): number;
    readonly onChange: Event<RouterView>;
}

interface VersionRouterOptions {
    readonly self: string;
    readonly fleet: RolloutSource;
    /** Undefined in a deployment without roll-outs. */
    readonly bounds: RolloutBounds | undefined;
    readonly counts: VersionCounts;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** An attempt that has begun at an endpoint. */
export interface VersionAttempt {
    end(outcome: AnswerOutcome, latencyMs: number): void;
}

/** What a request has used so far. */
export interface RequestVersions {
    readonly service: ServiceId;
    readonly route: RouteId;
    readonly request: string;
    /** Order for which the request was counted, and whether it has reached the order's target. */
    countedFor: number | undefined;
    isExposed: boolean;
}

export function requestVersions(service: ServiceId, route: RouteId, request: string): RequestVersions {
    return { service, route, request, countedFor: undefined, isExposed: false };
}

export class VersionRouter {
    private indexedView: RouterView | undefined;
    private recordsByService = new Map<string, RolloutRecord>();
    /** "service version" of all versions with an endpoint in use. */
    private present = new Set<string>();
    /** For each service, the versions that were listed before any other; used while the view is out of date. */
    private readonly firstVersions = new Map<string, ReadonlySet<string | undefined>>();
    private wasFresh = true;

    public constructor(private readonly options: VersionRouterOptions) {
        const note = (view: RouterView) => this.noteFirstVersions(view);
        note(options.fleet.view());
        options.fleet.onChange(note);
    }

    /** True when the request may be sent to the endpoint now; true for all while there is no roll-out. */
    public allows(service: ServiceId, endpoint: VersionedEndpoint, request: string): boolean {
        if (this.options.bounds === undefined) {
            return true;
        }
        const record = this.find(service);
        const { version } = endpoint;
        if (record === undefined) {
            return this.isFresh || this.presumedVersion(service) === version;
        }
        if (version !== record.target) {
            return !record.rejected.includes(version ?? "") && !this.isSuperseded(record, version);
        }
        switch (record.state) {
            case "completed":
                return true;
            case "rolled_back":
                return false;
            case "serving":
                return this.isFresh && isSelected(record, request) && this.isWithinBound(record);
        }
    }

    /**
     * The endpoints that the request may use now. A request selected for the new version tries that first, and the old
     * one after a failure. `isTried` tells the endpoints that it has tried.
     */
    public suitable<T extends { readonly listed: VersionedEndpoint; }>(
        { service, request }: RequestVersions,
        endpoints: readonly T[],
        isTried: (endpoint: T) => boolean,
    ): readonly T[] {
        const record = this.options.bounds === undefined ? undefined : this.find(service);
        const allowed = endpoints.filter(({ listed }) => this.allows(service, listed, request));
        if (record?.state !== "serving") {
            return allowed;
        }
        const [targets, others] = [true, false].map(isTarget =>
            allowed.filter(({ listed }) => (listed.version === record.target) === isTarget)
        );
        const hasTriedTarget = endpoints.some(one => one.listed.version === record.target && isTried(one));
        const isPreferred = targets !== undefined && targets.length > 0 && !hasTriedTarget;
        return isPreferred || others === undefined || others.length === 0 ? targets ?? [] : others;
    }

    /**
     * Begins an attempt and counts it; undefined when the endpoint is no longer allowed. A begun stream stays with its
     * version, whatever the bound, as long as the version may be used at all.
     */
    public begin(
        request: RequestVersions,
        endpoint: VersionedEndpoint,
        isBegunStream: boolean,
    ): VersionAttempt | undefined {
        const { counts, bounds, metrics } = this.options;
        const { service, route } = request;
        const record = bounds === undefined ? undefined : this.find(service);
        if (record === undefined) {
            return counts.begin(endpoint, route, undefined);
        }
        const isTarget = endpoint.version === record.target;
        const isAllowed = isBegunStream
            ? this.allowsStream(service, endpoint)
            : this.allows(service, endpoint, request.request) || (request.isExposed && isTarget && this.isFresh);
        if (!isAllowed) {
            return undefined;
        }
        if (record.state === "serving") {
            const isNewRequest = request.countedFor !== record.order;
            const isNewlyExposed = isTarget && (isNewRequest || !request.isExposed);
            counts.countRequest(record, isNewRequest, isNewlyExposed);
            request.countedFor = record.order;
            request.isExposed = isTarget || (request.isExposed && !isNewRequest);
            metrics.count("rollout_attempts", { service, version: isTarget ? "target" : "base" });
        }
        return counts.begin(endpoint, route, record);
    }

    /** True when a stream that began at the endpoint's version may go on there. */
    public allowsStream(service: ServiceId, { version }: VersionedEndpoint): boolean {
        const record = this.options.bounds === undefined ? undefined : this.find(service);
        if (record === undefined) {
            return true;
        }
        if (version === record.target) {
            return record.state === "completed" || (record.state === "serving" && this.isFresh);
        }
        return !record.rejected.includes(version ?? "")
            && !(record.state === "completed" && this.isPresent(service, record.target));
    }

    private get isFresh(): boolean {
        const { fleet, bounds, log } = this.options;
        const isFresh = bounds === undefined || fleet.rolloutsAgeMs() <= freshViewMs(bounds);
        if (isFresh !== this.wasFresh) {
            this.wasFresh = isFresh;
            const serving = [...this.recordsByService.values()].filter(one => one.state === "serving");
            if (serving.length > 0) {
                log.event(EventId.RolloutViewFreshness, {
                    isFresh,
                    ageMs: Math.round(fleet.rolloutsAgeMs()),
                    services: serving.map(one => one.service),
                });
            }
        }
        return isFresh;
    }

    /** True when another version than the target is used in place of this one. */
    private isSuperseded(record: RolloutRecord, version: string | undefined): boolean {
        const { service, target, base, state, step } = record;
        const isTargetOnly = state === "completed"
            || (state === "serving" && (stepShares[step] ?? 0) >= 1 && this.isFresh);
        if (isTargetOnly && this.isPresent(service, target)) {
            return true;
        }
        return base !== undefined && version !== base && this.isPresent(service, base);
    }

    private isWithinBound(record: RolloutRecord): boolean {
        const { bounds, counts, fleet } = this.options;
        if (record.isProven || bounds === undefined) {
            return true;
        }
        const { requests, exposed } = counts.sent(record);
        const slack = slackOf(this.options.self, fleet.view().hosts, record, bounds);
        return exposed + 1 <= bounds.exposureShare * usedShare * (requests + 1) + slack;
    }

    private isPresent(service: string, version: string | undefined): boolean {
        return this.present.has(keyOf(service, version));
    }

    private find(service: string): RolloutRecord | undefined {
        const view = this.options.fleet.view();
        if (view !== this.indexedView) {
            this.indexedView = view;
            this.recordsByService = new Map(view.rollouts?.records.map(one => [one.service, one]));
            this.present = new Set(
                view.endpoints.filter(one => !one.isLeaving && !view.dataCentresOut.has(one.dataCentre))
                    .map(one => keyOf(one.service, one.version)),
            );
        }
        return this.recordsByService.get(service);
    }

    /**
     * The version that is used while the view is out of date and names no roll-out, since one may have been ordered
     * meanwhile: of those listed first, the one with the most endpoints, then the lowest, which is rarely a new one.
     */
    private presumedVersion(service: ServiceId): string | undefined {
        const first = this.firstVersions.get(service);
        const numbers = new Map<string | undefined, number>();
        for (const one of this.options.fleet.view().endpoints) {
            if (one.service === service && first?.has(one.version) !== false) {
                numbers.set(one.version, (numbers.get(one.version) ?? 0) + 1);
            }
        }
        const [presumed] = [...numbers].sort(([a, ofA], [b, ofB]) =>
            ofB - ofA || (a ?? "").localeCompare(b ?? "", "en", { numeric: true })
        );
        return presumed?.[0];
    }

    /** Versions that are listed first, or after all known ones have gone, replace the known ones. */
    private noteFirstVersions({ endpoints }: RouterView): void {
        const listed = new Map<string, Set<string | undefined>>();
        for (const { service, version } of endpoints) {
            listed.set(service, (listed.get(service) ?? new Set()).add(version));
        }
        for (const [service, versions] of listed) {
            const known = this.firstVersions.get(service);
            const left = new Set([...versions].filter(one => known?.has(one)));
            this.firstVersions.set(service, left.size > 0 ? left : versions);
        }
    }
}

/**
 * This host's part of the slack: whole requests, since a fraction of one could never be used where a host has few. When
 * there are more hosts than requests, those that a hash puts first have one each.
 */
function slackOf(
    self: string,
    hosts: RouterView["hosts"],
    { service, target }: RolloutRecord,
    { exposureSlack }: RolloutBounds,
): number {
    const whole = Math.floor(exposureSlack * usedSlackShare);
    const count = hosts.length + reserveHosts;
    const weightOf = (host: string) => hashText(`${service} ${target} ${host}`);
    const rank = hosts.filter(one => one.host !== self && weightOf(one.host) >= weightOf(self)).length;
    return Math.floor(whole / count) + (rank < whole % count ? 1 : 0);
}

function isSelected({ target, step }: RolloutRecord, request: string): boolean {
    return hashText(`${target} ${request}`) < (stepShares[step] ?? 0) * hashRange;
}

function keyOf(service: string, version: string | undefined): string {
    return JSON.stringify([service, version ?? null]);
}
