/**
 * The way of one attempt's stream to the caller. Nothing reaches the caller unless the attempt has won its race. The
 * head of a stream that may still lose is held back until the first event, so that head and events are of one attempt.
 *
 * An attempt that goes on with a stream must bring what continues it: events with ids, the last of which the caller then
 * has. What else it sends as a success may be an error, and a stream that ends with it would look complete.
 */
import type { Contender } from "./AttemptRace.js";
import type { CallerReply } from "./CallerReply.js";
import type { RelayedEvent } from "./EventSplitter.js";
import type { ReplyHead } from "./Types.js";

export class AttemptReply {
    private head: ReplyHead | undefined;
    /** True when the caller has events of an earlier attempt. */
    private continues = false;
    /** Whether this attempt has brought an event, and the id of its last one. */
    private hasEvents = false;
    private lastEvent: string | undefined;

    public constructor(
        private readonly caller: CallerReply,
        private readonly contender: Contender,
        private readonly holdsHead: boolean,
    ) {}

    /** False when the caller can get a reply as a whole only. */
    public get takesStreams(): boolean {
        return this.caller.takesStreams;
    }

    /** Begins the stream, or keeps its head until the first event. */
    public beginStream(head: ReplyHead): void {
        this.head = head;
        this.continues = this.caller.events > 0;
        if (!this.holdsHead) {
            this.passHead();
        }
    }

    /** Passes an event on. Resolves when the caller's connection accepts more data. */
    public async writeEvent(event: RelayedEvent): Promise<void> {
        this.hasEvents ||= !event.isComment;
        this.lastEvent = event.id ?? this.lastEvent;
        if (this.passHead()) {
            await this.caller.writeEvent(event);
        }
    }

    /** Why an event can't be part of the stream; undefined when it can. */
    public eventFault({ id, isComment }: RelayedEvent): string | undefined {
        return this.continues && !isComment && !(isNumber(id) && isNumber(this.caller.lastEvent))
            ? "an event does not continue the stream"
            : undefined;
    }

    /** Why the attempt's end can't be the end of the stream, with `remainder` after its last event. */
    public endFault({ isFramed }: ReplyHead, remainder: Buffer): string | undefined {
        if (!this.hasEvents && remainder.length === 0 && this.contender.hasRival) {
            return "the stream ended without an event while another attempt is running";
        }
        if (!isFramed && remainder.length > 0) {
            return "the stream ended inside an event";
        }
        if (this.continues && (remainder.length > 0 || this.lastEvent !== this.caller.lastEvent)) {
            return "the reply does not continue the stream to its end";
        }
        return undefined;
    }

    /** Ends a stream as complete; `remainder` holds the bytes after the last complete event. */
    public async endStream(remainder: Buffer): Promise<void> {
        if (this.passHead()) {
            await this.caller.endStream(remainder);
        }
    }

    /** Passes the head on unless that has been done; false when another attempt has won. */
    private passHead(): boolean {
        if (!this.contender.claim()) {
            return false;
        }
        if (this.head !== undefined) {
            this.caller.beginStream(this.head);
        }
        return true;
    }
}

function isNumber(id: string | undefined): boolean {
    return id !== undefined && id !== "" && Number.isFinite(Number(id));
}
