/**
 * Bounds the bytes of all messages that a server holds at the same time, from their first byte until they have been
 * handled. Small messages are read at once. The rest of a larger one is read in its turn, a few at the same time, and
 * those whose turn has not come are not read on. While others wait, a sender that makes little progress in its turn is
 * given up, and so is one that has waited too long: neither can keep the others from theirs.
 */
import type { Clock, Disposable } from "./Types.js";

export interface LargeBodyLimits {
    /** Number of large messages that are read or handled at the same time. */
    readonly maxAtOnce: number;
    /** Messages of up to this size need no turn. */
    readonly smallBytes: number;
    /** Maximum number of bytes of all messages that have no turn. */
    readonly maxSmallBytes: number;
}

/** The connection on which a message comes. */
export interface BodySource {
    /** Stops reading; what the sender has sent beyond that stays with the system and slows the sender down. */
    pause(): void;
    resume(): void;
    /** Ends a message that is not complete; called once, and not after it was closed. */
    giveUp(): void;
}

/** A sender in its turn that sends less than {@link minBytes} in this time is given up while others wait. */
const checkIntervalMs = 500;
const minBytes = 64 * 1024;
/** How long a message waits for its turn. */
const maxWaitMs = 5000;

/** A message that is being read or handled. */
export class HeldMessage implements Disposable {
    public bytes = 0;
    public isComplete = false;
    public hasTurn = false;
    /** Bytes when its progress was last checked, and the time. */
    public checkedBytes = 0;
    public checkedMs = 0;
    /** When it began to wait for its turn; undefined while it does not. */
    public waitsSinceMs: number | undefined;

    public constructor(public readonly source: BodySource, private readonly bodies: LargeBodies) {}

    /** Counts bytes that have been read. */
    public add(bytes: number): void {
        this.bytes += bytes;
        this.bodies.onRead(this, bytes);
    }

    /** Records that the whole message has been read; it is held until it is disposed of. */
    public complete(): void {
        this.isComplete = true;
    }

    public dispose(): void {
        this.bodies.remove(this);
    }
}

export class LargeBodies {
    private readonly open = new Set<HeldMessage>();
    /** In the order in which they began to wait. */
    private readonly waiting = new Set<HeldMessage>();
    private turns = 0;
    private smallBytes = 0;
    private timer: Disposable | undefined;

    public constructor(
        private readonly limits: LargeBodyLimits,
        private readonly clock: Clock,
        /** Called with each message that is given up. */
        private readonly onGiveUp: () => void = () => undefined,
    ) {}

    /** Number of bytes that are held now. */
    public get heldBytes(): number {
        return [...this.open].reduce((sum, { bytes }) => sum + bytes, 0);
    }

    public begin(source: BodySource): HeldMessage {
        const body = new HeldMessage(source, this);
        this.open.add(body);
        return body;
    }

    /** Called by a message that has been read on. */
    public onRead(body: HeldMessage, bytes: number): void {
        if (!this.open.has(body) || body.hasTurn) {
            return;
        }
        this.smallBytes += bytes;
        if (body.bytes > this.limits.smallBytes && body.waitsSinceMs === undefined) {
            body.waitsSinceMs = this.clock.nowMs();
            this.waiting.add(body);
            this.giveTurns();
            if (!body.hasTurn) {
                body.source.pause();
            }
        }
        if (this.smallBytes > this.limits.maxSmallBytes) {
            this.makeRoom(body);
        }
    }

    /** Called by a message that is no longer held. */
    public remove(body: HeldMessage): void {
        if (!this.open.delete(body)) {
            return;
        }
        if (this.waiting.delete(body)) {
            body.source.resume();
        }
        if (body.hasTurn) {
            this.turns -= 1;
            this.giveTurns();
        }
        else {
            this.smallBytes -= body.bytes;
        }
    }

    private giveTurns(): void {
        for (const body of this.waiting) {
            if (this.turns >= this.limits.maxAtOnce) {
                break;
            }
            this.waiting.delete(body);
            this.turns += 1;
            this.smallBytes -= body.bytes;
            body.hasTurn = true;
            body.checkedBytes = body.bytes;
            body.checkedMs = this.clock.nowMs();
            body.source.resume();
        }
        if (this.waiting.size > 0) {
            this.timer ??= this.clock.setTimer(checkIntervalMs, () => this.check());
        }
    }

    /** Gives up messages without a turn: those that wait for one first, then those that have been open for longest. */
    private makeRoom(reading: HeldMessage): void {
        const incomplete = [...this.open].filter(one => !one.hasTurn && !one.isComplete && one !== reading);
        const candidates = [...this.waiting, ...incomplete.filter(one => !this.waiting.has(one)), reading];
        for (const body of candidates) {
            if (this.smallBytes <= this.limits.maxSmallBytes) {
                return;
            }
            this.giveUp(body);
        }
    }

    private check(): void {
        this.timer = undefined;
        const nowMs = this.clock.nowMs();
        const late = [...this.waiting].filter(({ waitsSinceMs = nowMs }) => nowMs - waitsSinceMs >= maxWaitMs);
        const slow: HeldMessage[] = [];
        for (const body of this.open) {
            if (body.hasTurn && !body.isComplete && nowMs - body.checkedMs >= checkIntervalMs) {
                if (body.bytes - body.checkedBytes < minBytes) {
                    slow.push(body);
                }
                body.checkedBytes = body.bytes;
                body.checkedMs = nowMs;
            }
        }
        [...late, ...slow].forEach(one => this.giveUp(one));
        this.giveTurns();
    }

    private giveUp(body: HeldMessage): void {
        if (this.open.has(body)) {
            this.remove(body);
            body.source.giveUp();
            this.onGiveUp();
        }
    }
}
