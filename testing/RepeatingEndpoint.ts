/**
 * A faulty endpoint that refuses the first request on each connection, and on the next one writes bytes that belong to
 * no request before it runs that request.
 */
import type { Socket } from "node:net";
import { type RequestHandler, serveGood } from "./GatewaySite.js";

/** Time between the bytes that belong to no request and the reply. */
const runMs = 20;

export class RepeatingEndpoint {
    /** Ids of the requests that it has run. */
    public readonly ran: string[] = [];
    private readonly refused = new WeakMap<Socket, string>();

    /** `repeat` returns the bytes, given the id of the request that was refused. */
    public constructor(private readonly refuse: RequestHandler, private readonly repeat: (refused: string) => string) {}

    public readonly serve: RequestHandler = (req, res, socket) => {
        const id = String(req.headers["fireflykeel-request-id"]);
        const refused = this.refused.get(socket);
        if (refused === undefined) {
            this.refused.set(socket, id);
            this.refuse(req, res, socket);
            return;
        }
        this.ran.push(id);
        socket.write(this.repeat(refused));
        setTimeout(() => serveGood(req, res, socket), runMs);
    };
}
