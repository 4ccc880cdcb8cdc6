/** Splits a byte stream into complete server-sent events with their ids, and buffers an incomplete one. */
import { TinyParts } from "../common/BodyCollector.js";

export interface RelayedEvent {
    /** The event as received, including the blank line that ends it. */
    readonly bytes: Buffer;
    readonly id: string | undefined;
    /** True when it has comments only, and so no part of the stream's content. */
    readonly isComment: boolean;
}

const lfSeparator = "\n\n";
const crlfSeparator = "\r\n\r\n";
/** Initial room for an event that comes in several parts. */
const minStoreBytes = 1024;
const idLine = /^id:[ ]?(.*?)\r?$/m;
const contentLine = /^[^:\r\n]/m;

export class EventSplitter {
    /** The bytes after the last complete event, at the start of `store` where that has been allocated. */
    private buffered: Buffer = Buffer.alloc(0);
    /** A buffer with room for more bytes; undefined while `buffered` is a part of a chunk. */
    private store: Buffer | undefined;
    /** Number of bytes of `buffered` that hold no end of an event. */
    private searched = 0;
    private readonly tiny = new TinyParts();
    private isTooFine = false;

    /** Bytes after the last complete event. */
    public get remainder(): Buffer {
        return this.buffered;
    }

    /** True when an event comes in more tiny parts than one may. */
    public get hasTooManyParts(): boolean {
        return this.isTooFine;
    }

    /** Adds a chunk; returns the events that it completes. */
    public push(chunk: Buffer): RelayedEvent[] {
        this.append(chunk);
        this.isTooFine = this.tiny.add(chunk);
        const separators = [new NextIndex(this.buffered, lfSeparator), new NextIndex(this.buffered, crlfSeparator)];
        const events: RelayedEvent[] = [];
        let begin = 0;
        for (;;) {
            const from = Math.max(begin, this.searched);
            const end = Math.min(...separators.map(one => one.endAfter(from)));
            if (end === Infinity) {
                break;
            }
            const bytes = this.buffered.subarray(begin, end);
            const text = bytes.toString("utf8");
            events.push({ bytes, id: idLine.exec(text)?.[1], isComment: !contentLine.test(text) });
            begin = end;
        }
        if (begin > 0) {
            this.buffered = this.buffered.subarray(begin);
            this.store = undefined;
            this.tiny.reset();
        }
        this.searched = Math.max(0, this.buffered.length - crlfSeparator.length + 1);
        return events;
    }

    /** Appends a chunk without copying all bytes each time. */
    private append(chunk: Buffer): void {
        const heldBytes = this.buffered.length;
        if (heldBytes === 0) {
            this.buffered = chunk;
            this.store = undefined;
            return;
        }
        const neededBytes = heldBytes + chunk.length;
        if (this.store === undefined || this.store.length < neededBytes) {
            this.store = Buffer.allocUnsafeSlow(Math.max(minStoreBytes, neededBytes * 2));
            this.buffered.copy(this.store);
        }
        chunk.copy(this.store, heldBytes);
        this.buffered = this.store.subarray(0, neededBytes);
    }
}

/** Finds a separator again and again, further on each time, without searching any bytes twice. */
class NextIndex {
    private index = -1;

    public constructor(private readonly bytes: Buffer, private readonly separator: string) {}

    /** Where the first separator ends that begins at `from` or later; Infinity when there is none. */
    public endAfter(from: number): number {
        if (this.index < from) {
            const found = this.bytes.indexOf(this.separator, from);
            this.index = found < 0 ? Infinity : found;
        }
        return this.index + this.separator.length;
    }
}
