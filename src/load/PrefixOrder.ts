/**
 * The rendezvous order of endpoints for the shared parts of prompts. Ranking all endpoints for each request is costly,
 * so the orders of the latest keys are kept until an endpoint is added.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { EndpointId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";

/** Number of keys whose order is kept; with 1,300 endpoints an order occupies about 60 KB. */
const maxKeys = 64;

interface RankedEndpoints {
    readonly order: readonly EndpointId[];
    readonly ranked: ReadonlySet<EndpointId>;
}

export class PrefixOrder {
    private readonly orders = new BoundedMap<string, RankedEndpoints>(maxKeys);

    /** The candidates in the order of a key. `group` names the service, whose endpoints are ranked together. */
    public rank<T extends { readonly id: EndpointId; }>(group: string, key: string, candidates: readonly T[]): T[] {
        const name = `${group} ${key}`;
        const known = this.orders.get(name);
        const isComplete = known !== undefined && candidates.every(({ id }) => known.ranked.has(id));
        const { order } = isComplete ? known : this.add(name, key, candidates.map(one => one.id));
        const byId = new Map(candidates.map(one => [one.id, one]));
        return order.flatMap(id => byId.get(id) ?? []);
    }

    private add(name: string, key: string, ids: readonly EndpointId[]): RankedEndpoints {
        const added = { order: rankByWeight(key, ids), ranked: new Set(ids) };
        this.orders.set(name, added);
        return added;
    }
}
