/**
 * Divides the endpoints of each stage's service into cells, each with one gatherer. A service of few endpoints is one
 * cell over all data centres, which uses them best; a larger one has cells within each data centre, so that the work
 * of one gatherer is bounded. All hosts with the same list come to the same cells without a message.
 */
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { EntryHost, FleetView, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { CellId } from "./Types.js";

/** A service with no more endpoints than this is one cell. */
const wholeServiceEndpoints = 6;
/** Endpoints of a cell within a data centre, about. */
const cellEndpoints = 4;

export interface Cell {
    readonly id: CellId;
    readonly service: ServiceId;
    /** Undefined for a cell over all data centres. */
    readonly dataCentre: DataCentreId | undefined;
    readonly endpoints: readonly ListedEndpoint[];
}

export class Cells {
    private readonly byId = new Map<CellId, Cell>();
    private readonly byService = new Map<ServiceId, Cell[]>();
    private readonly cellOfEndpoint = new Map<EndpointId, CellId>();
    private readonly gatherersOf = new Map<CellId, readonly HostId[]>();

    public constructor(private readonly view: FleetView) {
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

    /** The cell of an endpoint; undefined for one that is not listed any more. */
    public ofEndpoint(endpoint: EndpointId): CellId | undefined {
        return this.cellOfEndpoint.get(endpoint);
    }

    /** Live hosts that may gather for a cell, first choice first: those beside its endpoints before others. */
    public rankedGatherers(id: CellId): readonly HostId[] {
        const known = this.gatherersOf.get(id) ?? this.rankGatherers(id);
        this.gatherersOf.set(id, known);
        return known;
    }

    private rankGatherers(id: CellId): readonly HostId[] {
        const centre = this.byId.get(id)?.dataCentre;
        const live = this.view.hosts.filter(one => one.isLive);
        const isNear = (one: EntryHost) => centre === undefined || one.dataCentre === centre;
        const near = live.filter(isNear).map(one => one.host);
        const far = live.filter(one => !isNear(one)).map(one => one.host);
        return [...rankByWeight(id, near), ...rankByWeight(id, far)];
    }

    /** Endpoints of a cell that may be given work. */
    public usableEndpoints(id: CellId): readonly ListedEndpoint[] {
        const { dataCentresOut } = this.view;
        return (this.byId.get(id)?.endpoints ?? [])
            .filter(one => !one.isLeaving && !dataCentresOut.has(one.dataCentre));
    }

    private partition(service: ServiceId, endpoints: readonly ListedEndpoint[]): void {
        if (endpoints.length <= wholeServiceEndpoints) {
            this.add(service, undefined, `${service}`, endpoints);
            return;
        }
        for (const dataCentre of new Set(endpoints.map(one => one.dataCentre))) {
            const here = endpoints.filter(one => one.dataCentre === dataCentre);
            const names = Array.from(
                { length: Math.ceil(here.length / cellEndpoints) },
                (_, at) => `${service}/${dataCentre}/${at}`,
            );
            const firstOf = (one: ListedEndpoint) => rankByWeight(one.id, names)[0];
            names.forEach(name => this.add(service, dataCentre, name, here.filter(one => firstOf(one) === name)));
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

/** The cells of a view, made anew when the view has changed. */
export class CellCache {
    private made: { readonly view: FleetView; readonly cells: Cells; } | undefined;

    public constructor(private readonly view: () => FleetView) {}

    public current(): Cells {
        const view = this.view();
        if (this.made?.view !== view) {
            this.made = { view, cells: new Cells(view) };
        }
        return this.made.cells;
    }
}
