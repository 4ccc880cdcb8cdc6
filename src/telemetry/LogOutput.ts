/**
 * Output of log lines to standard output. Lines are collected for a short time and written together, since each write
 * costs several system calls and a wake-up of another thread. Writing never blocks: while the reader is slow, lines
 * stay in a bounded buffer, and further ones are dropped and counted.
 */
import { Either } from "purify-ts";
import sonicBoom from "sonic-boom";
import type { Clock, Disposable } from "../common/Types.js";
import type { LineSink } from "./JsonEventLog.js";
import type { LogPressure } from "./LogSampler.js";

/** Lines are written when this many bytes are collected, or after this time. */
const writeBytes = 8 * 1024;
const maxDelayMs = 100;
/**
 * Time limit for writing the last lines before the process ends. A reader on a busy machine pauses for some tenths of a
 * second; the time has to fit into what a planned stop leaves of the grace period.
 */
const closeTimeoutMs = 700;

/** Error codes of a write to a pipe that takes no more at the moment. */
const fullPipeCodes: readonly string[] = ["EAGAIN", "EBUSY"];

interface LogOutputOptions {
    /** File descriptor to which lines are written. */
    readonly fd: number;
    /** Size of the buffer; further lines are dropped. */
    readonly maxBufferedBytes: number;
    readonly clock: Clock;
}

export class LogOutput {
    private readonly out: sonicBoom.SonicBoom;
    private dropped = 0;
    private bufferedBytes = 0;
    private flushTimer: Disposable | undefined;
    private isClosing = false;
    /** True after a write has failed for another reason than a full pipe, as after the reader has gone away. */
    private hasFailed = false;

    public constructor(private readonly options: LogOutputOptions) {
        const { fd, maxBufferedBytes: maxLength } = options;
        // The library tries a full pipe again only after 100 ms; on closing, the next flush does.
        const retryEAGAIN = () => !this.isClosing;
        this.out = new sonicBoom.SonicBoom({ fd, sync: false, minLength: writeBytes, maxLength, retryEAGAIN });
        this.out.on("drop", (text: string) => {
            this.dropped += 1;
            this.bufferedBytes -= Buffer.byteLength(text);
        });
        this.out.on("write", (bytes: number) => this.bufferedBytes -= bytes);
        // The lines stay in the buffer, and are dropped and counted once it is full.
        this.out.on(
            "error",
            (err: NodeJS.ErrnoException) => this.hasFailed ||= !fullPipeCodes.includes(err.code ?? ""),
        );
    }

    /** Adds a line, without its line terminator. */
    public readonly sink: LineSink = line => {
        const text = `${line}\n`;
        this.bufferedBytes += Buffer.byteLength(text);
        this.out.write(text);
        this.flushTimer ??= this.options.clock.setTimer(maxDelayMs, () => {
            this.flushTimer = undefined;
            this.flush();
        });
    };

    public readonly pressure: LogPressure = {
        fill: () => this.bufferedBytes / this.options.maxBufferedBytes,
        droppedLines: () => this.dropped,
    };

    /** Writes the remaining lines; resolves once they are written, or after a time limit when nobody reads them. */
    public async close(): Promise<void> {
        const { clock } = this.options;
        const untilMs = clock.nowMs() + closeTimeoutMs;
        this.isClosing = true;
        this.flush();
        while (this.bufferedBytes > 0 && !this.hasFailed && clock.nowMs() < untilMs) {
            await clock.sleep(1);
            this.flush();
        }
    }

    /** Writes the remaining lines, as far as the reader takes them at once. */
    public closeNow(): void {
        this.isClosing = true;
        // A failed write leaves nothing to be done, as the process ends.
        Either.encase(() => this.out.flushSync());
    }

    private flush(): void {
        if (this.bufferedBytes > 0) {
            this.out.flush();
        }
    }
}
