/**
 * Passes the output of the last stage on to the caller, once and in order, whatever becomes of the calls behind it.
 * One attempt at a time is the source; another may take over only where its output continues what was passed on.
 */
import type { OutputListener } from "./Types.js";

/** One call's way into the relay. */
export interface RelaySource {
    onOutput(offset: number, text: string): void;
    /** Lets another source take over. */
    release(): void;
}

export class StreamRelay {
    private text = "";
    private active: RelaySource | undefined;
    private divergedFlag = false;

    public constructor(private readonly listener: OutputListener | undefined) {}

    /** True when somebody listens. */
    public get passesOn(): boolean {
        return this.listener !== undefined;
    }

    /** Characters passed on. */
    public get length(): number {
        return this.text.length;
    }

    /** True when an attempt's output contradicts what was passed on. */
    public get diverged(): boolean {
        return this.divergedFlag;
    }

    /** Opens a way in for one call. */
    public open(): RelaySource {
        const source: RelaySource = {
            onOutput: (offset, text) => this.accept(source, offset, text),
            release: () => {
                this.active = this.active === source ? undefined : this.active;
            },
        };
        return source;
    }

    /** Passes on what is left of the whole output; false when it is not what the caller has been given so far. */
    public finish(output: string): boolean {
        if (this.divergedFlag || !output.startsWith(this.text)) {
            return false;
        }
        this.pass(output.slice(this.text.length));
        return true;
    }

    private accept(source: RelaySource, offset: number, text: string): void {
        this.active ??= source;
        if (this.active !== source || this.divergedFlag || offset > this.text.length) {
            return;
        }
        const known = this.text.slice(offset, offset + text.length);
        if (!text.startsWith(known)) {
            this.divergedFlag = true;
            return;
        }
        this.pass(text.slice(known.length));
    }

    private pass(text: string): void {
        if (text.length > 0) {
            const offset = this.text.length;
            this.text += text;
            this.listener?.onOutput(offset, text);
        }
    }
}
