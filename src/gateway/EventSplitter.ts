/** Splits a byte stream into complete server-sent events with their ids, and buffers an incomplete one. */

export interface RelayedEvent {
    /** The event as received, including the blank line that ends it. */
    readonly bytes: Buffer;
    readonly id: string | undefined;
    /** True when it has comments only, and so no part of the stream's content. */
    readonly isComment: boolean;
}

const lfSeparator = "\n\n";
const crlfSeparator = "\r\n\r\n";
const idLine = /^id:[ ]?(.*?)\r?$/m;
const contentLine = /^[^:\r\n]/m;

export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);

    /** Bytes after the last complete event. */
    public get remainder(): Buffer {
        return this.buffered;
    }

    /** Adds a chunk; returns the events that it completes. */
    public push(chunk: Buffer): RelayedEvent[] {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: RelayedEvent[] = [];
        for (let end = this.eventEnd(); end > 0; end = this.eventEnd()) {
            const bytes = this.buffered.subarray(0, end);
            this.buffered = this.buffered.subarray(end);
            const text = bytes.toString("utf8");
            events.push({ bytes, id: idLine.exec(text)?.[1], isComment: !contentLine.test(text) });
        }
        return events;
    }

    /** Length of the first complete event; 0 when there is none. */
    private eventEnd(): number {
        const lfIndex = this.buffered.indexOf(lfSeparator);
        const crlfIndex = this.buffered.indexOf(crlfSeparator);
        if (crlfIndex >= 0 && (lfIndex < 0 || crlfIndex < lfIndex)) {
            return crlfIndex + crlfSeparator.length;
        }
        return lfIndex < 0 ? 0 : lfIndex + lfSeparator.length;
    }
}
