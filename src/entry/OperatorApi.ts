/** The operators' API below /v1/operator/, and /metrics. A missing or wrong key gets an empty reply with status 401. */
import type * as http from "node:http";
import type { LargeBodies } from "../common/LargeBodies.js";
import { readJsonBody } from "../common/RequestBody.js";
import { writeJson } from "../common/WriteJson.js";
import { keyHeader, keyMatches } from "../peer/Keys.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { OperatorRoute } from "./Types.js";

/** Path prefix of all routes of the operators' API. */
export const operatorPath = "/v1/operator/";
const maxBodyBytes = 4 * 1024 * 1024;

export class OperatorApi {
    private readonly routes = new Map<string, OperatorRoute>();

    public constructor(
        /** Undefined disables the API. */
        private readonly key: string | undefined,
        private readonly metrics: Metrics,
        private readonly log: EventLog,
    ) {}

    /** Registers a route; a later one with the same method and path replaces it. */
    public add(route: OperatorRoute): void {
        this.routes.set(`${route.method} ${route.path}`, route);
    }

    /** Serves one request for a registered route or for /metrics. */
    public async handle(req: http.IncomingMessage, res: http.ServerResponse, bodies: LargeBodies): Promise<void> {
        if (this.key === undefined || !keyMatches(this.key, req.headers[keyHeader])) {
            req.resume();
            res.writeHead(401).end();
            return;
        }
        const url = new URL(req.url ?? "/", "http://host");
        if (url.pathname === "/metrics") {
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(await this.metrics.render());
            return;
        }
        const route = this.routes.get(`${req.method ?? ""} ${url.pathname}`);
        if (route === undefined) {
            writeJson(res, 404, {}, { error: `there is no ${req.method ?? ""} ${url.pathname}` });
            return;
        }
        await this.callRoute(route, url, req, res, bodies);
    }

    private async callRoute(
        route: OperatorRoute,
        url: URL,
        req: http.IncomingMessage,
        res: http.ServerResponse,
        bodies: LargeBodies,
    ): Promise<void> {
        const body = route.method === "GET" ? undefined : await readJsonBody(req, maxBodyBytes, { bodies });
        if (body?.isLeft() === true) {
            const { kind } = body.swap().unsafeCoerce();
            writeJson(res, kind === "no-room" ? 503 : 400, {}, { error: `bad body: ${kind}` });
            return;
        }
        const abort = new AbortController();
        res.on("close", () => abort.abort());
        const reply = await route.handle({ query: url.searchParams, body: body?.unsafeCoerce(), signal: abort.signal });
        if (route.method === "POST") {
            this.log.event(EventId.OperatorAction, { path: route.path, status: reply.status });
        }
        writeJson(res, reply.status, {}, reply.body);
    }
}
