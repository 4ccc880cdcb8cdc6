/**
 * Forwards the output of the last stage to the caller, exactly once and in order, across retried and hedged calls.
 * One call at a time is the active source; another takes over only once all its output, as far as the caller has that,
 * matches what was forwarded.
 */
import type { OutputListener } from "./Types.js";

/** The input side of the relay for one call. */
export interface RelaySource {
    onOutput(offset: number, text: string): void;
    /** Ends this source, so that another may become active. */
    release(): void;
}

/** Output of a source that has not caught up with what was forwarded, without gaps; undefined once it has. */
interface SourceOutput {
    pending: { readonly offset: number; text: string; } | undefined;
    isJoined: boolean;
}

export class StreamRelay {
    private forwarded = "";
    private active: RelaySource | undefined;
    private hasDiverged = false;

    public constructor(private readonly listener: OutputListener | undefined) {}

    /** True when a listener is attached. */
    public get hasListener(): boolean {
        return this.listener !== undefined;
    }

    /** Number of characters forwarded. */
    public get length(): number {
        return this.forwarded.length;
    }

    /** True when a source's output differs from what was forwarded. */
    public get diverged(): boolean {
        return this.hasDiverged;
    }

    /** Creates a source for one call. */
    public open(): RelaySource {
        const output: SourceOutput = { pending: undefined, isJoined: false };
        const source: RelaySource = {
            onOutput: (offset, text) => this.accept(source, output, offset, text),
            release: () => {
                this.active = this.active === source ? undefined : this.active;
            },
        };
        return source;
    }

    /** Forwards the rest of the complete output; false when the output does not start with what was forwarded. */
    public finish(output: string): boolean {
        if (this.hasDiverged || !output.startsWith(this.forwarded)) {
            return false;
        }
        this.forward(output.slice(this.forwarded.length));
        return true;
    }

    private accept(source: RelaySource, output: SourceOutput, offset: number, text: string): void {
        this.active ??= source;
        if (output.isJoined) {
            if (this.active === source) {
                this.forwardNew(offset, text);
            }
            return;
        }
        output.pending ??= { offset, text: "" };
        const { pending } = output;
        const known = offset - pending.offset;
        if (known >= 0 && known <= pending.text.length && known + text.length > pending.text.length) {
            pending.text = pending.text.slice(0, known) + text;
        }
        const missing = this.forwarded.length - pending.offset;
        const isComparable = missing > 0 || this.forwarded.length === 0;
        if (this.active !== source || !isComparable) {
            return;
        }
        if (pending.text.length >= missing) {
            output.isJoined = true;
            output.pending = undefined;
        }
        this.forwardNew(pending.offset, pending.text);
    }

    /** Forwards what the caller does not have, if the rest matches what it has. */
    private forwardNew(offset: number, text: string): void {
        if (this.hasDiverged || offset > this.forwarded.length) {
            return;
        }
        const overlap = this.forwarded.slice(offset, offset + text.length);
        if (!text.startsWith(overlap)) {
            this.hasDiverged = true;
            return;
        }
        this.forward(text.slice(overlap.length));
    }

    private forward(text: string): void {
        if (text.length > 0) {
            const offset = this.forwarded.length;
            this.forwarded += text;
            this.listener?.onOutput(offset, text);
        }
    }
}
