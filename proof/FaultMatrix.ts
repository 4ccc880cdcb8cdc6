/**
 * The fault matrix: injects each fault at each step of each operation. The cells of one step run in sequence on one
 * site, which must recover after each. If a check fails, every cell is run again on its own site to find the cause.
 */
import type { Fault } from "./Faults.js";
import { findViolations } from "./HistoryChecks.js";
import { matches, type Operation, type StepMatch } from "./Operations.js";
import { ProofSite } from "./ProofSite.js";

/** One combination of an operation, one of its steps, and the faults injected at that step. */
export interface Cell {
    readonly operation: Operation;
    readonly step: StepMatch;
    readonly faults: readonly Fault[];
}

/** Result of a cell, or of all cells of a step if no cell fails on its own site. */
export interface CellResult {
    readonly cell: string;
    readonly seed: number;
    /** Violations found; empty if the cell passed. */
    readonly broken: readonly string[];
    /** Last log events of a failed cell. */
    readonly trace: readonly string[];
}

/** Duration of a fault, and time for the site to recover afterwards, in milliseconds. */
const faultMs = 5000;
const recoveryMs = 12_000;
const probeTimeoutMs = 8000;
const operationTimeoutMs = 100_000;
const maxTraceEvents = 60;

export function cellName(cell: Cell): string {
    const { operation, step, faults } = cell;
    const place = step.place === undefined ? "" : ` at ${step.place}`;
    return `${operation.name} / ${step.name}${place} / ${faults.map(fault => fault.name).join(" + ")}`;
}

/** Runs `cells`, all of the same operation and step, on one site; if a check fails, runs each again on its own site. */
export async function runStep(cells: readonly Cell[], seed: number): Promise<readonly CellResult[]> {
    const site = await startedSite(seed);
    const problems: string[] = [];
    for (const [turn, cell] of cells.entries()) {
        problems.push(...await runCell(site, cell, turn + 1));
    }
    const broken = [...problems, ...violationsOf(site)];
    await site.stopAll();
    if (broken.length === 0) {
        return cells.map(cell => ({ cell: cellName(cell), seed, broken: [], trace: [] }));
    }
    const results: CellResult[] = [];
    for (const cell of cells) {
        results.push(await runAlone(cell, seed));
    }
    const isExplained = results.some(result => result.broken.length > 0);
    const sequenceName = `${cells.map(cellName)[0] ?? ""} and the other faults of this step, one after another`;
    return isExplained ? results : [...results, { cell: sequenceName, seed, broken, trace: traceOf(site) }];
}

/** Runs one cell on its own site. */
export async function runAlone(cell: Cell, seed: number): Promise<CellResult> {
    const site = await startedSite(seed);
    const problems = await runCell(site, cell, 1);
    const broken = [...problems, ...violationsOf(site)];
    await site.stopAll();
    return { cell: cellName(cell), seed, broken, trace: broken.length === 0 ? [] : traceOf(site) };
}

async function startedSite(seed: number): Promise<ProofSite> {
    const site = new ProofSite(seed);
    await site.start();
    return site;
}

function violationsOf(site: ProofSite): readonly string[] {
    return [...site.failures, ...findViolations(site.history)];
}

async function runCell(site: ProofSite, cell: Cell, turn: number): Promise<readonly string[]> {
    for (const fault of cell.faults) {
        await site.advanceUntilSettled(fault.prepare?.(site, turn) ?? Promise.resolve(), operationTimeoutMs);
    }
    let injection: Promise<unknown> | undefined;
    site.onStep = step => {
        if (injection === undefined && matches(step, cell.step)) {
            // The fault is injected asynchronously, between two steps, since real faults are not part of a step.
            injection = Promise.resolve().then(() => injectAll(site, cell, turn));
        }
    };
    const run = cell.operation.run(site, turn);
    await site.advanceUntil(() => injection !== undefined, operationTimeoutMs);
    site.onStep = () => undefined;
    if (injection === undefined) {
        return [`${cellName(cell)}: the step was not reached`];
    }
    await site.clock.advance(faultMs);
    for (const fault of cell.faults) {
        await site.advanceUntilSettled(Promise.resolve(fault.end?.(site, cell.operation, turn)), operationTimeoutMs);
    }
    await site.advanceUntilSettled(run, operationTimeoutMs);
    await site.clock.advance(recoveryMs);
    return probe(site, cell, turn);
}

async function injectAll(site: ProofSite, cell: Cell, turn: number): Promise<void> {
    for (const fault of cell.faults) {
        await fault.inject(site, cell.operation, turn);
    }
}

/** Checks that every host serves requests and all have the same configuration; reads all jobs for the later checks. */
async function probe(site: ProofSite, cell: Cell, turn: number): Promise<readonly string[]> {
    const name = cellName(cell);
    const sent = [...site.hosts.keys()].flatMap(host => [
        site.send("profile", host, { probe: turn, host }),
        site.send("hold", host, { probe: turn, host, hold: true }, `probe-${turn}-${host}`),
    ]);
    const seen = await site.advanceUntilSettled(Promise.all(sent), probeTimeoutMs);
    await site.advanceUntilSettled(site.readJobs("east-1"), probeTimeoutMs);
    const unserved = (seen ?? []).filter(req => req.outcome?.kind !== "answered");
    const versions = new Set(site.live.map(host => host.config.current()?.version));
    return [
        ...(seen === undefined ? [`${name}: the probe requests did not all end in time`] : []),
        ...unserved.map(req => `${name}: ${req.host} did not serve a ${req.kind}: ${JSON.stringify(req.outcome)}`),
        ...(versions.size === 1 ? [] : [`${name}: hosts are at versions ${[...versions].join(", ")}`]),
    ];
}

function traceOf(site: ProofSite): readonly string[] {
    return site.events.slice(-maxTraceEvents).map(event => JSON.stringify(event));
}
