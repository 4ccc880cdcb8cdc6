/** JSON replies for node:http servers. */
import type * as http from "node:http";

/** Writes a complete JSON reply with its content length; does nothing if the connection is closed. */
export function writeJson(
    res: http.ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    body: unknown,
): void {
    if (res.destroyed) {
        return;
    }
    const bytes = Buffer.from(JSON.stringify(body));
    res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length, ...headers });
    res.end(bytes);
}
