/**
 * Decides which engine should hold which model. An engine that may hold only one model always holds it; engines that
 * may hold several hold copies by demand. Copies are added soon after demand rises and removed late after it falls, and
 * the last ready copy of a model in demand is never unloaded or replaced.
 */
import type { EndpointId, ModelId } from "../common/Types.js";
import type { EngineOrder } from "./Types.js";
import type { EngineStateMessage } from "./Wire.js";

/** How long demand must have required more copies, or fewer, before one is loaded or unloaded. */
const growAfterMs = 5000;
const shrinkAfterMs = 120_000;
/** Planned load of one copy, as a share of its engine's limit. */
const plannedLoadShare = 0.7;

export interface PlacedEngine {
    readonly endpoint: EndpointId;
    /** Models that the engine may hold. */
    readonly allowed: readonly ModelId[];
    /** Maximum calls in flight on the engine when it is warm. */
    readonly warmLimit: number;
    /** Undefined when the engine did not answer; it gets no orders then. */
    readonly state: EngineStateMessage | undefined;
    /** False for an engine that is leaving or out. */
    readonly isOpen: boolean;
}

export interface PlacementInput {
    readonly engines: readonly PlacedEngine[];
    /** Version that each model should have. */
    readonly versions: ReadonlyMap<ModelId, string>;
    /** Calls running or waiting in the data centre, by model. */
    readonly demand: ReadonlyMap<ModelId, number>;
    /** On the monotonic clock. */
    readonly nowMs: number;
}

export interface PlacementOrder {
    readonly endpoint: EndpointId;
    readonly order: EngineOrder;
    readonly model: ModelId;
}

export class Placement {
    private readonly scarceSinceMs = new Map<ModelId, number>();
    private readonly surplusSinceMs = new Map<ModelId, number>();

    /** Returns the orders that are due, most urgent first. */
    public plan(input: PlacementInput): PlacementOrder[] {
        const models = [...new Set(input.engines.flatMap(engine => engine.allowed))];
        const loads = models.flatMap(model => this.planLoads(model, input));
        const unloads = input.engines.flatMap(engine => this.planUnloads(engine, input));
        loads.sort((a, b) => (input.demand.get(b.model) ?? 0) - (input.demand.get(a.model) ?? 0));
        return [...loads, ...unloads];
    }

    private planLoads(model: ModelId, input: PlacementInput): PlacementOrder[] {
        const version = input.versions.get(model);
        if (version === undefined) {
            return [];
        }
        const usable = input.engines.filter(one =>
            one.isOpen && one.state !== undefined && one.allowed.includes(model)
        );
        if (usable.some(engine => isLoading(engine, model))) {
            return [];
        }
        const load = (engine: PlacedEngine): PlacementOrder => ({
            endpoint: engine.endpoint,
            model,
            order: { kind: "load-model", model, version },
        });
        const missing = usable.filter(engine => versionOn(engine, model) === undefined);
        const dedicated = missing.filter(engine => engine.allowed.length === 1);
        if (dedicated.length > 0) {
            return dedicated.slice(0, 1).map(load);
        }
        if (this.needsCopy(model, usable, input)) {
            return missing.slice(0, 1).map(load);
        }
        const outdated = usable.filter(engine =>
            versionOn(engine, model) !== undefined && versionOn(engine, model) !== version
        );
        return outdated.filter(engine => canRemoveCopy(engine, model, input)).slice(0, 1).map(load);
    }

    private needsCopy(model: ModelId, usable: readonly PlacedEngine[], input: PlacementInput): boolean {
        const copies = usable.filter(engine => versionOn(engine, model) !== undefined).length;
        const isScarce = copies < requiredCopies(model, usable, input);
        const sinceMs = this.trackSince(this.scarceSinceMs, model, isScarce, input.nowMs);
        // A model in demand that has no copy is loaded at once.
        return isScarce && (copies === 0 || input.nowMs - sinceMs >= growAfterMs);
    }

    private planUnloads(engine: PlacedEngine, input: PlacementInput): PlacementOrder[] {
        const held = engine.state?.models.filter(one => one.ready).map(one => one.model as ModelId) ?? [];
        return held
            .filter(model =>
                engine.isOpen && canRemoveCopy(engine, model, input) && this.isSurplus(engine, model, input)
            )
            .slice(0, 1)
            .map(model => {
                const version = versionOn(engine, model) ?? "";
                return { endpoint: engine.endpoint, model, order: { kind: "unload-model", model, version } };
            });
    }

    private isSurplus(engine: PlacedEngine, model: ModelId, input: PlacementInput): boolean {
        if (!engine.allowed.includes(model)) {
            return true;
        }
        if (engine.allowed.length === 1) {
            return false;
        }
        const holders = input.engines.filter(one => one.isOpen && versionOn(one, model) !== undefined);
        const isSurplus = holders.length > Math.max(1, requiredCopies(model, holders, input));
        const sinceMs = this.trackSince(this.surplusSinceMs, model, isSurplus, input.nowMs);
        const isLast = holders.at(-1)?.endpoint === engine.endpoint;
        if (!isSurplus || !isLast || input.nowMs - sinceMs < shrinkAfterMs) {
            return false;
        }
        this.surplusSinceMs.delete(model);
        return true;
    }

    private trackSince(since: Map<ModelId, number>, model: ModelId, holds: boolean, nowMs: number): number {
        if (!holds) {
            since.delete(model);
            return nowMs;
        }
        const sinceMs = since.get(model) ?? nowMs;
        since.set(model, sinceMs);
        return sinceMs;
    }
}

function versionOn(engine: PlacedEngine, model: ModelId): string | undefined {
    return engine.state?.models.find(one => one.model === model && one.ready)?.version;
}

function isLoading(engine: PlacedEngine, model: ModelId): boolean {
    return engine.state?.models.some(one => one.model === model && !one.ready) === true;
}

function requiredCopies(model: ModelId, engines: readonly PlacedEngine[], input: PlacementInput): number {
    const demand = input.demand.get(model) ?? 0;
    const limit = Math.max(1, ...engines.map(engine => engine.warmLimit));
    return Math.ceil(demand / (limit * plannedLoadShare));
}

/** False for the last ready copy of a model that is in demand. */
function canRemoveCopy(engine: PlacedEngine, model: ModelId, input: PlacementInput): boolean {
    const others = input.engines.filter(one => one !== engine && one.isOpen && versionOn(one, model) !== undefined);
    return others.length > 0 || (input.demand.get(model) ?? 0) === 0;
}
