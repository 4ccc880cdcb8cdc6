/**
 * Collects the body of a message from its parts. A part that is kept as it came costs a buffer of its own, which for parts
 * of a few bytes is many times their size; small parts are therefore copied into blocks. A body has a maximum size and a
 * maximum number of tiny parts, each of which costs time whatever its size.
 */

/** Parts below this size are copied. */
const smallBytes = 4096;
const blockBytes = 16 * 1024;
/** A body of a declared size is copied into one buffer once it is larger. */
const largeBytes = 64 * 1024;
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
    private bufferBytes = 0;
    private readonly tiny = new TinyParts();

    /**
     * @param limitBytes Maximum size of the body.
     * @param declaredBytes Size of the body, if it is known. Its buffer is allocated once the body is a large one, so that
     *     it need not be copied in the end.
     */
    public constructor(private readonly limitBytes: number, private readonly declaredBytes?: number) {}

    /** Size of what has been collected. */
    public get bytes(): number {
        return this.totalBytes;
    }

    /** Size of the buffers that hold it. */
    public get heldBytes(): number {
        return this.bufferBytes;
    }

    /** Size of the copy that {@link toBuffer} makes; 0 if it needs none. */
    public get copyBytes(): number {
        return this.buffers.length + (this.filled > 0 ? 1 : 0) > 1 ? this.totalBytes : 0;
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
        if (this.takesWhole()) {
            this.copy(part);
            return undefined;
        }
        // A body that comes in one part is not copied.
        if (part.length >= smallBytes || this.totalBytes === part.length) {
            this.closeBlock();
            this.buffers.push(part);
            this.bufferBytes += part.length;
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

    /** Gives up what has been collected. */
    public clear(): void {
        this.buffers.length = 0;
        this.block = undefined;
        this.filled = 0;
        this.totalBytes = 0;
        this.bufferBytes = 0;
    }

    public toText(): string {
        return this.toBuffer().toString("utf8");
    }

    /** True when parts are copied into one buffer for the whole body, which is allocated here. */
    private takesWhole(): boolean {
        const { declaredBytes } = this;
        if (declaredBytes === undefined || this.totalBytes <= largeBytes || this.totalBytes > declaredBytes) {
            return false;
        }
        if (this.block?.length !== declaredBytes) {
            const earlier = this.buffers.length === 0 && this.block === undefined ? [] : [this.toBuffer()];
            this.buffers.length = 0;
            this.block = Buffer.allocUnsafeSlow(declaredBytes);
            this.bufferBytes = declaredBytes;
            earlier.forEach(one => this.filled += one.copy(this.block!));
        }
        return true;
    }

    private copy(part: Buffer): void {
        let from = 0;
        while (from < part.length) {
            this.block ??= this.newBlock();
            const copied = part.copy(this.block, this.filled, from);
            from += copied;
            this.filled += copied;
            if (this.filled === this.block.length) {
                this.closeBlock();
            }
        }
    }

    private newBlock(): Buffer {
        this.bufferBytes += blockBytes;
        return Buffer.allocUnsafeSlow(blockBytes);
    }

    private closeBlock(): void {
        if (this.block !== undefined) {
            this.buffers.push(this.block.subarray(0, this.filled));
        }
        this.block = undefined;
        this.filled = 0;
    }
}
