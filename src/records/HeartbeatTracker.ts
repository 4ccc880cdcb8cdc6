/** Beats of other hosts' sessions as this host has seen them, and for how long they have not changed. */
import type { Clock } from "../common/Types.js";
import { type HolderBeat, sessionText } from "./Commands.js";

export class HeartbeatTracker {
    private readonly beats = new Map<string, { readonly beat: number; readonly sinceMs: number; }>();

    public constructor(private readonly clock: Clock) {}

    /** Notes a beat; gives for how long this host has seen it unchanged, in milliseconds of its own clock. */
    public note(holder: HolderBeat): number {
        const name = sessionText(holder.session);
        const nowMs = this.clock.nowMs();
        const known = this.beats.get(name);
        if (known?.beat === holder.beat) {
            return nowMs - known.sinceMs;
        }
        this.beats.delete(name);
        this.beats.set(name, { beat: holder.beat, sinceMs: nowMs });
        const oldest = this.beats.keys().next();
        if (this.beats.size > watchedSessions && oldest.done !== true) {
            this.beats.delete(oldest.value);
        }
        return 0;
    }
}

/** Sessions whose beats are remembered at most. */
const watchedSessions = 1024;
