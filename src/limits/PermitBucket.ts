/**
 * Token bucket for the permits of one endpoint. It starts empty and holds a small burst, so that in any window the
 * permits stay close to what the limit allows, also when another host has lent the endpoint's permits just before.
 * Requests of the most urgent priority seen lately may take the last token; others must leave one, except every few
 * permits, so that no priority is shut out.
 */

/** Largest burst: a number of permits, or the limit over this time if that is more. */
const maxBurst = 3;
const burstS = 0.25;
/** Number of tokens that a request of a lower priority must find. */
const tokensForLower = 2;
/** Each request takes a permit in turn, whatever its priority, after this many went to the most urgent ones. */
const urgentInRow = 3;
/** How long a priority, and a denied request, is remembered. */
const memoryMs = 2000;
const msPerS = 1000;

export interface BucketDenial {
    /** Time until enough tokens are there, unless another request takes them. */
    readonly waitMs: number;
    /** Time until the requests that were denied lately, and have got no permit since, could have been served as well. */
    readonly retryAfterMs: number;
}

export class PermitBucket {
    private tokens = 0;
    private urgent = { priority: Infinity, atMs: -Infinity };
    private urgentTaken = 0;
    private deniedMs: number[] = [];

    public constructor(private filledMs: number) {}

    /**
     * Adds the tokens since the last call at `perSecond`, and takes one for a request if it may have it. Returns
     * undefined when it was taken. A request that `wasDenied` before is not counted once more.
     */
    public take(nowMs: number, perSecond: number, priority: number, wasDenied = false): BucketDenial | undefined {
        this.fill(nowMs, perSecond);
        const isUrgent = this.recordPriority(nowMs, priority);
        const needed = isUrgent || this.urgentTaken >= urgentInRow
            ? 1
            : Math.min(tokensForLower, capacityOf(perSecond));
        this.deniedMs = this.deniedMs.filter(atMs => atMs > nowMs - memoryMs);
        if (this.tokens >= needed) {
            this.tokens -= 1;
            if (wasDenied) {
                this.deniedMs.shift();
            }
            this.urgentTaken = isUrgent ? this.urgentTaken + 1 : 0;
            return undefined;
        }
        if (!wasDenied) {
            this.deniedMs.push(nowMs);
        }
        const ahead = Math.max(0, this.deniedMs.length - 1);
        const msPerToken = msPerS / perSecond;
        return {
            waitMs: Math.ceil((needed - this.tokens) * msPerToken),
            retryAfterMs: Math.ceil((needed - this.tokens + ahead) * msPerToken),
        };
    }

    private fill(nowMs: number, perSecond: number): void {
        const added = Math.max(0, nowMs - this.filledMs) * perSecond / msPerS;
        this.tokens = Math.min(capacityOf(perSecond), this.tokens + added);
        this.filledMs = nowMs;
    }

    /** True when no request of a higher priority was seen lately. */
    private recordPriority(nowMs: number, priority: number): boolean {
        const isUrgent = priority <= this.urgent.priority || nowMs - this.urgent.atMs > memoryMs;
        if (isUrgent) {
            this.urgent = { priority, atMs: nowMs };
        }
        return isUrgent;
    }
}

function capacityOf(perSecond: number): number {
    return Math.max(1, Math.min(maxBurst, perSecond), perSecond * burstS);
}
