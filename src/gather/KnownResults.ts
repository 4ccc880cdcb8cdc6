/**
 * The results that endpoints have given to this host's calls. A reply carries no id of its call, and a faulty endpoint may
 * write an earlier one once more, so only its handles tell which call it belongs to.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { PieceCall, PieceOutcome } from "./Types.js";

/** Maximum number of results of all connections that are remembered; the oldest are forgotten first. */
const maxRemembered = 4096;
/**
 * Maximum number of results of one connection; it is closed then, so that none of them needs to be forgotten. A result
 * takes about 240 bytes, and a large host has connections to hundreds of endpoints.
 */
const maxOfConnection = 1024;

/**
 * Whose reply it is. "own": it has a result that no earlier reply had; "foreign": it has one of another piece; "unknown":
 * it has neither, and may be an earlier reply.
 */
export type ReplyOwner = "own" | "foreign" | "unknown";

export class KnownResults {
    /** The piece of each result, by handle. */
    private readonly pieces = new BoundedMap<string, string>(maxRemembered);
    /** The same for each open connection. An earlier reply comes on its own connection, however late it is. */
    private readonly ofConnections = new WeakMap<object, Map<string, string>>();

    /** Tells whether a reply belongs to the call of these pieces, and remembers its results unless it is foreign. */
    public attribute(
        connection: object,
        calls: readonly PieceCall[],
        outcomes: readonly PieceOutcome[],
    ): ReplyOwner {
        const ofConnection = this.ofConnections.get(connection) ?? new Map<string, string>();
        this.ofConnections.set(connection, ofConnection);
        const made = new Map<string, string>();
        let hasNew = false;
        for (const [at, { request, stage, piece }] of calls.entries()) {
            const outcome = outcomes[at];
            if (outcome?.kind !== "made") {
                continue;
            }
            const name = `${request} ${stage} ${piece}`;
            const known = made.get(outcome.handle) ?? ofConnection.get(outcome.handle)
                ?? this.pieces.get(outcome.handle);
            if (known !== undefined && known !== name) {
                return "foreign";
            }
            hasNew ||= known === undefined;
            made.set(outcome.handle, name);
        }
        for (const [handle, name] of made) {
            this.pieces.set(handle, name);
            ofConnection.set(handle, name);
        }
        return hasNew ? "own" : "unknown";
    }

    /** True when a connection has brought as many results as are remembered of one. */
    public isUsedUp(connection: object): boolean {
        return (this.ofConnections.get(connection)?.size ?? 0) >= maxOfConnection;
    }
}
