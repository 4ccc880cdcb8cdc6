/** Reads load reports over HTTP. */
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointConnections } from "./EndpointConnections.js";
import { requestText } from "./RequestText.js";
import type { LoadSource } from "./Types.js";
import { type LoadReportMessage, loadReportSchema } from "./Wire.js";

/** Timeout for reading one report. */
const reportTimeoutMs = 500;

export class HttpLoadSource implements LoadSource {
    public constructor(private readonly connections: EndpointConnections, private readonly clock: Clock) {}

    public async fetch(endpoint: EndpointId, signal: AbortSignal): Promise<LoadReportMessage | undefined> {
        const reply = await requestText(this.connections, endpoint, {
            method: "GET",
            path: "/v1/load",
            // An earlier report can't be told from this one.
            fresh: true,
            timeoutMs: reportTimeoutMs,
            clock: this.clock,
            signal,
        });
        return reply.caseOf({
            Left: () => undefined,
            Right: ({ status, text }) => (status === 200 ? parseReport(text) : undefined),
        });
    }
}

function parseReport(text: string): LoadReportMessage | undefined {
    try {
        const parsed = loadReportSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
