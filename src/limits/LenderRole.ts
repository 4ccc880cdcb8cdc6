/**
 * The role in which a host lends for an endpoint. The first two live hosts in rendezvous order lend, those in the
 * endpoint's data centre first; the second is asked only when the first can't be reached. Each lends by itself, and no
 * message passes between them. The shares keep the sum within one and a half times the limit while hosts restart, are
 * suspended or cut off, or have different views of the fleet.
 */
import type { Clock, DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetBounds, FleetSource, FleetView } from "../fleet/Types.js";

/** Number of hosts that lend for an endpoint. */
export const lendersPerEndpoint = 2;
/**
 * Shares of the limit at which a host lends: as the first one; as the first one while another host may still count as
 * such, since the order has just changed or this host's view is not confirmed; and as the second one.
 */
export const lenderShares = { first: 1, unsure: 0.5, second: 0.25 };
/** How long an order must have been unchanged; other hosts have seen the change by then. */
export const settledMs = 4000;

export type LenderRole = keyof typeof lenderShares;

/** When a host got its position among the lenders of an endpoint. */
export interface LenderPosition {
    position: number;
    sinceMs: number;
}

interface LenderRolesOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly bounds: FleetBounds;
    /** Includes time in system suspension. */
    readonly clock: Clock;
}

export class LenderRoles {
    private readonly ranks = new HostRanks();
    private liveHosts = "";
    /** Since when the live hosts in this host's view have been the same. */
    private liveSinceMs: number;

    public constructor(private readonly options: LenderRolesOptions) {
        this.liveSinceMs = options.clock.nowMs();
        options.fleet.onChange(view => this.applyView(view));
    }

    /** This host's position now; undefined when it does not lend. `known` is updated, and a new one returned without. */
    public position(
        endpoint: EndpointId,
        dataCentre: DataCentreId,
        known: LenderPosition | undefined,
    ): LenderPosition | undefined {
        const { self, fleet, clock } = this.options;
        const position = this.ranks.live(endpoint, dataCentre, fleet.view().hosts).indexOf(self);
        if (position < 0 || position >= lendersPerEndpoint) {
            return undefined;
        }
        const one = known ?? { position, sinceMs: this.liveSinceMs };
        if (one.position !== position) {
            one.position = position;
            one.sinceMs = clock.nowMs();
        }
        return one;
    }

    public roleOf({ position, sinceMs }: LenderPosition): LenderRole {
        const { fleet, bounds, clock } = this.options;
        if (position > 0) {
            return "second";
        }
        const isSettled = clock.nowMs() - sinceMs >= settledMs;
        return isSettled && fleet.ageMs() <= bounds.configApplyMs ? "first" : "unsure";
    }

    private applyView({ hosts }: FleetView): void {
        const liveHosts = hosts.filter(one => one.isLive).map(one => one.host).join(" ");
        if (liveHosts !== this.liveHosts) {
            this.liveHosts = liveHosts;
            this.liveSinceMs = this.options.clock.nowMs();
        }
    }
}
