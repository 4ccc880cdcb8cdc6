/**
 * The data of one reply on its way to the caller. Counts what the caller has not taken yet, and notices when it takes
 * nothing for longer than a limit. A large body is written in parts, since the operating system reports a write only
 * once it has been taken as a whole, and a slow caller could not be told from one that has stopped reading.
 */
import type { ServerResponse } from "node:http";
import type { Clock, Disposable } from "../common/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import type { EventLog } from "../telemetry/Types.js";
import type { SlowCallerReason } from "./CallerMemory.js";

/** Size of the parts in which a body is written. */
const partBytes = 64 * 1024;

interface CallerOutputOptions {
    readonly res: ServerResponse;
    /** Id of the request. */
    readonly request: string | undefined;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly maxStallMs: () => number;
    /** Makes room for more bytes, which may end this output or another one; false when there is none. */
    readonly makeRoom: (bytes: number) => boolean;
    /** Resolves when there may be more room. */
    readonly roomFreed: () => Promise<void>;
    /** Called with the change whenever the number of bytes that wait has changed. */
    readonly onHeldChange: (change: number) => void;
    readonly onStalled: () => void;
    /** Ends the caller's connection. */
    readonly disconnect: (reason: SlowCallerReason) => void;
}

export class CallerOutput {
    private waiting = 0;
    private takenMs = 0;
    private stallTimer: Disposable | undefined;
    private isClosed = false;

    public constructor(private readonly options: CallerOutputOptions) {
        options.res.once("close", () => this.close());
    }

    public get request(): string | undefined {
        return this.options.request;
    }

    /** Number of bytes that the caller has not taken. */
    public get waitingBytes(): number {
        return this.waiting;
    }

    /** For how long the caller has taken none of the bytes that wait. */
    public get stalledMs(): number {
        return this.waiting === 0 ? 0 : this.options.clock.nowMs() - this.takenMs;
    }

    /** Writes a part of a stream, once there is room for it. Resolves when the connection accepts more data. */
    public async write(bytes: Buffer): Promise<void> {
        const { makeRoom, roomFreed } = this.options;
        while (!this.isClosed && !makeRoom(bytes.length)) {
            await roomFreed();
        }
        this.hold(bytes.length);
        await this.send(bytes);
    }

    /** Writes the whole body of a reply whose head has been written. */
    public writeBody(body: Buffer): void {
        this.hold(body.length);
        inBackground(this.options.log, "send-body", this.sendParts(body));
    }

    /** Disconnects the caller. */
    public end(reason: SlowCallerReason): void {
        this.close();
        this.options.disconnect(reason);
    }

    private async sendParts(body: Buffer): Promise<void> {
        const { res } = this.options;
        let from = 0;
        while (body.length - from > partBytes && !this.isClosed) {
            await this.send(body.subarray(from, from + partBytes));
            from += partBytes;
        }
        if (!this.isClosed) {
            const last = body.subarray(from);
            res.end(last, () => this.recordTaken(last.length));
        }
    }

    private async send(bytes: Buffer): Promise<void> {
        const { res } = this.options;
        if (this.isClosed || res.destroyed || res.write(bytes, () => this.recordTaken(bytes.length))) {
            return;
        }
        await new Promise<void>(resolve => {
            const done = () => {
                res.off("drain", done);
                res.off("close", done);
                resolve();
            };
            res.on("drain", done);
            res.on("close", done);
        });
    }

    private hold(bytes: number): void {
        if (this.isClosed) {
            return;
        }
        if (this.waiting === 0) {
            this.takenMs = this.options.clock.nowMs();
        }
        this.change(bytes);
        this.stallTimer ??= this.startStallTimer();
    }

    private recordTaken(bytes: number): void {
        if (!this.isClosed) {
            this.takenMs = this.options.clock.nowMs();
            this.change(-bytes);
        }
    }

    /** The timer is kept while data comes and goes, so that not every event of a stream needs one. */
    private startStallTimer(): Disposable | undefined {
        const { clock, maxStallMs, onStalled } = this.options;
        const limitMs = maxStallMs();
        if (!Number.isFinite(limitMs)) {
            return undefined;
        }
        return clock.setTimer(Math.max(0, limitMs - this.stalledMs), () => {
            this.stallTimer = undefined;
            if (this.waiting > 0 && this.stalledMs >= limitMs) {
                onStalled();
            }
            else if (this.waiting > 0) {
                this.stallTimer = this.startStallTimer();
            }
        });
    }

    private close(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.stallTimer?.dispose();
            this.change(-this.waiting);
        }
    }

    private change(bytes: number): void {
        this.waiting += bytes;
        this.options.onHeldChange(bytes);
    }
}
