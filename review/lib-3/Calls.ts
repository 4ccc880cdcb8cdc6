/** Requests of callers and operators, one channel each unless an agent is given. */
import * as http from "node:http";

export interface Call {
    readonly method: string;
    /** Written as it is. */
    readonly path: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    readonly agent?: http.Agent;
    readonly timeoutMs?: number;
}

export interface Answer {
    /** 0 for none. */
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly text: string;
    /** Why there is no whole answer. */
    readonly error?: string;
}

export function call(address: string, { method, path, headers, body, agent, timeoutMs = 5000 }: Call): Promise<Answer> {
    const [host = "", port = ""] = address.split(":");
    return new Promise(resolve => {
        const fail = (error: string) => resolve({ status: 0, headers: {}, text: "", error });
        const req = http.request({
            host,
            port: Number(port),
            method,
            path,
            headers: headers ?? {},
            agent: agent ?? false,
        });
        const timer = setTimeout(() => {
            fail("no answer in time");
            req.destroy();
        }, timeoutMs);
        req.on("error", err => {
            clearTimeout(timer);
            fail(err.message);
        });
        req.on("response", res => {
            const parts: Buffer[] = [];
            res.on("data", (part: Buffer) => parts.push(part));
            res.on("error", () => undefined);
            res.on("close", () => {
                clearTimeout(timer);
                const text = Buffer.concat(parts).toString("utf8");
                const answer = { status: res.statusCode ?? 0, headers: res.headers, text };
                resolve(res.complete ? answer : { ...answer, error: "the answer was cut" });
            });
        });
        req.end(body);
    });
}
