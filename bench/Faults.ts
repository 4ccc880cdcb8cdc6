/** Faults that an experiment injects at fixed fractions of the load's duration. */
import type { Settings } from "../src/config/Schema.js";
import type { ControlMessage } from "../standin/Types.js";
import type { Cluster } from "./Cluster.js";
import type { EndpointWatch } from "./EndpointWatch.js";

export interface FaultTarget {
    readonly cluster: Cluster;
    readonly watch: EndpointWatch;
}

export interface FaultStep {
    /** When the step happens, as a fraction of the load's duration. */
    readonly at: number;
    readonly what: string;
    run(target: FaultTarget): Promise<void>;
}

type FaultPlan = (settings: Settings) => readonly FaultStep[];

function processStep(at: number, what: string, action: (cluster: Cluster) => void): FaultStep {
    return { at, what, run: async ({ cluster }) => action(cluster) };
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

/** The engines of the pools that the largest number of stages use. */
function busiestEngines(settings: Settings): string[] {
    const stages = Object.values(settings.pipelines).flatMap(pipeline => pipeline.stages);
    const uses = (pool: string) => stages.filter(stage => stage.pool === pool).length;
    const engines = Object.entries(settings.endpoints).filter(([, endpoint]) => endpoint.kind === "engine");
    const maxUses = Math.max(...engines.map(([, endpoint]) => uses(endpoint.pool)));
    return engines.filter(([, endpoint]) => uses(endpoint.pool) === maxUses).map(([id]) => id);
}

/** The first host that stores control state ("voter"), or that stores none; "" if there is no such host. */
function firstHostWith(settings: Settings, control: "voter" | "none"): string {
    return Object.entries(settings.hosts).find(([, host]) => host.control === control)?.[0] ?? "";
}

function killAndRestart(host: string): readonly FaultStep[] {
    return [
        processStep(0.3, `${host} is killed`, cluster => cluster.processes.signal(host, "SIGKILL")),
        processStep(0.6, `${host} starts again`, cluster => cluster.startDaemon(host)),
    ];
}

function suspendAndResume(host: string): readonly FaultStep[] {
    return [
        processStep(0.3, `${host} is suspended`, cluster => cluster.processes.signal(host, "SIGSTOP")),
        processStep(0.6, `${host} resumes`, cluster => cluster.processes.signal(host, "SIGCONT")),
    ];
}

/** The steps of each fault, by the fault's name on the command line. */
export const faultPlans: Readonly<Record<string, FaultPlan>> = {
    "kill-entry-host": settings => killAndRestart(firstHostWith(settings, "none")),
    "kill-voter": settings => killAndRestart(firstHostWith(settings, "voter")),
    "freeze-entry-host": settings => suspendAndResume(firstHostWith(settings, "none")),
    "freeze-voter": settings => suspendAndResume(firstHostWith(settings, "voter")),
    "stop-host": settings => {
        const host = firstHostWith(settings, "none");
        return [
            processStep(0.3, `${host} is stopped with SIGTERM`, cluster => cluster.processes.signal(host, "SIGTERM")),
            processStep(0.7, `${host} starts again`, cluster => cluster.startDaemon(host)),
        ];
    },
    "slow-engine": settings => {
        const slow = busiestEngines(settings).slice(0, 1);
        return [
            controlStep(0.3, `${slow.join()} is five times slower`, slow, { slowBy: 5 }),
            controlStep(0.6, `${slow.join()} runs at normal speed again`, slow, { slowBy: 1 }),
        ];
    },
    "cold-engine": settings => {
        const cold = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `${cold.join()} turns cold without a restart`, cold, { turnCold: true })];
    },
    "crash-engine": settings => {
        const crashed = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `${crashed.join()} crashes and restarts cold`, crashed, { crash: true })];
    },
    "failing-stage": settings => {
        const failing = busiestEngines(settings);
        return [
            controlStep(0.3, "10 % of the calls on the busiest engines fail", failing, { failShare: 0.1 }),
            controlStep(0.6, "calls on the busiest engines succeed again", failing, { failShare: 0 }),
        ];
    },
    "silent-connections": settings => {
        const silent = busiestEngines(settings).slice(0, 1);
        return [controlStep(0.4, `open connections to ${silent.join()} stop sending data`, silent, { silent: true })];
    },
    "spoilt-replies": settings => {
        const engines = busiestEngines(settings);
        return [
            controlStep(0.4, "truncated, swapped and duplicated replies", engines, {
                short: 3,
                swapReplies: 4,
                duplicate: 4,
            }),
        ];
    },
};
