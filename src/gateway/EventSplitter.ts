/** Splits the bytes of a stream into whole server-sent events, each with its id, and keeps what is not whole yet. */

export interface RelayedEvent {
    /** The event as it came, with the blank line that ends it. */
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const lineEnd = "\n\n";
const lineEndWithReturn = "\r\n\r\n";
const idLine = /^id:[ ]?(.*?)\r?$/m;

export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** What came after the last whole event. */
    public get remainder(): Buffer {
        return this.rest;
    }

    public push(chunk: Buffer): RelayedEvent[] {
        this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: RelayedEvent[] = [];
        for (let end = this.eventEnd(); end > 0; end = this.eventEnd()) {
            const bytes = this.rest.subarray(0, end);
            this.rest = this.rest.subarray(end);
            events.push({ bytes, id: idLine.exec(bytes.toString("utf8"))?.[1] });
        }
        return events;
    }

    /** Length of the first whole event; 0 when there is none. */
    private eventEnd(): number {
        const plain = this.rest.indexOf(lineEnd);
        const withReturn = this.rest.indexOf(lineEndWithReturn);
        if (withReturn >= 0 && (plain < 0 || withReturn < plain)) {
            return withReturn + lineEndWithReturn.length;
        }
        return plain < 0 ? 0 : plain + lineEnd.length;
    }
}
