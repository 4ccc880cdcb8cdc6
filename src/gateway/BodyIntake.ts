/**
 * The bodies of requests that are being read. What they take counts against the memory that is held for all callers, and
 * each has a time by which it must have ended. Where there is no room, bodies that have grown least for longest are given
 * up, those that have grown of late only for requests that run. What has been given up was not run.
 */
import type { Clock, Disposable } from "../common/Types.js";
import type { Metrics } from "../telemetry/Types.js";
import type { CallerMemory, ReadingBytes, YieldingBodies } from "./CallerMemory.js";

/** Why a body is not read on: no room, its time is over, or this host stops before its request could be answered. */
export type GivenUpReason = "memory" | "late" | "stopping";

/** A body that has not grown by this share of its size for {@link minStopMs} counts as one whose caller has stopped. */
const growthShare = 1 / 16;
const minStopMs = 500;
/** A body that begins when a stopping host gives up the others must end within this time. */
const stoppingReadMs = 1000;

interface IncomingBodyOptions {
    readonly bytes: ReadingBytes;
    readonly clock: Clock;
    /** By when the body must have ended, on the local clock. */
    readonly untilMs: number;
    /** Called once the whole body has been read; it gives way to no other any more. */
    readonly onRead: (body: IncomingBody) => void;
    readonly onEnd: (body: IncomingBody, reason: GivenUpReason | undefined) => void;
}

/** One body that is being read, and how it grows. */
export class IncomingBody {
    private readonly timer: Disposable;
    private sizeBytes = 0;
    /** Size at the time of {@link grownMs}. */
    private grownBytes = 0;
    /** When it had last grown by a share of its size, on the local clock. */
    private grownMs: number;
    private hasEnded = false;

    public constructor(private readonly options: IncomingBodyOptions) {
        const { clock, untilMs } = options;
        this.grownMs = clock.nowMs();
        this.timer = clock.setTimer(Math.max(0, untilMs - this.grownMs), () => this.giveUp("late"));
    }

    public get untilMs(): number {
        return this.options.untilMs;
    }

    /** Bytes that would be released if it were given up. */
    public get counted(): number {
        return this.options.bytes.counted;
    }

    /** How long it has not grown by a share of its size. */
    public get stoppedMs(): number {
        return this.options.clock.nowMs() - this.grownMs;
    }

    public get hasStopped(): boolean {
        return this.stoppedMs >= minStopMs;
    }

    /**
     * Records a part.
     * @param heldBytes Bytes that are held for it in addition.
     * @returns false when the body has been given up, also if that was for want of room for this part.
     */
    public grow(partBytes: number, heldBytes: number): boolean {
        this.sizeBytes += partBytes;
        if (this.sizeBytes > this.grownBytes * (1 + growthShare)) {
            this.grownBytes = this.sizeBytes;
            this.grownMs = this.options.clock.nowMs();
        }
        return this.hold(heldBytes);
    }

    /**
     * Ends the reading.
     * @param copyBytes Size of a copy that replaces what is held, or 0.
     * @returns the bytes of the request; undefined when the body has been given up, also if that was for want of room.
     */
    public complete(copyBytes: number): ReadingBytes | undefined {
        const { bytes, onRead } = this.options;
        if (this.hasEnded) {
            return undefined;
        }
        const partsBytes = bytes.counted;
        bytes.settle();
        onRead(this);
        if (!this.hold(copyBytes)) {
            return undefined;
        }
        if (copyBytes > 0) {
            bytes.subtract(partsBytes);
        }
        this.end(undefined);
        return bytes;
    }

    /** Ends the reading of a body whose caller has left, or that is refused for another reason. */
    public abandon(): void {
        if (!this.hasEnded) {
            this.options.bytes.release();
            this.end(undefined);
        }
    }

    public giveUp(reason: GivenUpReason): void {
        if (!this.hasEnded) {
            this.options.bytes.release();
            this.end(reason);
        }
    }

    private hold(bytes: number): boolean {
        if (!this.hasEnded && bytes > 0 && !this.options.bytes.add(bytes)) {
            this.giveUp("memory");
        }
        return !this.hasEnded;
    }

    private end(reason: GivenUpReason | undefined): void {
        this.hasEnded = true;
        this.timer.dispose();
        this.options.onEnd(this, reason);
    }
}

interface BodyIntakeOptions {
    readonly memory: CallerMemory;
    readonly clock: Clock;
    readonly metrics: Metrics;
}

export class BodyIntake implements YieldingBodies {
    private readonly bodies = new Set<IncomingBody>();
    private isStopping = false;

    public constructor(private readonly options: BodyIntakeOptions) {
        options.memory.setBodies(this);
    }

    /** Number of bodies that are being read. */
    public get size(): number {
        return this.bodies.size;
    }

    /** Begins to read a body. `onGivenUp` is called once if it is not read on. */
    public open(untilMs: number, onGivenUp: (reason: GivenUpReason) => void): IncomingBody {
        const { clock, memory, metrics } = this.options;
        const body = new IncomingBody({
            bytes: memory.readingAccount(),
            clock,
            untilMs: this.isStopping ? Math.min(untilMs, clock.nowMs() + stoppingReadMs) : untilMs,
            onRead: read => this.bodies.delete(read),
            onEnd: (ended, reason) => {
                this.bodies.delete(ended);
                if (reason !== undefined) {
                    metrics.count("request_bodies_given_up", { reason });
                    onGivenUp(reason);
                }
            },
        });
        this.bodies.add(body);
        return body;
    }

    /** Gives up bodies whose requests may last longer than this host, on the local clock; later ones get little time. */
    public stop(endMs: number): void {
        this.isStopping = true;
        [...this.bodies].filter(one => one.untilMs > endMs).forEach(one => one.giveUp("stopping"));
    }

    public yieldableBytes(which: "stopped" | "all"): number {
        return this.yielding(which).reduce((sum, one) => sum + one.counted, 0);
    }

    public yieldBytes(which: "stopped" | "all", bytes: number): void {
        let missing = bytes;
        const longestStopped = this.yielding(which).sort((one, other) => other.stoppedMs - one.stoppedMs);
        for (const body of longestStopped) {
            if (missing <= 0) {
                return;
            }
            missing -= body.counted;
            body.giveUp("memory");
        }
    }

    private yielding(which: "stopped" | "all"): IncomingBody[] {
        return [...this.bodies].filter(one => one.counted > 0 && (which === "all" || one.hasStopped));
    }
}
