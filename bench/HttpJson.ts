/** Small JSON calls over HTTP to stand-ins and operators' routes. */
import { request } from "node:http";
import { splitAddress } from "../standin/StandInHttpServer.js";

export interface JsonReply {
    /** 0 where no reply came. */
    readonly status: number;
    readonly body: unknown;
}

/** Sends one call on a connection of its own; never rejects. */
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
