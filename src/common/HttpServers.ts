/** Helpers to start and close HTTP servers. */
import type * as http from "node:http";

/** Starts listening on "ip:port". Rejects when the address cannot be bound. */
export function listen(server: http.Server, address: string, backlog?: number): Promise<void> {
    const split = address.lastIndexOf(":");
    const ip = address.slice(0, split).replace(/^\[|\]$/g, "");
    const port = Number(address.slice(split + 1));
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, ip, backlog, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Closes a server and all its connections. */
export async function closeServer(server: http.Server): Promise<void> {
    server.closeAllConnections();
    await new Promise<void>(resolve => server.close(() => resolve()));
}

/** Serves on "ip:port" until the signal is aborted, then closes the server. */
export async function serveUntil(server: http.Server, address: string, signal: AbortSignal): Promise<void> {
    await listen(server, address);
    await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
    await closeServer(server);
}
