/** What endpoints of a test reply, and how they end. */
import type * as http from "node:http";
import type { Socket } from "node:net";

/** Signature that a complete reply of an endpoint carries. */
export const signatureHeader = { "Fireflykeel-Server-Stamp": "stamp" };
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse, socket: Socket) => void;

/** Writes a complete reply that echoes the request's id. */
export function reply(
    res: http.ServerResponse,
    req: http.IncomingMessage,
    status: number,
    headers: object,
    body: string,
) {
    const echo = { "Fireflykeel-Request-Id": req.headers["fireflykeel-request-id"] ?? "" };
    res.writeHead(status, { ...echo, ...headers, "content-length": Buffer.byteLength(body) }).end(body);
}

/**
 * Ends an endpoint as a crash of its process does: the system refuses new connections, and ends those that are open in
 * order, unless they have data that was not read.
 */
export function crash(socket: Socket): void {
    const { server } = socket as Socket & { readonly server: http.Server; };
    server.close();
    server.closeAllConnections();
}

export const serveGood: RequestHandler = (req, res) => reply(res, req, 200, signatureHeader, "good");
/** Refuses a request as not executed, as an endpoint without a free slot does. */
export const serveFull: RequestHandler = (req, res) =>
    reply(res, req, 503, { "Fireflykeel-Not-Executed": "1" }, "full");

/** Starts an event stream and writes the events `from` to `to`; leaves the stream open. */
export function sendEvents(req: http.IncomingMessage, res: http.ServerResponse, from: number, to: number): void {
    res.writeHead(200, {
        ...signatureHeader,
        "Fireflykeel-Request-Id": req.headers["fireflykeel-request-id"] ?? "",
        "content-type": "text/event-stream",
    });
    for (let id = from; id <= to; id++) {
        res.write(`id: ${id}\ndata: ${id}\n\n`);
    }
}
