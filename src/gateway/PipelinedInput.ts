/**
 * Limits how many requests of one connection are read before the earlier ones have been answered. The HTTP parser makes a
 * request of all that it is given, so that it gets the bytes of a connection in parts that end where a request may end,
 * and none while the connection has as many requests as it may. What has been read beyond that is held; the rest stays in
 * the caller's buffers.
 */
import { Socket } from "node:net";

/** End of a request's head, and of a body in chunks. */
const blankLine = Buffer.from("\r\n\r\n");
/** A part is at least this long, if there is as much, so that a body of blank lines is not parsed in tiny parts. */
const minPartBytes = 64;
/** Reading pauses once more is held. A caller that leaves is noticed only while reading goes on. */
const maxHeldBytes = 16 * 1024;

/** What is needed of a connection. */
export type InputSocket = Pick<Socket, "pause" | "resume" | "isPaused" | "destroyed" | "on" | "once">;

export interface InputReader {
    /** Called when bytes have arrived, before they are parsed. */
    received(): void;
    /** Gives bytes to the HTTP parser. */
    parse(bytes: Buffer): void;
    /** Tells the HTTP server that no more bytes come. */
    end(): void;
    /** Called instead when there are bytes that the parser has not got; they are discarded. */
    cutOff(): void;
    /** True while no further request may be read. */
    isFull(): boolean;
}

export class PipelinedInput {
    private held: Buffer[] = [];
    private heldCount = 0;
    private isParsing = false;
    private isParsingLate = false;
    /** True while this class, and not the HTTP server, has paused the connection. */
    private hasPaused = false;
    /** True while the HTTP server reads nothing, since an answer has not been taken. */
    private isServerPaused = false;

    public constructor(private readonly socket: InputSocket, private readonly reader: InputReader) {
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        socket.once("end", () => this.end());
        socket.on("resume", () => this.handleResume());
        socket.once("close", () => this.discard());
    }

    /** Number of bytes that were read and not given to the parser yet. */
    public get heldBytes(): number {
        return this.heldCount;
    }

    /** True while bytes are parsed that had come before the last answer. */
    public get isLate(): boolean {
        return this.isParsingLate;
    }

    /** Goes on reading, if another request may be read now. */
    public continue(): void {
        if (this.isParsing || this.isServerPaused) {
            return;
        }
        this.isParsingLate = true;
        if (this.hasPaused) {
            // Before anything is parsed, so that a pause by the server can be told from this one.
            this.hasPaused = false;
            this.socket.resume();
        }
        this.parseHeld();
        this.isParsingLate = false;
        this.pauseIfNeeded();
    }

    private receive(bytes: Buffer): void {
        this.held.push(bytes);
        this.heldCount += bytes.length;
        this.reader.received();
        if (!this.isParsing && !this.isServerPaused) {
            this.parseHeld();
        }
        this.pauseIfNeeded();
    }

    private end(): void {
        if (this.heldCount === 0) {
            this.reader.end();
            return;
        }
        this.discard();
        this.reader.cutOff();
    }

    private handleResume(): void {
        if (this.socket.isPaused()) {
            // It has been paused again since.
            return;
        }
        // Reading a body resumes the connection as well.
        this.hasPaused = false;
        this.isServerPaused = false;
        if (!this.isParsing) {
            this.parseHeld();
        }
        this.pauseIfNeeded();
    }

    private pauseIfNeeded(): void {
        if (this.heldCount > maxHeldBytes && !this.socket.isPaused() && !this.socket.destroyed) {
            this.hasPaused = true;
            this.socket.pause();
        }
    }

    private parseHeld(): void {
        this.isParsing = true;
        try {
            while (this.heldCount > 0 && !this.isServerPaused && !this.socket.destroyed && !this.reader.isFull()) {
                const wasPaused = this.socket.isPaused();
                this.reader.parse(this.takePart());
                this.isServerPaused = !wasPaused && this.socket.isPaused();
            }
        }
        finally {
            this.isParsing = false;
        }
    }

    /** Takes what is parsed next. It holds the ends of two heads at most, unless they are very short. */
    private takePart(): Buffer {
        const [first = Buffer.alloc(0), ...others] = this.held;
        const at = first.indexOf(blankLine, minPartBytes - blankLine.length);
        const end = at < 0 ? first.length : at + blankLine.length;
        this.held = end === first.length ? others : [first.subarray(end), ...others];
        this.heldCount -= end;
        return first.subarray(0, end);
    }

    private discard(): void {
        this.held = [];
        this.heldCount = 0;
    }
}

type Listener = (this: Socket, ...args: unknown[]) => void;

/** A connection that no server has taken over. */
const plainSocket = new Socket();

/** Takes the listeners of a connection that an HTTP server has added. */
function takeListeners(socket: Socket, event: "data" | "end"): (...args: unknown[]) => void {
    const plain = plainSocket.listeners(event);
    const added = (socket.listeners(event) as Listener[]).filter(one => !plain.includes(one));
    added.forEach(one => socket.off(event, one));
    return (...args) => added.forEach(one => one.apply(socket, args));
}

/** Puts itself between a connection that an HTTP server has taken over and the server's parser. */
export function limitPipelining(socket: Socket, reader: Omit<InputReader, "parse" | "end">): PipelinedInput {
    const parse = takeListeners(socket, "data");
    const end = takeListeners(socket, "end");
    return new PipelinedInput(socket, { ...reader, parse, end });
}
