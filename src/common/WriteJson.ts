/** JSON replies over node:http. */
import type * as http from "node:http";

/** Writes a whole JSON reply with its length. */
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
