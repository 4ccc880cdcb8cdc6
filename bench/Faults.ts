/** Faults that an experiment can bring about at set times, each a few steps at shares of the load's length. */
import type { Settings } from "../src/config/Schema.js";
import type { ControlMessage } from "../standin/Types.js";
import type { Cluster } from "./Cluster.js";
import type { EndpointWatch } from "./EndpointWatch.js";

export interface FaultTarget {
    readonly cluster: Cluster;
    readonly watch: EndpointWatch;
}

export interface FaultStep {
    /** When it happens, as a share of the load's length. */
    readonly at: number;
    readonly what: string;
    run(target: FaultTarget): Promise<void>;
}

type FaultPlan = (settings: Settings) => readonly FaultStep[];

function processStep(at: number, what: string, act: (cluster: Cluster) => void): FaultStep {
    return { at, what, run: async ({ cluster }) => act(cluster) };
}

function controlStep(at: number, what: string, endpoints: readonly string[], message: ControlMessage): FaultStep {
    return {
        at,
        what,
        run: async ({ watch }) => {
            await Promise.all(endpoints.map(endpoint => watch.control(endpoint, message)));
        },
    };
}

/** The engines of the pool that most stages use. */
function busiestEngines(settings: Settings): string[] {
    const stages = Object.values(settings.pipelines).flatMap(pipeline => pipeline.stages);
    const uses = (pool: string) => stages.filter(stage => stage.pool === pool).length;
    const engines = Object.entries(settings.endpoints).filter(([, endpoint]) => endpoint.kind === "engine");
    const most = Math.max(...engines.map(([, endpoint]) => uses(endpoint.pool)));
    return engines.filter(([, endpoint]) => uses(endpoint.pool) === most).map(([id]) => id);
}

/** A host without durable state, and one with it. */
function hostOf(settings: Settings, control: "voter" | "none"): string {
    return Object.entries(settings.hosts).find(([, host]) => host.control === control)?.[0] ?? "";
}

function killAndRestart(host: string): readonly FaultStep[] {
    return [
        processStep(0.3, `${host} is killed`, cluster => cluster.processes.signal(host, "SIGKILL")),
        processStep(0.6, `${host} starts again`, cluster => cluster.startDaemon(host)),
    ];
}

function freeze(host: string): readonly FaultStep[] {
    return [
        processStep(0.3, `${host} is frozen`, cluster => cluster.processes.signal(host, "SIGSTOP")),
        processStep(0.6, `${host} goes on`, cluster => cluster.processes.signal(host, "SIGCONT")),
    ];
}

export const faultPlans: Readonly<Record<string, FaultPlan>> = {
    "kill-entry-host": settings => killAndRestart(hostOf(settings, "none")),
    "kill-voter": settings => killAndRestart(hostOf(settings, "voter")),
    "freeze-entry-host": settings => freeze(hostOf(settings, "none")),
    "freeze-voter": settings => freeze(hostOf(settings, "voter")),
    "stop-host": settings => {
        const host = hostOf(settings, "none");
        return [
            processStep(0.3, `${host} stops as planned`, cluster => cluster.processes.signal(host, "SIGTERM")),
            processStep(0.7, `${host} starts again`, cluster => cluster.startDaemon(host)),
        ];
    },
    "slow-engine": settings => {
        const slow = busiestEngines(settings).slice(0, 1);
        return [
            controlStep(0.3, `${slow.join()} is five times slower`, slow, { slowBy: 5 }),
            controlStep(0.6, `${slow.join()} is as fast as before`, slow, { slowBy: 1 }),
        ];
    },
    "cold-engine": settings => {
        const cold = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `${cold.join()} turns cold without warning`, cold, { turnCold: true })];
    },
    "crash-engine": settings => {
        const crashed = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `${crashed.join()} crashes and restarts cold`, crashed, { crash: true })];
    },
    "failing-stage": settings => {
        const failing = busiestEngines(settings);
        return [
            controlStep(0.3, "a tenth of the calls fail on the busiest engines", failing, { failShare: 0.1 }),
            controlStep(0.6, "no call fails any more", failing, { failShare: 0 }),
        ];
    },
    "silent-connections": settings => {
        const silent = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `open connections to ${silent.join()} fall silent`, silent, { silent: true })];
    },
    "spoilt-replies": settings => {
        const engines = busiestEngines(settings);
        return [
            controlStep(0.4, "short, swapped and doubled replies", engines, { short: 3, swapReplies: 4, duplicate: 4 }),
        ];
    },
};
