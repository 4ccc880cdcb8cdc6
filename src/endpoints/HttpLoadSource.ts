/**
 * Reads load reports over HTTP. A report does not name its request, but how long its endpoint has run: on a connection one
 * that is no newer than the last is that one, written again.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointConnections } from "./EndpointConnections.js";
import { requestText, type TextReply } from "./RequestText.js";
import type { LoadSource } from "./Types.js";
import { type LoadReportMessage, loadReportSchema } from "./Wire.js";

/** Timeout for reading one report. */
const reportTimeoutMs = 500;

export class HttpLoadSource implements LoadSource {
    /** `uptimeMs` of the newest report of each open connection. */
    private readonly newestMs = new WeakMap<object, number>();

    public constructor(private readonly connections: EndpointConnections, private readonly clock: Clock) {}

    public async fetch(endpoint: EndpointId, signal: AbortSignal): Promise<LoadReportMessage | undefined> {
        let report: LoadReportMessage | undefined;
        await requestText(this.connections, endpoint, {
            method: "GET",
            path: "/v1/load",
            fresh: false,
            timeoutMs: reportTimeoutMs,
            clock: this.clock,
            signal,
            keepsConnection: complete => {
                report = this.readNewer(complete);
                return report !== undefined;
            },
        });
        return report;
    }

    private readNewer({ status, text, connection }: TextReply): LoadReportMessage | undefined {
        const report = status === 200 ? parseReport(text) : undefined;
        if (report === undefined || report.uptimeMs <= (this.newestMs.get(connection) ?? -Infinity)) {
            return undefined;
        }
        this.newestMs.set(connection, report.uptimeMs);
        return report;
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
