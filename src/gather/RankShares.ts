/**
 * How much of the work of each priority a gatherer starts in time. A kind of request with a long chain of stages starves,
 * whatever its priority, when it is given up early for the sake of others; the margin before the latest start at which
 * that happens shrinks while its priority is started in time less often than others.
 */

/** Time constant of the shares: about the length of a burst, so that one burst's loss does not mark the next one. */
const decayMs = 5000;
/** How far the share of a priority may fall below that of others until nothing is left of its margin. */
const maxLag = 0.05;
/** Counts as this much work started in time, so that a single late submission does not decide. */
const priorWork = 1;

interface StartedWork {
    inTime: number;
    late: number;
    updatedMs: number;
}

export class RankShares {
    private readonly started = new Map<number, StartedWork>();

    /** Records that a submission has been started; `isLate` is true when it can't meet its objective any more. */
    public recordStart(priority: number, isLate: boolean, nowMs: number): void {
        const work = this.workOf(priority, nowMs);
        if (isLate) {
            work.late += 1;
        }
        else {
            work.inTime += 1;
        }
    }

    /** How much of its margin a priority keeps, in [0, 1]: 1 while its share is level with the best of the others. */
    public marginPart(priority: number, nowMs: number): number {
        const others = [...this.started.keys()].filter(other => other !== priority);
        if (others.length === 0) {
            return 1;
        }
        const best = Math.max(...others.map(other => this.shareOf(other, nowMs)));
        const behind = best - this.shareOf(priority, nowMs);
        return Math.min(1, Math.max(0, 1 - behind / maxLag));
    }

    private shareOf(priority: number, nowMs: number): number {
        const { inTime, late } = this.workOf(priority, nowMs);
        return (inTime + priorWork) / (inTime + late + priorWork);
    }

    private workOf(priority: number, nowMs: number): StartedWork {
        const known = this.started.get(priority);
        if (known === undefined) {
            const added = { inTime: 0, late: 0, updatedMs: nowMs };
            this.started.set(priority, added);
            return added;
        }
        if (nowMs > known.updatedMs) {
            const kept = Math.exp((known.updatedMs - nowMs) / decayMs);
            known.inTime *= kept;
            known.late *= kept;
            known.updatedMs = nowMs;
        }
        return known;
    }
}
