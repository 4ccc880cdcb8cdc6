/** Tracks the heartbeats of other hosts' sessions, and how long each has been unchanged on this host's clock. */
import type { Clock } from "../common/Types.js";
import { type HolderHeartbeat, sessionText } from "./Commands.js";

export class HeartbeatTracker {
    private readonly heartbeats = new Map<string, { readonly beat: number; readonly sinceMs: number; }>();

    public constructor(private readonly clock: Clock) {}

    /** Records a heartbeat; returns for how long it has been unchanged on this host's clock, in milliseconds. */
    public record(holder: HolderHeartbeat): number {
        const name = sessionText(holder.session);
        const nowMs = this.clock.nowMs();
        const known = this.heartbeats.get(name);
        if (known?.beat === holder.beat) {
            return nowMs - known.sinceMs;
        }
        this.heartbeats.delete(name);
        this.heartbeats.set(name, { beat: holder.beat, sinceMs: nowMs });
        const oldest = this.heartbeats.keys().next();
        if (this.heartbeats.size > maxTrackedSessions && oldest.done !== true) {
            this.heartbeats.delete(oldest.value);
        }
        return 0;
    }
}

/** Bound on tracked sessions; the one whose heartbeat has been unchanged longest is dropped first. */
const maxTrackedSessions = 1024;
