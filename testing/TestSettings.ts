/** Small, valid settings for tests: two data centres, each with two hosts and one endpoint of each pool. */
import { Emitter } from "../src/common/Emitter.js";
import { type Settings, settingsSchema } from "../src/config/Schema.js";
import type { ConfigSource, ConfigView } from "../src/config/Types.js";

const pools = [
    ["encoder", "encoder"],
    ["retriever", "retriever"],
    ["reranker", "reranker"],
    ["engine", "writer"],
    ["service", "holds"],
] as const;

/** Returns the settings. Tests that use them open no sockets; the ports only make the addresses distinct. */
export function testSettings(overrides: Readonly<Record<string, unknown>> = {}): Settings {
    const centres = ["north", "south"];
    const hosts = centres.flatMap((dataCentre, centre) =>
        [1, 2].map(number => [`${dataCentre}-${number}`, {
            dataCentre,
            callerAddress: `127.0.0.1:${20_000 + centre * 100 + number}`,
            peerAddress: `127.0.0.1:${21_000 + centre * 100 + number}`,
            control: number === 1 ? "voter" : "none",
        }])
    );
    const endpoints = centres.flatMap((dataCentre, centre) =>
        pools.map(([kind, pool], number) => [`${dataCentre}-${pool}`, {
            dataCentre,
            address: `127.0.0.1:${22_000 + centre * 100 + number}`,
            kind,
            pool,
            models: kind === "engine" ? ["m1"] : [],
            coldLimit: 1,
            warmLimit: 8,
        }])
    );
    const idempotentStages = [
        { name: "encode", pool: "encoder" },
        { name: "retrieve", pool: "retriever" },
        { name: "rerank", pool: "reranker" },
    ];
    const writeStage = { name: "write", pool: "writer", model: "m1", stream: true };
    return settingsSchema.parse({
        name: "test",
        dataCentres: { north: { region: "r1" }, south: { region: "r1" } },
        hosts: Object.fromEntries(hosts) as unknown,
        endpoints: Object.fromEntries(endpoints) as unknown,
        models: { m1: { bytes: 1_000_000, version: "v1" } },
        pipelines: {
            profile: { deadlineMs: 4000, stages: [...idempotentStages, writeStage] },
            hold: {
                deadlineMs: 4000,
                priority: 0,
                stages: [idempotentStages[0], { name: "place", pool: "holds", idempotent: false }],
            },
        },
        workspaces: { w1: {}, w2: { weight: 2 } },
        ...overrides,
    });
}

/** A configuration source whose view tests set. */
export class FixedConfig implements ConfigSource {
    private readonly emitter = new Emitter<ConfigView>();
    public readonly onChange = this.emitter.event;

    public constructor(private view: ConfigView | undefined) {}

    public current(): ConfigView | undefined {
        return this.view;
    }

    public set(view: ConfigView): void {
        this.view = view;
        this.emitter.fire(view);
    }
}

/** Returns a view of the settings in which no data centre is out and no endpoint is leaving. */
export function testView(settings: Settings = testSettings(), version: number = 1): ConfigView {
    return { version, settings, outDataCentres: new Set(), leavingEndpoints: new Set() };
}
