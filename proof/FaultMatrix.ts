/**
 * The fault matrix: each fault at each step of each operation. The cells of one step run one after another on one site,
 * which has to be whole again after each; when a promise is broken, every cell is run again on a site of its own to
 * find out whose it was.
 */
import type { Fault } from "./Faults.js";
import { brokenPromises } from "./HistoryChecks.js";
import { matches, type Operation, type StepMatch } from "./Operations.js";
import { ProofSite } from "./ProofSite.js";

export interface Cell {
    readonly operation: Operation;
    readonly step: StepMatch;
    readonly faults: readonly Fault[];
}

export interface CellResult {
    readonly cell: string;
    readonly seed: number;
    /** What was broken; empty when the cell held. */
    readonly broken: readonly string[];
    /** The last events of a cell that did not hold. */
    readonly trace: readonly string[];
}

/** How long a fault lasts, and what a site then has to be whole again, in milliseconds. */
const faultMs = 5000;
const healMs = 12_000;
const probeMs = 8000;
const operationMs = 100_000;
const traceEvents = 60;

export function cellName(cell: Cell): string {
    const { operation, step, faults } = cell;
    const place = step.place === undefined ? "" : ` at ${step.place}`;
    return `${operation.name} / ${step.name}${place} / ${faults.map(fault => fault.name).join(" + ")}`;
}

/** Runs the cells of one step; `cells` share operation and step. */
export async function runStep(cells: readonly Cell[], seed: number): Promise<readonly CellResult[]> {
    const site = await startedSite(seed);
    const problems: string[] = [];
    for (const [turn, cell] of cells.entries()) {
        problems.push(...await runCell(site, cell, turn + 1));
    }
    const broken = [...problems, ...endOf(site)];
    await site.stopAll();
    if (broken.length === 0) {
        return cells.map(cell => ({ cell: cellName(cell), seed, broken: [], trace: [] }));
    }
    const results: CellResult[] = [];
    for (const cell of cells) {
        results.push(await runAlone(cell, seed));
    }
    const isExplained = results.some(result => result.broken.length > 0);
    const together = `${cells.map(cellName)[0] ?? ""} and the other faults of this step, one after another`;
    return isExplained ? results : [...results, { cell: together, seed, broken, trace: traceOf(site) }];
}

/** Runs one cell on a site of its own. */
export async function runAlone(cell: Cell, seed: number): Promise<CellResult> {
    const site = await startedSite(seed);
    const problems = await runCell(site, cell, 1);
    const broken = [...problems, ...endOf(site)];
    await site.stopAll();
    return { cell: cellName(cell), seed, broken, trace: broken.length === 0 ? [] : traceOf(site) };
}

async function startedSite(seed: number): Promise<ProofSite> {
    const site = new ProofSite(seed);
    await site.start();
    return site;
}

function endOf(site: ProofSite): readonly string[] {
    return [...site.failures, ...brokenPromises(site.history)];
}

async function runCell(site: ProofSite, cell: Cell, turn: number): Promise<readonly string[]> {
    for (const fault of cell.faults) {
        await site.settled(fault.prepare?.(site, turn) ?? Promise.resolve(), operationMs);
    }
    let struck: Promise<unknown> | undefined;
    site.onStep = step => {
        if (struck === undefined && matches(step, cell.step)) {
            // The fault strikes between two steps, as whatever comes from outside does.
            struck = Promise.resolve().then(() => strikeAll(site, cell, turn));
        }
    };
    const run = cell.operation.run(site, turn);
    await site.until(() => struck !== undefined, operationMs);
    site.onStep = () => undefined;
    if (struck === undefined) {
        return [`${cellName(cell)}: the step was not reached`];
    }
    await site.clock.advance(faultMs);
    for (const fault of cell.faults) {
        await site.settled(Promise.resolve(fault.end?.(site, cell.operation, turn)), operationMs);
    }
    await site.settled(run, operationMs);
    await site.clock.advance(healMs);
    return probe(site, cell, turn);
}

async function strikeAll(site: ProofSite, cell: Cell, turn: number): Promise<void> {
    for (const fault of cell.faults) {
        await fault.strike(site, cell.operation, turn);
    }
}

/** Once the fault is over, every host serves, every job ends, and all hosts have the same configuration. */
async function probe(site: ProofSite, cell: Cell, turn: number): Promise<readonly string[]> {
    const name = cellName(cell);
    const sent = [...site.hosts.keys()].flatMap(host => [
        site.send("profile", host, { probe: turn, host }),
        site.send("hold", host, { probe: turn, host, hold: true }, `probe-${turn}-${host}`),
    ]);
    const seen = await site.settled(Promise.all(sent), probeMs);
    await site.settled(site.readJobs("east-1"), probeMs);
    const unserved = (seen ?? []).filter(req => req.outcome?.kind !== "answered");
    const versions = new Set(site.live.map(host => host.config.current()?.version));
    return [
        ...(seen === undefined ? [`${name}: a probe had no outcome`] : []),
        ...unserved.map(req => `${name}: ${req.host} did not serve a ${req.kind}: ${JSON.stringify(req.outcome)}`),
        ...(versions.size === 1 ? [] : [`${name}: hosts are at versions ${[...versions].join(", ")}`]),
    ];
}

function traceOf(site: ProofSite): readonly string[] {
    return site.events.slice(-traceEvents).map(event => JSON.stringify(event));
}
