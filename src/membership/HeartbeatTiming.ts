/**
 * Pace of heartbeats in a data centre. Each host exchanges heartbeats with each other one, so that their number for a
 * host grows with the hosts; in a large data centre they are sent less often, and silence is judged later.
 */
import type { TimingSettings } from "../config/Schema.js";

/** Peers up to which heartbeats go at the configured pace. */
const peersAtFullPace = 8;

export interface HeartbeatTiming {
    /** Between two heartbeats to the same peer, in milliseconds. */
    readonly heartbeatMs: number;
    /** Silence after which a host counts as unreachable, in milliseconds. */
    readonly unreachableMs: number;
}

/** @param hosts configured hosts of the data centre. */
export function heartbeatTimingFor(
    timing: Pick<TimingSettings, "heartbeatMs" | "unreachableMs">,
    hosts: number,
): HeartbeatTiming {
    const stretch = Math.max(1, Math.ceil((hosts - 1) / peersAtFullPace));
    return { heartbeatMs: timing.heartbeatMs * stretch, unreachableMs: timing.unreachableMs * stretch };
}
