/**
 * Bounds the bytes that this host holds for all callers together: requests that are running, replies that are being
 * read completely, and data that callers have not taken yet. Where there is no room, the caller that has taken nothing
 * for longest is disconnected, if that is long enough; else streams wait. A caller that takes nothing for longer than a
 * limit is disconnected in any case, so that its request occupies no endpoint.
 */
import type { ServerResponse } from "node:http";
import { invariant } from "../common/Invariant.js";
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

interface CallerMemoryOptions {
    /** Returns the settings in force, which may change at any time. */
    readonly settings: () => CallerMemorySettings;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** A caller that has taken data more recently is sound, and is not disconnected for room. */
const minStallMs = 500;

/** Bodies are small up to this size. */
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

    /** Returns an account of bytes held for a request. */
    public account(): HeldBytes {
        let total = 0;
        return {
            add: bytes => {
                if (!this.makeRoom(bytes)) {
                    return false;
                }
                total += bytes;
                this.changeHeld(bytes);
                return true;
            },
            release: () => {
                this.changeHeld(-total);
                total = 0;
            },
        };
    }

    /** Disconnects callers until there is room for more bytes; false when that was not enough. */
    private makeRoom(bytes: number): boolean {
        const { maxHeldBytes } = this.options.settings();
        if (this.heldBytes + bytes <= maxHeldBytes) {
            return true;
        }
        const stalled = [...this.waiting].filter(one => one.stalledMs >= minStallMs);
        const stalledBytes = stalled.reduce((sum, one) => sum + one.waitingBytes, 0);
        if (this.heldBytes - stalledBytes + bytes > maxHeldBytes) {
            // Disconnecting callers would not be enough, but others may have stalled by then.
            this.wakeTimer ??= this.options.clock.setTimer(minStallMs, () => this.wake());
            return false;
        }
        stalled.sort((one, other) => other.stalledMs - one.stalledMs);
        while (this.heldBytes + bytes > maxHeldBytes) {
            const first = stalled.shift();
            invariant(first !== undefined, "data that waits belongs to an output", { held: this.heldBytes });
            this.end(first, "memory");
        }
        return true;
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
