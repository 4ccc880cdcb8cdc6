/** Policies that limit concurrent calls on endpoints shared by many hosts: the product's own and simple baselines. */
import type { EndpointId, HostId } from "../../src/common/Types.js";
import { EndpointHealth } from "../../src/endpoints/EndpointHealth.js";
import type { CallEnd } from "../../src/endpoints/Types.js";
import type { CallResult, SiteHost, SlotSite } from "../../testing/SlotSite.js";

export type SlotPolicyName = "owner slots" | "static share" | "local limit" | "round robin";

export interface SlotPolicy {
    readonly name: SlotPolicyName;
    /** Chooses an endpoint of `pool` and makes one call on it; gives up at the deadline on the host's clock. */
    call(
        host: SiteHost,
        pool: readonly EndpointId[],
        durationMs: number,
        deadlineMs: number,
    ): Promise<CallResult["end"]>;
}

/** Interval between attempts to find a free endpoint. */
const pollIntervalMs = 50;
/** How long a call waits for one endpoint's slot before it tries the next one. */
const maxSlotWaitMs = 1500;

/** The product's policy: takes slots from the endpoints' owners and prefers the least loaded endpoint. */
export class OwnerSlotPolicy implements SlotPolicy {
    public readonly name = "owner slots";

    public async call(host: SiteHost, pool: readonly EndpointId[], durationMs: number, deadlineMs: number) {
        const views = pool.map(id => host.table.get(id)!).filter(one => one.state !== "leaving" && one.state !== "out");
        const waiting = (id: EndpointId) => host.holder.peek(id)?.waiting ?? 0;
        const load = (one: typeof views[number]) =>
            (one.ownInFlight + waiting(one.id) - one.credits) / Math.max(1, one.limit);
        const distancePenalty = (
            one: typeof views[number],
        ) => (one.dataCentre === host.membership.dataCentre ? 0 : 0.01);
        views.sort((a, b) => load(a) + distancePenalty(a) - load(b) - distancePenalty(b));
        const best = views[0];
        if (best === undefined) {
            return "closed";
        }
        const leftMs = deadlineMs - host.clock.nowMs();
        return (await host.call(best.id, durationMs, Math.max(1, Math.min(leftMs, maxSlotWaitMs + durationMs)))).end;
    }
}

interface LocalState {
    readonly health: EndpointHealth;
    inFlight: number;
}

/** Each host limits its own calls by the results that it observes, with its part of each endpoint's limits. */
class LocalLimitPolicy implements SlotPolicy {
    private readonly states = new Map<string, LocalState>();
    private turn = 0;

    public constructor(
        public readonly name: SlotPolicyName,
        private readonly site: SlotSite,
        /** Returns one host's part of an endpoint's limit; at least 1. */
        private readonly hostLimit: (limit: number) => number,
        private readonly limitsCalls: boolean,
    ) {}

    public async call(host: SiteHost, pool: readonly EndpointId[], durationMs: number, deadlineMs: number) {
        const out = host.config.current()?.outDataCentres;
        const open = pool.filter(id => out?.has(this.site.settings.endpoints[id]!.dataCentre) !== true);
        while (host.clock.nowMs() + durationMs <= deadlineMs) {
            this.turn += 1;
            const rotated = open.map((_, index) => open[(index + this.turn) % open.length]!);
            const free = rotated.find(id => {
                const state = this.state(host.id, id, host);
                return !this.limitsCalls || state.inFlight < state.health.limit;
            });
            if (free !== undefined) {
                return this.run(host, free, durationMs);
            }
            await host.clock.sleep(pollIntervalMs);
        }
        return "no-slot";
    }

    private async run(host: SiteHost, id: EndpointId, durationMs: number): Promise<CallEnd> {
        const state = this.state(host.id, id, host);
        const endpoint = this.site.endpoint(id);
        state.inFlight += 1;
        const { era } = state.health;
        const end = await endpoint.run(durationMs);
        state.inFlight -= 1;
        state.health.applyEvidence({
            era,
            succeeded: end === "succeeded" ? 1 : 0,
            overloaded: 0,
            cold: 0,
            lost: 0,
            crashed: end === "crashed" ? 1 : 0,
            refused: end === "refused" ? 1 : 0,
            leaving: 0,
            firstByteMs: [],
            ...(end === "succeeded" ? { incarnation: endpoint.incarnation } : {}),
        });
        return end;
    }

    private state(host: HostId, id: EndpointId, siteHost: SiteHost): LocalState {
        const key = `${host}>${id}`;
        const existing = this.states.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const { coldLimit, warmLimit } = this.site.settings.endpoints[id]!;
        const limits = { coldLimit: this.hostLimit(coldLimit), warmLimit: this.hostLimit(warmLimit) };
        const state = { health: new EndpointHealth(siteHost.clock, limits), inFlight: 0 };
        this.states.set(key, state);
        return state;
    }
}

export function makePolicy(name: SlotPolicyName, site: SlotSite): SlotPolicy {
    const hosts = Object.keys(site.settings.hosts).length;
    switch (name) {
        case "owner slots":
            return new OwnerSlotPolicy();
        case "static share":
            return new LocalLimitPolicy(name, site, limit => Math.max(1, Math.floor(limit / hosts)), true);
        case "local limit":
            return new LocalLimitPolicy(name, site, limit => limit, true);
        case "round robin":
            return new LocalLimitPolicy(name, site, limit => limit, false);
    }
}
