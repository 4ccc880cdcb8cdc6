/** Ways to bound the calls on endpoints that many hosts share: the product's own, and plain ones to compare with. */
import type { EndpointId, HostId } from "../../src/common/Types.js";
import { EndpointHealth } from "../../src/endpoints/EndpointHealth.js";
import type { CallEnd } from "../../src/endpoints/Types.js";
import type { CallResult, SiteHost, SlotSite } from "../../testing/SlotSite.js";

export type PolicyName = "owner slots" | "static share" | "local limit" | "round robin";

export interface SlotPolicy {
    readonly name: PolicyName;
    /** Chooses an endpoint of those named and makes one call on it. */
    call(
        host: SiteHost,
        pool: readonly EndpointId[],
        durationMs: number,
        deadlineMs: number,
    ): Promise<CallResult["end"]>;
}

/** Between two looks for a free endpoint. */
const lookEveryMs = 50;
/** How long a call waits for one endpoint's slot before it tries the next one. */
const patienceMs = 1500;

export class OwnerSlots implements SlotPolicy {
    public readonly name = "owner slots";

    public async call(host: SiteHost, pool: readonly EndpointId[], durationMs: number, deadlineMs: number) {
        const views = pool.map(id => host.table.get(id)!).filter(one => one.state !== "leaving" && one.state !== "out");
        const waiting = (id: EndpointId) => host.holder.peek(id)?.waiting ?? 0;
        const load = (one: typeof views[number]) =>
            (one.ownInFlight + waiting(one.id) - one.credits) / Math.max(1, one.limit);
        const isFar = (one: typeof views[number]) => (one.dataCentre === host.membership.dataCentre ? 0 : 0.01);
        views.sort((a, b) => load(a) + isFar(a) - load(b) - isFar(b));
        const best = views[0];
        if (best === undefined) {
            return "closed";
        }
        const leftMs = deadlineMs - host.clock.nowMs();
        return (await host.call(best.id, durationMs, Math.max(1, Math.min(leftMs, patienceMs + durationMs)))).end;
    }
}

interface LocalState {
    readonly health: EndpointHealth;
    inFlight: number;
}

/** Each host bounds its own calls by its own evidence, with a part of the endpoint's limits. */
class LocalPolicy implements SlotPolicy {
    private readonly states = new Map<string, LocalState>();
    private turn = 0;

    public constructor(
        public readonly name: PolicyName,
        private readonly site: SlotSite,
        /** Limit of one host, from the endpoint's; a limit below one is kept at one. */
        private readonly part: (limit: number) => number,
        private readonly bounds: boolean,
    ) {}

    public async call(host: SiteHost, pool: readonly EndpointId[], durationMs: number, deadlineMs: number) {
        const out = host.config.current()?.outDataCentres;
        const open = pool.filter(id => out?.has(this.site.settings.endpoints[id]!.dataCentre) !== true);
        while (host.clock.nowMs() + durationMs <= deadlineMs) {
            this.turn += 1;
            const rotated = open.map((_, index) => open[(index + this.turn) % open.length]!);
            const free = rotated.find(id => {
                const state = this.state(host.id, id, host);
                return !this.bounds || state.inFlight < state.health.limit;
            });
            if (free !== undefined) {
                return this.run(host, free, durationMs);
            }
            await host.clock.sleep(lookEveryMs);
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

    private state(host: HostId, id: EndpointId, at: SiteHost): LocalState {
        const key = `${host}>${id}`;
        const known = this.states.get(key);
        if (known !== undefined) {
            return known;
        }
        const { coldLimit, warmLimit } = this.site.settings.endpoints[id]!;
        const limits = { coldLimit: this.part(coldLimit), warmLimit: this.part(warmLimit) };
        const state = { health: new EndpointHealth(at.clock, limits), inFlight: 0 };
        this.states.set(key, state);
        return state;
    }
}

export function makePolicy(name: PolicyName, site: SlotSite): SlotPolicy {
    const hosts = Object.keys(site.settings.hosts).length;
    switch (name) {
        case "owner slots":
            return new OwnerSlots();
        case "static share":
            return new LocalPolicy(name, site, limit => Math.max(1, Math.floor(limit / hosts)), true);
        case "local limit":
            return new LocalPolicy(name, site, limit => limit, true);
        case "round robin":
            return new LocalPolicy(name, site, limit => limit, false);
    }
}
