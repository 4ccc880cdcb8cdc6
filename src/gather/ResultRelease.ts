/**
 * Frees results at their endpoints, with one message at a time to each endpoint: those of requests that end at about the
 * same time are freed together, since otherwise these messages would outnumber all others of a gatherer.
 */
import type { EndpointId } from "../common/Types.js";
import type { ServiceId } from "../fleet/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BatchEndpoint } from "./BatchEndpoint.js";
import type { PieceClient, PieceResult } from "./Types.js";

interface ResultReleaseOptions {
    readonly service: ServiceId;
    readonly client: PieceClient;
    readonly log: EventLog;
    /** Called when an endpoint has freed results. */
    readonly onFreed: () => void;
}

export class ResultRelease {
    /** Results to be freed by the next message to an endpoint; an entry exists while a message is in flight. */
    private readonly collected = new Map<EndpointId, PieceResult[]>();

    public constructor(private readonly options: ResultReleaseOptions) {}

    public add(endpoint: BatchEndpoint, results: readonly PieceResult[]): void {
        const known = this.collected.get(endpoint.id);
        if (known !== undefined) {
            known.push(...results);
            return;
        }
        this.collected.set(endpoint.id, [...results]);
        const released = this.releaseAll(endpoint).finally(() => this.collected.delete(endpoint.id));
        inBackground(this.options.log, "free-results", released);
    }

    private async releaseAll(endpoint: BatchEndpoint): Promise<void> {
        for (;;) {
            const results = this.collected.get(endpoint.id) ?? [];
            if (results.length === 0) {
                return;
            }
            this.collected.set(endpoint.id, []);
            await this.release(endpoint, results);
        }
    }

    private async release(endpoint: BatchEndpoint, results: readonly PieceResult[]): Promise<void> {
        const { service, client, log, onFreed } = this.options;
        const handles = results.map(one => one.handle);
        const message = await client.free(endpoint.listed, handles);
        if (message === undefined) {
            results.forEach(({ handle, bytes }) => endpoint.storage.remove(handle, bytes));
        }
        else {
            log.event(EventId.ResultsNotFreed, { service, endpoint: endpoint.id, handles: handles.length, message });
        }
        onFreed();
    }
}
