/**
 * Collects the body of a message from its parts. A part that is kept as it came costs a buffer of its own, which for parts
 * of a few bytes is many times their size; small parts are therefore copied into blocks. A body has a maximum size and a
 * maximum number of tiny parts, each of which costs time whatever its size.
 */

/** Parts below this size are copied. */
const smallBytes = 4096;
const blockBytes = 16 * 1024;
/** Parts below this size count as tiny. A model that sends each token by itself stays below their maximum number. */
const tinyBytes = 16;
/** Maximum number of tiny parts of one body, or of one event of a stream. */
export const maxTinyParts = 32_768;

/** Why a body is not read on. */
export type BodyFault = "too-large" | "too-many-parts";

/** Counts tiny parts. */
export class TinyParts {
    private count = 0;

    /** Counts a part; true when there are too many tiny ones. */
    public add(part: Buffer): boolean {
        this.count += part.length < tinyBytes ? 1 : 0;
        return this.count > maxTinyParts;
    }

    public reset(): void {
        this.count = 0;
    }
}

export class BodyCollector {
    /** Complete blocks and large parts, in order. */
    private readonly buffers: Buffer[] = [];
    /** The block that small parts are copied into, and how much of it is filled. */
    private block: Buffer | undefined;
    private filled = 0;
    private totalBytes = 0;
    private readonly tiny = new TinyParts();

    /** @param limitBytes Maximum size of the body. */
    public constructor(private readonly limitBytes: number) {}

    /** Size of what has been collected. */
    public get bytes(): number {
        return this.totalBytes;
    }

    /** Adds a part, unless it goes beyond a limit; returns which. */
    public add(part: Buffer): BodyFault | undefined {
        if (this.totalBytes + part.length > this.limitBytes) {
            return "too-large";
        }
        if (this.tiny.add(part)) {
            return "too-many-parts";
        }
        this.totalBytes += part.length;
        // A body that comes in one part is not copied.
        if (part.length >= smallBytes || this.totalBytes === part.length) {
            this.closeBlock();
            this.buffers.push(part);
        }
        else {
            this.copy(part);
        }
        return undefined;
    }

    /** The whole body. */
    public toBuffer(): Buffer {
        this.closeBlock();
        const [first] = this.buffers;
        return this.buffers.length === 1 && first !== undefined ? first : Buffer.concat(this.buffers);
    }

    public toText(): string {
        return this.toBuffer().toString("utf8");
    }

    private copy(part: Buffer): void {
        let from = 0;
        while (from < part.length) {
            this.block ??= Buffer.allocUnsafeSlow(blockBytes);
            const copied = part.copy(this.block, this.filled, from);
            from += copied;
            this.filled += copied;
            if (this.filled === blockBytes) {
                this.closeBlock();
            }
        }
    }

    private closeBlock(): void {
        if (this.block !== undefined) {
            this.buffers.push(this.block.subarray(0, this.filled));
        }
        this.block = undefined;
        this.filled = 0;
    }
}
