/**
 * A faulty endpoint that refuses the first request, and ahead of its reply to the next one on the same connection writes
 * bytes that belong to no request.
 */
import type { Socket } from "node:net";
import { type RequestHandler, serveGood } from "./GatewaySite.js";

/** Time between the bytes that belong to no request and the reply. */
const runMs = 20;

export class RepeatingEndpoint {
    /** Ids of the requests that it has run. */
    public readonly ran: string[] = [];
    private refused: { readonly id: string; readonly socket: Socket; } | undefined;

    /** `repeat` returns the bytes, given the id of the request that was refused. */
    public constructor(private readonly refuse: RequestHandler, private readonly repeat: (refused: string) => string) {}

    public readonly serve: RequestHandler = (req, res, socket) => {
        const id = String(req.headers["fireflykeel-request-id"]);
        if (this.refused === undefined) {
            this.refused = { id, socket };
            this.refuse(req, res, socket);
            return;
        }
        this.ran.push(id);
        if (socket === this.refused.socket) {
            socket.write(this.repeat(this.refused.id));
        }
        setTimeout(() => serveGood(req, res, socket), runMs);
    };
}
