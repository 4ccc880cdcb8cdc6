/**
 * Takes turns between connections whose bodies come in many small parts. Each part costs time whatever its size, and the
 * system hands over up to 2 MB of one connection at once: a hundred thousand parts. Such a connection is paused after
 * what has been read, and one of them goes on in each turn of the event loop, beside all other work.
 */

/** What is paused; a connection. */
interface Pausable {
    pause(): unknown;
    resume(): unknown;
    on(event: "resume", listener: () => void): unknown;
    off(event: "resume", listener: () => void): unknown;
}

/** A connection may bring so many parts in its turn before it is paused. */
const partsPerTurn = 256;

export class ReadTurns {
    /** Paused connections in the order of their turns, with what keeps each paused. */
    private readonly waiting = new Map<Pausable, () => void>();

    /** @param later Calls back in the next turn of the event loop. */
    public constructor(private readonly later: (callback: () => void) => void) {}

    /** Returns what is called for each part of a connection's body. */
    public counter(connection: Pausable): () => void {
        let parts = 0;
        return () => {
            parts += 1;
            if (parts >= partsPerTurn && !this.waiting.has(connection)) {
                parts = 0;
                // The HTTP server resumes its connection whenever it wants more of a body.
                const keepPaused = () => connection.pause();
                connection.pause();
                connection.on("resume", keepPaused);
                this.waiting.set(connection, keepPaused);
                if (this.waiting.size === 1) {
                    this.later(() => this.resumeNext());
                }
            }
        };
    }

    private resumeNext(): void {
        const [next] = this.waiting;
        if (next !== undefined) {
            const [connection, keepPaused] = next;
            this.waiting.delete(connection);
            connection.off("resume", keepPaused);
            connection.resume();
        }
        if (this.waiting.size > 0) {
            this.later(() => this.resumeNext());
        }
    }
}
