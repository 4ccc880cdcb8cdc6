/** Starts stand-ins for a site's endpoints and platform in this process. */
import { DisposableStore } from "../src/common/DisposableStore.js";
import type { Clock, Disposable } from "../src/common/Types.js";
import type { EndpointSettings, Settings } from "../src/config/Schema.js";
import { StandInEndpoint } from "./StandInEndpoint.js";
import { StandInPlatform } from "./StandInPlatform.js";
import type { StandInOptions, StandInSpeed } from "./Types.js";

export interface RunOptions {
    /** Ids of endpoints to start; all by default. */
    readonly only?: readonly string[];
    /** Whether to start the platform's host list and weight store too; true by default. */
    readonly platform?: boolean;
    readonly startsCold?: boolean;
    /** Speed of engines; the other kinds keep their defaults. */
    readonly engineSpeed?: Partial<StandInSpeed>;
    readonly seed?: number;
    readonly clock?: Clock;
}

/** Resolves once every stand-in listens; rejects if an address is in use. Disposing the result stops them all. */
export async function runStandIns(settings: Settings, options: RunOptions = {}): Promise<Disposable> {
    const store = new DisposableStore();
    const chosen = Object.entries(settings.endpoints).filter(([id]) => options.only?.includes(id) ?? true);
    for (const [index, [id, endpoint]] of chosen.entries()) {
        const standIn = new StandInEndpoint(optionsFor(settings, id, endpoint, options, index));
        await standIn.start(endpoint.address);
        store.add({ dispose: () => void standIn.stop() });
    }
    if (options.platform ?? true) {
        for (const { address, standIn } of createPlatforms(settings, options)) {
            await standIn.start(address);
            store.add({ dispose: () => void standIn.stop() });
        }
    }
    return store;
}

function optionsFor(
    settings: Settings,
    id: string,
    endpoint: EndpointSettings,
    options: RunOptions,
    index: number,
): StandInOptions {
    const models = endpoint.models.map(model => ({ model, version: settings.models[model]?.version ?? "1" }));
    return {
        id,
        kind: endpoint.kind,
        models,
        coldLimit: endpoint.coldLimit,
        warmLimit: endpoint.warmLimit,
        reportsLoad: endpoint.reportsLoad,
        checksFencing: endpoint.checksFencing,
        weightStore: settings.platform.weightStoreAddress,
        seed: (options.seed ?? 1) * 1000 + index,
        ...(options.startsCold === undefined ? {} : { startsCold: options.startsCold }),
        ...(endpoint.kind === "engine" && options.engineSpeed !== undefined ? { speed: options.engineSpeed } : {}),
        ...(options.clock === undefined ? {} : { clock: options.clock }),
    };
}

/** One stand-in for each distinct address in the settings; the host list and the weight store may share one. */
function createPlatforms(
    settings: Settings,
    options: RunOptions,
): { readonly address: string; readonly standIn: StandInPlatform; }[] {
    const { hostListAddress, weightStoreAddress, weightStoreBytesPerSecond } = settings.platform;
    const addresses = new Set([hostListAddress, weightStoreAddress].filter(address => address !== undefined));
    const weightBytes = Object.fromEntries(Object.entries(settings.models).map(([id, model]) => [id, model.bytes]));
    return [...addresses].map(address => ({
        address,
        standIn: new StandInPlatform({
            ids: [...Object.keys(settings.hosts), ...Object.keys(settings.endpoints)],
            weightBytes,
            weightBytesPerSecond: weightStoreBytesPerSecond,
            ...(options.clock === undefined ? {} : { clock: options.clock }),
        }),
    }));
}
