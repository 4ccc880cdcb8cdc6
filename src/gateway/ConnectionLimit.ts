/**
 * Decides which connections of callers are closed when there are more than this process has descriptors for. A connection
 * whose request runs counts twice, as an endpoint's connection goes with it, and is never closed. The others go in this
 * order: those that stay silent after they were opened, those that are idle after a request, those whose request has been
 * incomplete for longest, and new ones that have had no time to send a request yet.
 */
import type { Clock } from "../common/Types.js";

/**
 * "silent": no byte has come yet. "idle": between two requests. "reading": a part of a request has come. "running": a
 * request was read whole and has no complete answer yet.
 */
export type ConnectionState = "silent" | "idle" | "reading" | "running";

/** A new connection has this long for its first request before it goes ahead of all others. */
const newMs = 1000;
/** Beyond this share of the limit, silent connections go first, new ones too. */
const silentShare = 0.25;
/** Connections to endpoints may stay open for this long after the requests for which they were made. */
const endpointIdleMs = 4000;

interface Entry {
    readonly state: ConnectionState;
    readonly sinceMs: number;
}

export class ConnectionLimit<T> {
    /** Connections of each state, those that have been in it for longest first. */
    private readonly groups: Readonly<Record<ConnectionState, Map<T, Entry>>> = {
        silent: new Map(),
        idle: new Map(),
        reading: new Map(),
        running: new Map(),
    };
    private readonly states = new Map<T, ConnectionState>();
    /** Most running requests in this and the last period of {@link endpointIdleMs}. */
    private peaks = { fromMs: -Infinity, current: 0, last: 0 };

    public constructor(private readonly clock: Clock, private readonly maxDescriptors: number) {}

    public get size(): number {
        return this.states.size;
    }

    /** Records the state of a connection, and since when it has it. */
    public place(connection: T, state: ConnectionState): void {
        const before = this.states.get(connection);
        if (before === state) {
            return;
        }
        if (before !== undefined) {
            this.groups[before].delete(connection);
        }
        this.states.set(connection, state);
        this.groups[state].set(connection, { state, sinceMs: this.clock.nowMs() });
        this.updatePeaks();
    }

    public remove(connection: T): void {
        const state = this.states.get(connection);
        if (state !== undefined) {
            this.groups[state].delete(connection);
            this.states.delete(connection);
        }
    }

    /** Removes the connections that must be closed for the others to fit, and returns them with their states. */
    public takeExcess(): readonly { readonly connection: T; readonly state: ConnectionState; }[] {
        const excess: { readonly connection: T; readonly state: ConnectionState; }[] = [];
        this.updatePeaks();
        const { current, last } = this.peaks;
        while (this.states.size + Math.max(current, last) > this.maxDescriptors) {
            const first = this.first();
            if (first === undefined) {
                break;
            }
            this.remove(first.connection);
            excess.push(first);
        }
        return excess;
    }

    private first(): { readonly connection: T; readonly state: ConnectionState; } | undefined {
        const { silent } = this.groups;
        const [oldest] = silent.values();
        const silentGoesFirst = oldest !== undefined
            && (silent.size > this.maxDescriptors * silentShare || this.clock.nowMs() - oldest.sinceMs >= newMs);
        const order: readonly ConnectionState[] = silentGoesFirst
            ? ["silent", "idle", "reading"]
            : ["idle", "reading", "silent"];
        for (const state of order) {
            for (const connection of this.groups[state].keys()) {
                return { connection, state };
            }
        }
        return undefined;
    }

    private updatePeaks(): void {
        const nowMs = this.clock.nowMs();
        const running = this.groups.running.size;
        const { fromMs, current } = this.peaks;
        const passedMs = nowMs - fromMs;
        if (passedMs >= endpointIdleMs) {
            this.peaks = { fromMs: nowMs, current: running, last: passedMs < 2 * endpointIdleMs ? current : running };
        }
        else {
            this.peaks.current = Math.max(current, running);
        }
    }
}
