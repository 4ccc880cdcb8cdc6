/**
 * What is left of a body whose request is answered before its end. Closing a connection with unread bytes resets it, and
 * the caller may lose the answer; reading on without end would serve nobody. What is read is dropped, and both its size
 * and the time are bounded.
 */
import type * as http from "node:http";
import type { Clock, Disposable } from "../common/Types.js";
import type { Metrics } from "../telemetry/Types.js";
import { smallBodyBytes } from "./CallerMemory.js";
import type { ReadTurns } from "./ReadTurns.js";

/** How long a body is read on after the answer. */
const maxUnreadMs = 2000;
/** Each part that is dropped counts for so many bytes more, since it takes time whatever its size. */
const partCostBytes = 64;

interface UnreadBodyOptions {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly turns: ReadTurns;
}

/**
 * Reads on and drops a body whose request is about to be answered. The answer says that the connection is closed, unless
 * little of the body can be left. Ends the connection once the body has ended, or after a time or a number of bytes, but
 * not before the answers that are due on it.
 * @param limitBytes Maximum size of a body.
 */
export function dropBody(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    limitBytes: number,
    { clock, metrics, turns }: UnreadBodyOptions,
): void {
    const { socket } = req;
    const countPart = turns.counter(socket);
    const destroySoon = socket.destroySoon.bind(socket);
    let leftBytes = Math.max(limitBytes, smallBodyBytes);
    let timer: Disposable | undefined;
    const cut = () => {
        end();
        metrics.count("unread_bodies_cut");
        socket.resetAndDestroy();
    };
    const drop = (part: Buffer) => {
        countPart();
        leftBytes -= part.length + partCostBytes;
        if (leftBytes < 0 && res.writableFinished) {
            cut();
        }
        else if (leftBytes < 0) {
            req.pause();
        }
    };
    const end = () => {
        timer?.dispose();
        req.off("data", drop).off("end", end);
        socket.off("close", end);
        socket.destroySoon = destroySoon;
        if (socket.writableEnded) {
            socket.destroySoon();
        }
    };
    // Node.js calls it after an answer that closes the connection. Only the sending direction is closed until the end.
    socket.destroySoon = () => socket.end();
    if (!(Number(req.headers["content-length"]) <= smallBodyBytes) && !res.headersSent) {
        res.setHeader("connection", "close");
    }
    req.on("data", drop).once("end", end);
    socket.once("close", end);
    res.once("finish", () => {
        if (!req.readableEnded && !socket.destroyed) {
            timer = clock.setTimer(maxUnreadMs, cut);
        }
    });
}
