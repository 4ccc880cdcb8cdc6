/**
 * The order of a route's stages. They form a directed acyclic graph, and their numbers say nothing about it: a stage may
 * need the results of one with a higher number.
 */
import type { RouteStage } from "../fleet/Types.js";

/**
 * The numbers of the stages in an order in which each comes after those whose results it needs. Undefined if a stage
 * needs one that does not exist, or itself, also through others: such stages can't run.
 */
export function startOrder(stages: readonly RouteStage[]): readonly number[] | undefined {
    const predecessors = stages.map(stage => new Set(stage.after));
    const successors = stages.map((): number[] => []);
    for (const [at, needed] of predecessors.entries()) {
        needed.forEach(one => successors[one]?.push(at));
    }
    const order = stages.flatMap((_, at) => predecessors[at]?.size === 0 ? [at] : []);
    // Grows while it is walked.
    for (const done of order) {
        for (const next of successors[done] ?? []) {
            const needed = predecessors[next];
            needed?.delete(done);
            if (needed?.size === 0) {
                order.push(next);
            }
        }
    }
    return order.length === stages.length ? order : undefined;
}

/** True for a final stage, one without successors. */
export function isFinal(stages: readonly RouteStage[], index: number): boolean {
    return stages.every(stage => !stage.after.includes(index));
}

/** The stages whose results a stage needs, also through others. */
export function ancestorsOf(stages: readonly RouteStage[], index: number): readonly number[] {
    const found = new Set(stages[index]?.after);
    // Grows while it is walked.
    for (const at of found) {
        stages[at]?.after.forEach(one => found.add(one));
    }
    return [...found];
}
