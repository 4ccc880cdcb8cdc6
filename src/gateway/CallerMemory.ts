/**
 * Bounds the bytes that this host holds for all callers together: bodies that are being read, requests that are running,
 * replies that are being read completely, and data that callers have not taken yet. Where there is no room, bodies whose
 * callers have stopped are given up, then the caller that has taken nothing for longest is disconnected, if that is long
 * enough, and then other bodies that are being read give way to what runs; else streams wait. A caller that takes nothing
 * for longer than a limit is disconnected in any case, so that its request occupies no endpoint.
 */
import type { ServerResponse } from "node:http";
import type { Clock, Disposable } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { CallerOutput } from "./CallerOutput.js";

export interface CallerMemorySettings {
    /** Maximum number of bytes held for all callers. */
    readonly maxHeldBytes: number;
    /** How long a caller may take none of the data that waits for it. */
    readonly maxStallMs: number;
}

/** Bytes held for one request, other than data that waits for its caller. */
export interface HeldBytes {
    /** Holds more bytes; false when there is no room. */
    add(bytes: number): boolean;
    /** Releases all of them. */
    release(): void;
}

/** Bytes of one body that is being read. */
export interface ReadingBytes extends HeldBytes {
    /** Number of bytes that count against the bound. */
    readonly counted: number;
    /** Releases some of them. */
    subtract(bytes: number): void;
    /** From now on they are those of a request that runs. */
    settle(): void;
}

/** Bodies that are being read, and give way to others where there is no room. */
export interface YieldingBodies {
    /** Number of bytes of those whose callers have stopped, or of all. */
    yieldableBytes(which: "stopped" | "all"): number;
    /** Gives bodies up until so many bytes are released, or none is left. */
    yieldBytes(which: "stopped" | "all", bytes: number): void;
}

interface CallerMemoryOptions {
    /** Returns the settings in force, which may change at any time. */
    readonly settings: () => CallerMemorySettings;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** A caller that has taken data more recently is sound, and is not disconnected for room. */
const minStallMs = 500;

/** Share of the bound that is kept for small bodies and for what runs; large bodies that are being read find no room in it. */
const reservedShare = 0.25;
/** Bodies that are being read are small up to this size. */
export const smallBodyBytes = 64 * 1024;

/** Why a slow caller is disconnected: it takes nothing for too long, or its data takes memory that others need. */
export type SlowCallerReason = "stalled" | "memory";

export class CallerMemory {
    private heldBytes = 0;
    /** Outputs with data that their callers have not taken. */
    private readonly waiting = new Set<CallerOutput>();
    /** Called when bytes are released. */
    private readonly waiters: (() => void)[] = [];
    private wakeTimer: Disposable | undefined;
    private bodies: YieldingBodies | undefined;
    /** The one body that is larger than the room for large ones, if there is any. Its bytes do not count. */
    private oversized: ReadingBytes | undefined;

    public constructor(private readonly options: CallerMemoryOptions) {}

    /** Number of bytes that are held now. */
    public get held(): number {
        return this.heldBytes;
    }

    /** Opens the output of one reply. `disconnect` ends the caller's connection so that the reply looks incomplete. */
    public open(
        res: ServerResponse,
        request: string | undefined,
        disconnect: (reason: SlowCallerReason) => void,
    ): CallerOutput {
        const { clock, log, settings } = this.options;
        const output: CallerOutput = new CallerOutput({
            res,
            request,
            clock,
            log,
            maxStallMs: () => settings().maxStallMs,
            makeRoom: bytes => this.makeRoom(bytes),
            roomFreed: () => new Promise(resolve => this.waiters.push(resolve)),
            onHeldChange: change => this.updateHeld(output, change),
            onStalled: () => this.end(output, "stalled"),
            disconnect,
        });
        return output;
    }

    /** Names the bodies that give way to what runs. */
    public setBodies(bodies: YieldingBodies): void {
        this.bodies = bodies;
    }

    /** Returns an account of bytes held for a request that runs. */
    public account(): HeldBytes {
        const account = this.readingAccount();
        account.settle();
        return account;
    }

    /** Returns an account of bytes of a body that is being read, and of its request then. */
    public readingAccount(): ReadingBytes {
        let total = 0;
        let isReading = true;
        const isOversized = () => this.oversized === account;
        const change = (bytes: number) => {
            total += bytes;
            this.changeHeld(isOversized() ? 0 : bytes);
        };
        const account: ReadingBytes = {
            get counted() {
                return isOversized() ? 0 : total;
            },
            add: bytes => {
                if (isReading && !isOversized() && this.isOversized(total + bytes)) {
                    this.changeHeld(-total);
                    this.oversized = account;
                }
                const hasRoom = isOversized() || (isReading
                    ? this.makeRoomToRead(bytes, total + bytes <= smallBodyBytes)
                    : this.makeRoom(bytes));
                if (hasRoom) {
                    change(bytes);
                }
                return hasRoom;
            },
            subtract: bytes => change(-bytes),
            settle: () => isReading = false,
            release: () => {
                change(-total);
                this.oversized = isOversized() ? undefined : this.oversized;
            },
        };
        return account;
    }

    /**
     * True for a body that would find no room even if nothing else were held. One of them at a time is read, so that a
     * request within the limits on callers is served where the bound is lower than these.
     */
    private isOversized(bytes: number): boolean {
        const { maxHeldBytes } = this.options.settings();
        return this.oversized === undefined && bytes > maxHeldBytes * (1 - reservedShare);
    }

    /** Gives up bodies whose callers have stopped until there is room for more of another; false if there is none. */
    private makeRoomToRead(bytes: number, isSmall: boolean): boolean {
        const { maxHeldBytes } = this.options.settings();
        const boundBytes = isSmall ? maxHeldBytes : maxHeldBytes * (1 - reservedShare);
        const missing = this.heldBytes + bytes - boundBytes;
        if (missing > 0 && missing <= (this.bodies?.yieldableBytes("stopped") ?? 0)) {
            this.bodies?.yieldBytes("stopped", missing);
        }
        return this.heldBytes + bytes <= boundBytes;
    }

    /** Gives up bodies and disconnects callers until there is room for more bytes; false when that was not enough. */
    private makeRoom(bytes: number): boolean {
        const { maxHeldBytes } = this.options.settings();
        const missing = () => this.heldBytes + bytes - maxHeldBytes;
        if (missing() <= 0) {
            return true;
        }
        const stalled = [...this.waiting].filter(one => one.stalledMs >= minStallMs);
        const stalledBytes = stalled.reduce((sum, one) => sum + one.waitingBytes, 0);
        if (missing() > stalledBytes + (this.bodies?.yieldableBytes("all") ?? 0)) {
            // Disconnecting callers would not be enough, but others may have stalled by then.
            this.wakeTimer ??= this.options.clock.setTimer(minStallMs, () => this.wake());
            return false;
        }
        this.bodies?.yieldBytes("stopped", missing());
        stalled.sort((one, other) => other.stalledMs - one.stalledMs);
        for (const output of stalled) {
            if (missing() <= 0) {
                break;
            }
            this.end(output, "memory");
        }
        this.bodies?.yieldBytes("all", missing());
        return missing() <= 0;
    }

    /** Lets all that wait for room try again. */
    private wake(): void {
        this.wakeTimer?.dispose();
        this.wakeTimer = undefined;
        this.waiters.splice(0).forEach(resolve => resolve());
    }

    private end(output: CallerOutput, reason: SlowCallerReason): void {
        const { log, metrics } = this.options;
        metrics.count("slow_callers_disconnected", { reason });
        log.event(EventId.SlowCallerDisconnected, {
            request: output.request,
            reason,
            waitingBytes: output.waitingBytes,
            stalledMs: Math.round(output.stalledMs),
            heldBytes: this.heldBytes,
        });
        output.end(reason);
    }

    private updateHeld(output: CallerOutput, change: number): void {
        this.changeHeld(change);
        if (output.waitingBytes > 0) {
            this.waiting.add(output);
        }
        else {
            this.waiting.delete(output);
        }
    }

    private changeHeld(change: number): void {
        this.heldBytes += change;
        if (change <= 0) {
            this.wake();
        }
        this.options.metrics.gauge("caller_held_bytes", this.heldBytes);
    }
}
