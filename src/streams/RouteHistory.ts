/**
 * Where routes have led lately, and for how long their requests could last. Where a route has led to one service only, a
 * stream on it whose beginning nobody names was begun by that service.
 */
import type { Clock } from "../common/Types.js";
import type { Deployment, FleetSource, RouteId, ServiceId } from "../fleet/Types.js";
import type { FirstStart } from "./FirstStart.js";

/** A stream may be as old as several tries of its caller, each of which may last for the route's limit. */
const maxTries = 2;
/** By this time all hosts have seen a change of the endpoint list. */
const listLagMs = 5000;

interface RouteRecord {
    /** When it was first in force, on the local clock; -Infinity when no stream is older. */
    readonly sinceMs: number;
    /** For each service, and for each limit in milliseconds, when it was in force last. */
    readonly servicesMs: Map<ServiceId, number>;
    readonly limitsMs: Map<number, number>;
}

export class RouteHistory {
    private readonly routes = new Map<RouteId, RouteRecord>();
    private deployment: Deployment | undefined;

    public constructor(fleet: FleetSource, private readonly clock: Clock, private readonly firstStart: FirstStart) {
        fleet.onChange(({ deployment }) => {
            if (deployment !== this.deployment) {
                this.note(this.deployment);
                const isFirst = this.deployment === undefined && this.firstStart.isProven;
                this.deployment = deployment;
                this.forgetOthers(deployment);
                this.note(deployment, isFirst);
            }
        });
    }

    /** How long ago a stream on the route may have begun that its caller takes up now. */
    public longestStreamMs(route: RouteId): number {
        this.note(this.deployment);
        const nowMs = this.clock.nowMs();
        const limits = [...this.routes.get(route)?.limitsMs ?? []];
        const possible = limits.filter(([limitMs, atMs]) => nowMs - atMs <= limitMs * maxTries);
        return Math.max(0, ...possible.map(([limitMs]) => limitMs)) * maxTries + listLagMs;
    }

    /** True when the route has led to this service, and to no other one, for `forMs`. */
    public hasLedOnlyTo(service: ServiceId, route: RouteId, forMs: number): boolean {
        this.note(this.deployment);
        const fromMs = this.clock.nowMs() - forMs;
        const known = this.routes.get(route);
        if (known === undefined || known.sinceMs > fromMs) {
            return false;
        }
        const recent = [...known.servicesMs].filter(([, atMs]) => atMs >= fromMs);
        return recent.length === 1 && recent[0]?.[0] === service;
    }

    /** A route that comes back counts as new, since its paths may have belonged to another one meanwhile. */
    private forgetOthers(deployment: Deployment | undefined): void {
        const inForce = new Set(deployment?.routes.map(one => one.id));
        for (const id of this.routes.keys()) {
            if (!inForce.has(id)) {
                this.routes.delete(id);
            }
        }
    }

    private note(deployment: Deployment | undefined, isFirst: boolean = false): void {
        const nowMs = this.clock.nowMs();
        for (const { id, targets, timeoutMs } of deployment?.routes ?? []) {
            const known = this.routes.get(id) ?? {
                sinceMs: isFirst ? -Infinity : nowMs,
                servicesMs: new Map<ServiceId, number>(),
                limitsMs: new Map<number, number>(),
            };
            targets.filter(one => one.weight > 0).forEach(one => known.servicesMs.set(one.service, nowMs));
            known.limitsMs.set(timeoutMs, nowMs);
            this.routes.set(id, known);
        }
    }
}
