/**
 * Runs model placement on the host that issues a data centre's orders: reads the engines' states and the demand, and
 * issues the planned orders. Model loads are limited to the throughput of the weight store.
 */
import * as z from "zod";
import type { Clock, EndpointId, HostId, ModelId } from "../common/Types.js";
import type { ConfigSource, ConfigView } from "../config/Types.js";
import type { Membership } from "../membership/Types.js";
import { definePeerMethod, type PeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import type { EngineLink } from "./EngineLink.js";
import type { OrderIssuer } from "./OrderIssuer.js";
import { type PlacedEngine, Placement, type PlacementOrder } from "./Placement.js";
import type { SlotOwner } from "./SlotOwner.js";

/** Interval between two plans. */
const planIntervalMs = 2000;
/** Timeout of an order, apart from the time for reading weights. */
const orderTimeoutMs = 5000;
/** Factor on the expected time for reading weights, for the timeout of a load. */
const loadTimeoutFactor = 3;

/** Calls running or waiting on an endpoint, from all hosts. */
export interface EndpointDemand {
    readonly endpoint: EndpointId;
    readonly calls: number;
}

const demandMethod: PeerMethod<Record<string, never>, readonly EndpointDemand[]> = definePeerMethod(
    "endpoints.demand",
    z.object({}),
);

export interface PlacementServiceOptions {
    readonly membership: Membership;
    readonly config: ConfigSource;
    readonly registry: PeerRegistry;
    readonly transport: PeerTransport;
    readonly owner: SlotOwner;
    readonly issuer: OrderIssuer;
    readonly link: EngineLink;
    readonly clock: Clock;
}

export class PlacementService {
    public readonly name = "placement";
    private readonly placement = new Placement();
    /** Until then the weight store is busy with the loads already ordered. */
    private weightsBusyUntilMs = 0;

    public constructor(private readonly options: PlacementServiceOptions) {
        options.registry.handle(demandMethod, async () => options.owner.demand());
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const view = this.options.config.current();
            if (this.options.issuer.isIssuer && view !== undefined) {
                await this.planOnce(view);
            }
            await this.options.clock.sleep(planIntervalMs, signal);
        }
    }

    /** Runs one round: reads states and demand, plans, and issues the orders. */
    public async planOnce(view: ConfigView): Promise<void> {
        const engines = await this.readEngines(view);
        const versions = new Map(
            Object.entries(view.settings.models).map(([model, { version }]) => [model as ModelId, version]),
        );
        const demand = demandByModel(await this.collectDemand(view), engines);
        const nowMs = this.options.clock.nowMs();
        for (const planned of this.placement.plan({ engines, versions, demand, nowMs })) {
            await this.issueOrder(planned, view);
        }
    }

    private async issueOrder({ endpoint, order, model }: PlacementOrder, view: ConfigView): Promise<void> {
        if (order.kind !== "load-model") {
            await this.options.issuer.issue(endpoint, order, orderTimeoutMs);
            return;
        }
        const nowMs = this.options.clock.nowMs();
        if (nowMs < this.weightsBusyUntilMs) {
            return;
        }
        const { weightStoreBytesPerSecond } = view.settings.platform;
        const loadMs = ((view.settings.models[model]?.bytes ?? 0) / weightStoreBytesPerSecond) * 1000;
        this.weightsBusyUntilMs = nowMs + loadMs;
        await this.options.issuer.issue(endpoint, order, loadMs * loadTimeoutFactor + orderTimeoutMs);
    }

    private async readEngines(view: ConfigView): Promise<PlacedEngine[]> {
        const { dataCentre } = this.options.membership;
        const isOut = view.outDataCentres.has(dataCentre);
        const own = Object.entries(view.settings.endpoints)
            .filter(([, endpoint]) => endpoint.dataCentre === dataCentre && endpoint.kind === "engine");
        return Promise.all(own.map(async ([id, { models, warmLimit }]) => {
            const endpoint = id as EndpointId;
            const isOpen = !isOut && !view.leavingEndpoints.has(endpoint);
            return { endpoint, allowed: models, warmLimit, isOpen, state: await this.options.link.state(endpoint) };
        }));
    }

    /** Asks every host of the data centre that is up for the demand on the endpoints that it owns. */
    private async collectDemand(view: ConfigView): Promise<readonly EndpointDemand[]> {
        const { membership, transport, owner } = this.options;
        const timeoutMs = view.settings.timing.peerTimeoutMs;
        const demandOf = async (host: HostId): Promise<readonly EndpointDemand[]> => {
            if (host === membership.self) {
                return owner.demand();
            }
            return (await transport.call(host, demandMethod, {}, { timeoutMs })).orDefault([]);
        };
        const alive = membership.view().local.filter(one => one.state === "alive" || one.state === "leaving");
        return (await Promise.all(alive.map(one => demandOf(one.host)))).flat();
    }
}

/** Sums demand by model; an engine's calls are divided evenly among its models. */
function demandByModel(demand: readonly EndpointDemand[], engines: readonly PlacedEngine[]): Map<ModelId, number> {
    const byModel = new Map<ModelId, number>();
    for (const { endpoint, calls } of demand) {
        const engine = engines.find(one => one.endpoint === endpoint);
        const ready = engine?.state?.models.filter(one => one.ready).map(one => one.model as ModelId) ?? [];
        const models = ready.length > 0 ? ready : engine?.allowed ?? [];
        for (const model of models) {
            byModel.set(model, (byModel.get(model) ?? 0) + calls / models.length);
        }
    }
    return byModel;
}
