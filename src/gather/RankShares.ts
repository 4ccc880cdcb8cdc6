/**
 * How much of the work of each priority a gatherer starts in time. Order by priority alone starves the least urgent
 * kind of request while more urgent ones fill the endpoints; here its place behind them shrinks as its share falls.
 */

/** Time constant of the shares: about the length of a burst, so that one burst's loss does not mark the next one. */
const decayMs = 5000;
/** A priority keeps its whole place behind more urgent ones while its share is level with theirs, none this far below. */
const maxLead = 0.05;
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

    /** How far a priority keeps its place behind more urgent ones, in [0, 1]. */
    public placeBehind(priority: number, nowMs: number): number {
        let best = 0;
        for (const other of this.started.keys()) {
            if (other < priority) {
                best = Math.max(best, this.shareOf(other, nowMs));
            }
        }
        if (best === 0) {
            return 1;
        }
        const behind = best - this.shareOf(priority, nowMs);
        return Math.min(1, Math.max(0, 1 - behind / maxLead));
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
