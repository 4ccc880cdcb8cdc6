/** How long an endpoint may be silent before a request that may be repeated goes to another one. */
import type { Route } from "../fleet/Types.js";
import { bearableSilenceMs } from "./CallerPatience.js";

/** A repeatable request goes to another endpoint after this multiple of the usual reply time, with a lower bound. */
const silenceFactor = 6;
const minSilenceMs = 350;

/** Time limit for the first byte, and for the first event of a stream; undefined for none. */
export function firstByteTimeoutMs(
    { kind, objectiveMs }: Pick<Route, "kind" | "objectiveMs">,
    replyMs: number | undefined,
): number | undefined {
    switch (kind) {
        case "idempotent":
            return Math.max(minSilenceMs, (replyMs ?? 0) * silenceFactor);
        case "resumable":
            return Math.max(bearableSilenceMs, objectiveMs);
        default:
            return undefined;
    }
}

/** Time limit between two events; undefined for none. */
export function gapTimeoutMs({ kind, gapMs = 0 }: Pick<Route, "kind" | "gapMs">): number | undefined {
    return kind === "resumable" ? Math.max(bearableSilenceMs, gapMs) : undefined;
}
