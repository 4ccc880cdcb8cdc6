/** A caller of a gateway that a test has started. */
import * as http from "node:http";

export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False if the connection ended before the reply was complete. */
    readonly isWhole: boolean;
}

export function sendRequest(
    site: { readonly address: string; },
    headers: Record<string, string> = {},
    path = "/a/x",
    onBody: (received: string, res: http.IncomingMessage) => void = () => undefined,
    body: string | Buffer = "body",
): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const req = http.request(`http://${site.address}${path}`, {
            method: "POST",
            agent: false,
            headers: {
                "host": "H.example:80",
                "fireflykeel-request-id": "id-1",
                "fireflykeel-deadline-ms": "1500",
                "x-api-key": "key",
                ...headers,
            },
        });
        let hasResponse = false;
        let isBroken = false;
        req.on("error", err => {
            // Node.js takes a response that ends with its connection for complete, also when that was reset.
            isBroken = true;
            if (!hasResponse) {
                reject(err);
            }
        });
        req.on("response", res => {
            hasResponse = true;
            let received = "";
            res.on("data", (chunk: Buffer) => {
                received += chunk.toString();
                onBody(received, res);
            });
            res.on("error", () => undefined);
            res.on("close", () => {
                resolve({
                    status: res.statusCode ?? 0,
                    headers: res.headers,
                    body: received,
                    isWhole: res.complete && !isBroken,
                });
            });
        });
        req.end(body);
    });
}
