/**
 * Partitions the endpoints of each stage's service into cells, each served by one gatherer. A service with few
 * endpoints forms one cell across all data centres, which gives the best utilisation; a larger one has one or more
 * cells within each data centre, which bounds the load of one gatherer. The partition depends only on the endpoint
 * list, so that all hosts compute the same cells without exchanging messages.
 */
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetView, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { CellId } from "./Types.js";

/** Largest number of endpoints of a service that forms a single cell. */
const maxSingleCellEndpoints = 6;
/** Largest number of endpoints of a cell within a data centre; a larger one waits less, and loads its gatherer more. */
const maxCellEndpoints = 8;

export interface Cell {
    readonly id: CellId;
    readonly service: ServiceId;
    /** Undefined for a cell over all data centres. */
    readonly dataCentre: DataCentreId | undefined;
    readonly endpoints: readonly ListedEndpoint[];
}

/** The cells of one fleet view. */
export class Cells {
    private readonly byId = new Map<CellId, Cell>();
    private readonly byService = new Map<ServiceId, Cell[]>();
    private readonly cellOfEndpoint = new Map<EndpointId, CellId>();
    /** The first gatherer of each cell, worked out on first use. */
    private assigned: ReadonlyMap<CellId, HostId> | undefined;
    private readonly ranked = new Map<CellId, readonly HostId[]>();

    public constructor(private readonly view: FleetView, private readonly ranks: HostRanks = new HostRanks()) {
        const services = new Map<ServiceId, ListedEndpoint[]>();
        for (const endpoint of view.endpoints) {
            const known = services.get(endpoint.service);
            if (known === undefined) {
                services.set(endpoint.service, [endpoint]);
            }
            else {
                known.push(endpoint);
            }
        }
        for (const [service, endpoints] of services) {
            if (view.deployment?.services.get(service)?.pieces !== undefined) {
                this.partition(service, endpoints);
            }
        }
    }

    public ofService(service: ServiceId): readonly Cell[] {
        return this.byService.get(service) ?? [];
    }

    public get(id: CellId): Cell | undefined {
        return this.byId.get(id);
    }

    /** The cell of an endpoint; undefined when the endpoint is no longer listed. */
    public ofEndpoint(endpoint: EndpointId): CellId | undefined {
        return this.cellOfEndpoint.get(endpoint);
    }

    /**
     * Live hosts that may be the gatherer of a cell, in order of preference: first the one that gathers for fewer cells
     * than the others, then hosts in the cell's data centre, then all others, each group in rendezvous order. Hosts in
     * data centres that are cut off are left out.
     */
    public rankedGatherers(id: CellId): readonly HostId[] {
        const known = this.ranked.get(id);
        if (known !== undefined) {
            return known;
        }
        this.assigned ??= this.assignGatherers();
        const first = this.assigned.get(id);
        const order = this.gathererOrder(id);
        const ranked = first === undefined ? order : [first, ...order.filter(host => host !== first)];
        this.ranked.set(id, ranked);
        return ranked;
    }

    /** True when this host can't reach the data centre of a cell. */
    public isCutOff({ dataCentre }: Cell): boolean {
        return dataCentre !== undefined && this.view.cutOff.has(dataCentre);
    }

    /** Endpoints of a cell that may receive calls: not leaving, and in a data centre that is in use. */
    public usableEndpoints(id: CellId): readonly ListedEndpoint[] {
        const { dataCentresOut } = this.view;
        return (this.byId.get(id)?.endpoints ?? [])
            .filter(one => !one.isLeaving && !dataCentresOut.has(one.dataCentre));
    }

    private gathererOrder(id: CellId): readonly HostId[] {
        const live = this.ranks.live(id, this.byId.get(id)?.dataCentre, this.view.hosts);
        const { cutOff } = this.view;
        return cutOff.size === 0 ? live : live.filter(host => !this.ranks.isIn(host, cutOff));
    }

    /** Spreads the cells over the hosts of their data centres, since a gatherer of several can't keep up under load. */
    private assignGatherers(): ReadonlyMap<CellId, HostId> {
        const assigned = new Map<CellId, HostId>();
        const counts = new Map<HostId, number>();
        for (const id of [...this.byId.keys()].sort()) {
            const order = this.gathererOrder(id);
            const dataCentre = this.byId.get(id)?.dataCentre;
            const near = dataCentre === undefined
                ? []
                : order.filter(host => this.ranks.isIn(host, new Set([dataCentre])));
            let best: HostId | undefined;
            for (const host of near.length > 0 ? near : order) {
                best = best === undefined || (counts.get(host) ?? 0) < (counts.get(best) ?? 0) ? host : best;
            }
            if (best !== undefined) {
                assigned.set(id, best);
                counts.set(best, (counts.get(best) ?? 0) + 1);
            }
        }
        return assigned;
    }

    private partition(service: ServiceId, endpoints: readonly ListedEndpoint[]): void {
        if (endpoints.length <= maxSingleCellEndpoints) {
            this.add(service, undefined, `${service}`, endpoints);
            return;
        }
        for (const dataCentre of new Set(endpoints.map(one => one.dataCentre))) {
            const localEndpoints = endpoints.filter(one => one.dataCentre === dataCentre);
            const names = Array.from(
                { length: Math.ceil(localEndpoints.length / maxCellEndpoints) },
                (_, at) => `${service}/${dataCentre}/${at}`,
            );
            const assignedName = (one: ListedEndpoint) => rankByWeight(one.id, names)[0];
            names.forEach(name =>
                this.add(service, dataCentre, name, localEndpoints.filter(one => assignedName(one) === name))
            );
        }
    }

    private add(
        service: ServiceId,
        dataCentre: DataCentreId | undefined,
        name: string,
        endpoints: readonly ListedEndpoint[],
    ): void {
        if (endpoints.length === 0) {
            return;
        }
        const cell = { id: name as CellId, service, dataCentre, endpoints };
        this.byId.set(cell.id, cell);
        this.byService.set(service, [...this.ofService(service), cell]);
        endpoints.forEach(one => this.cellOfEndpoint.set(one.id, cell.id));
    }
}

/** Caches the cells of the current view and rebuilds them when the view changes. */
export class CellCache {
    private cached: { readonly view: FleetView; readonly cells: Cells; } | undefined;
    private readonly ranks = new HostRanks();

    public constructor(private readonly view: () => FleetView) {}

    public current(): Cells {
        const view = this.view();
        if (this.cached?.view !== view) {
            this.cached = { view, cells: new Cells(view, this.ranks) };
        }
        return this.cached.cells;
    }
}
