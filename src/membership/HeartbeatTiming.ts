/**
 * Heartbeat timing of a data centre. Each host exchanges heartbeats with every other host, so that a host's load grows
 * with the number of hosts. In a large data centre, heartbeats are sent less often and silence is tolerated longer.
 */
import type { TimingSettings } from "../config/Schema.js";

/** Number of peers up to which heartbeats are sent at the configured interval. */
const peersAtConfiguredInterval = 8;

export interface HeartbeatTiming {
    /** Interval between two heartbeats to the same peer, in milliseconds. */
    readonly heartbeatMs: number;
    /** Time without an answered heartbeat after which a host counts as unreachable, in milliseconds. */
    readonly unreachableMs: number;
}

/**
 * Scales the configured timing with the size of a data centre.
 * @param hosts number of configured hosts of the data centre.
 */
export function heartbeatTimingFor(
    timing: Pick<TimingSettings, "heartbeatMs" | "unreachableMs">,
    hosts: number,
): HeartbeatTiming {
    const factor = Math.max(1, Math.ceil((hosts - 1) / peersAtConfiguredInterval));
    return { heartbeatMs: timing.heartbeatMs * factor, unreachableMs: timing.unreachableMs * factor };
}
