/**
 * The results that endpoints have given to this host's calls. A reply carries no id of its call, and a faulty endpoint may
 * write an earlier one once more, so only its handles tell which call it belongs to.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { PieceCall, PieceOutcome } from "./Types.js";

/** Maximum number of results that are remembered; the oldest are forgotten first. They expire within seconds. */
const maxRemembered = 4096;

/**
 * Whose reply it is. "own": it has a result that no earlier reply had; "foreign": it has one of another piece; "unknown":
 * it has neither, and may be an earlier reply.
 */
export type ReplyOwner = "own" | "foreign" | "unknown";

export class KnownResults {
    /** The piece of each result, by handle. */
    private readonly pieces = new BoundedMap<string, string>(maxRemembered);

    /** Tells whether a reply belongs to the call of these pieces, and remembers its results unless it is foreign. */
    public attribute(calls: readonly PieceCall[], outcomes: readonly PieceOutcome[]): ReplyOwner {
        const made = new Map<string, string>();
        let hasNew = false;
        for (const [at, { request, stage, piece }] of calls.entries()) {
            const outcome = outcomes[at];
            if (outcome?.kind !== "made") {
                continue;
            }
            const name = `${request} ${stage} ${piece}`;
            const known = made.get(outcome.handle) ?? this.pieces.get(outcome.handle);
            if (known !== undefined && known !== name) {
                return "foreign";
            }
            hasNew ||= known === undefined;
            made.set(outcome.handle, name);
        }
        made.forEach((name, handle) => this.pieces.set(handle, name));
        return hasNew ? "own" : "unknown";
    }
}
