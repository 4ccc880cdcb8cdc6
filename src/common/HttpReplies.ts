/**
 * Reads replies to HTTP requests. A reply without a length or chunks ends with its connection, so the way in which the
 * connection ends decides whether the reply is complete. When data and a reset of the connection arrive together,
 * Node.js reports an ordinary end after the data, and no error: libuv takes the hang-up for the end once a read has
 * returned less than was asked for. The reset is found in the state of the socket instead.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ReplyHeadCheck } from "./ReplyHeads.js";

/** Why a reply can't be used. "malformed-head": nothing in it can be believed; "reset": its end has not come. */
export interface ReplyFault {
    readonly kind: "malformed-head" | "reset";
    readonly message: string;
}

export interface ReplyReader {
    /** Called with the reply to the request when its head has arrived and is well-formed. */
    read(res: IncomingMessage): void;
    /** Called when the reply can't be used. Closes the connection; events of the reply may go on until then. */
    fail(fault: ReplyFault): void;
}

/** Passes the reply to a request to its reader. Call it before the request is sent. */
export function onReply(req: ClientRequest, reader: ReplyReader): void {
    const head = new ReplyHeadCheck(req);
    req.once("response", res => {
        const message = head.end(res);
        if (message !== undefined) {
            res.on("error", () => undefined);
            reader.fail({ kind: "malformed-head", message: `the reply is not valid HTTP: ${message}` });
            return;
        }
        failOnReset(res, reader);
        reader.read(res);
    });
}

/**
 * True when the peer has reset the connection. To be asked in the socket's `end` event, before this side ends the
 * connection as well: a socket that was reset has no peer any more. Its address must not have been read before, since
 * Node.js keeps it.
 */
export function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}

/** Fails a reply that ends with its connection when that was reset. */
function failOnReset(res: IncomingMessage, reader: ReplyReader): void {
    const { socket } = res;
    const checkEnd = () => {
        if (!res.complete && wasReset(socket)) {
            reader.fail({ kind: "reset", message: "the connection was reset before the end of the reply" });
        }
    };
    // Before the listener of Node.js's client, which completes the reply and ends the connection.
    socket.prependListener("end", checkEnd);
    res.once("close", () => socket.off("end", checkEnd));
}
