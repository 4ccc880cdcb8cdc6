/** Closes connections of requests whose replies have been read. */
import type { ClientRequest } from "node:http";

/**
 * Closes the connection of a request, also at the `end` event of its reply: Node.js counts the request as destroyed by
 * then, so that `destroy` on it would leave the connection to the pool. Not for later, when another request may use it.
 */
export function closeConnection(req: ClientRequest): void {
    req.destroy();
    req.socket?.destroy();
}
