/** JSON calls over HTTP to stand-ins and to the daemons' operator API, for experiments and tests. */
import { request } from "node:http";
import { splitAddress } from "../standin/StandInHttpServer.js";

export interface JsonReply {
    /** HTTP status; 0 if no complete reply arrived. */
    readonly status: number;
    /** Parsed JSON, or the text if it is not JSON; undefined if no complete reply arrived. */
    readonly body: unknown;
}

/** Sends one call on a new connection; never rejects. */
export function callJson(
    address: string,
    method: "GET" | "POST",
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
    timeoutMs: number = 15_000,
): Promise<JsonReply> {
    return new Promise(resolve => {
        const options = { ...splitAddress(address), method, path, agent: false as const, timeout: timeoutMs };
        const req = request({ ...options, headers: { "content-type": "application/json", ...headers } }, res => {
            let text = "";
            res.setEncoding("utf8");
            res.on("data", (part: string) => text += part);
            res.on("end", () => resolve({ status: res.statusCode ?? 0, body: parse(text) }));
            res.on("error", () => resolve({ status: 0, body: undefined }));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve({ status: 0, body: undefined }));
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}
