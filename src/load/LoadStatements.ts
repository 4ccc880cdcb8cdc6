/** Keeps the newest statement of each endpoint on its load, from replies to this host and from other hosts. */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { AgedStatement, LoadStatement } from "./Types.js";

/** Older statements say nothing of now; they change many times a second. */
export const maxStatementAgeMs = 2000;
/** Maximum number of endpoints that are remembered; the oldest are forgotten first. */
const maxRemembered = 4096;
/** Ages in messages are rounded to steps of this size. */
const ageRoundingMs = 20;
/** Half-life of a stated slowness after the statement has become old. */
const slownessHalfLifeMs = 2000;
export const usualSpeed = 100;
/** Endpoints that have stated speeds within this time are taken to go on doing so. */
const speedsKnownMs = 60_000;
const maxRunning = 100_000;
const maxSpeed = 100_000;

interface KnownStatement extends LoadStatement {
    /** On the local clock. */
    readonly statedMs: number;
}

/** True when the figures of a statement are possible. */
export function isPossible({ running, waiting, slots, speed }: LoadStatement): boolean {
    return [running, waiting, slots, speed ?? 1].every(Number.isInteger)
        && running >= 0 && running <= maxRunning
        && waiting >= 0 && waiting <= maxRunning
        && slots >= 1 && slots <= maxRunning
        && (speed === undefined || (speed >= 1 && speed <= maxSpeed));
}

export class LoadStatements {
    private readonly known = new BoundedMap<EndpointId, KnownStatement>(maxRemembered);
    /** When an endpoint stated its speed last, on the local clock. */
    private speedStatedMs = -Infinity;

    public constructor(private readonly clock: Clock) {}

    /** True while endpoints state their speeds. */
    public get hasSpeeds(): boolean {
        return this.clock.nowMs() - this.speedStatedMs < speedsKnownMs;
    }

    /** Records a statement unless one as new is known, or it is too old. */
    public record(endpoint: EndpointId, { running, waiting, slots, speed }: LoadStatement, ageMs: number): void {
        const statedMs = this.clock.nowMs() - ageMs;
        const knownMs = this.known.get(endpoint)?.statedMs ?? -Infinity;
        // A statement of this host's own comes back in digests, with rounded figures and age.
        const isNewer = ageMs === 0 || statedMs > knownMs + ageRoundingMs;
        if (isNewer && ageMs >= 0 && ageMs <= maxStatementAgeMs) {
            this.known.set(endpoint, { running, waiting, slots, speed, statedMs });
            this.speedStatedMs = speed === undefined ? this.speedStatedMs : Math.max(this.speedStatedMs, statedMs);
        }
    }

    /** The newest statement of an endpoint, unless it is old. */
    public of(endpoint: EndpointId): LoadStatement | undefined {
        const known = this.known.get(endpoint);
        return known === undefined || this.clock.nowMs() - known.statedMs > maxStatementAgeMs ? undefined : known;
    }

    /**
     * Stated duration of work as a multiple of the usual one. After the statement has become old it approaches 1, so
     * that an endpoint that gets no work, and so states nothing, is tried again by degrees.
     */
    public fadingSlowness(endpoint: EndpointId): number | undefined {
        const { speed, statedMs = 0 } = this.known.get(endpoint) ?? {};
        if (speed === undefined) {
            return undefined;
        }
        const oldForMs = Math.max(0, this.clock.nowMs() - statedMs - maxStatementAgeMs);
        return 1 + (speed / usualSpeed - 1) * 0.5 ** (oldForMs / slownessHalfLifeMs);
    }

    /** Statements that are not older than `withinMs`. */
    public recent(withinMs: number): ReadonlyMap<EndpointId, AgedStatement> {
        const nowMs = this.clock.nowMs();
        const recent = new Map<EndpointId, AgedStatement>();
        for (const [endpoint, { statedMs, ...statement }] of this.known) {
            if (nowMs - statedMs <= withinMs) {
                recent.set(endpoint, { ...statement, ageMs: nowMs - statedMs });
            }
        }
        return recent;
    }
}
