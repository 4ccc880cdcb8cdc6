/**
 * Learns from an endpoint's own report how much of its result storage is free, whenever the gatherer's records can't
 * tell: after it has taken over a cell, whose former gatherer's results stay until they are freed or expire, and after a
 * call whose reply was lost. While results without a record remain, the report is read again a few times.
 */
import type { Clock } from "../common/Types.js";
import type { BatchTraits, ServiceId } from "../fleet/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BatchEndpoint } from "./BatchEndpoint.js";
import type { PieceClient } from "./Types.js";

/** A report may be this old, so that an earlier one could be from before the event that is to be seen in it. */
const maxReportAgeMs = 450;
/** Time between two reports while unknown results remain. */
const intervalMs = 1000;
/** Time between two reports of a new endpoint that still runs a call of another gatherer. */
const workingIntervalMs = 60;
/** Number of reports read after one event; unknown results have expired by then. */
const maxReports = 5;
/** Unknown results below this share of the storage do not matter. */
const minUnknownShare = 0.02;

interface StorageReportsOptions {
    readonly service: ServiceId;
    readonly client: PieceClient;
    readonly traits: () => BatchTraits | undefined;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Called when a report has been taken over. */
    readonly onLearned: () => void;
}

export class StorageReports {
    /** Endpoints whose reports are being read. */
    private readonly reading = new Set<BatchEndpoint>();

    public constructor(private readonly options: StorageReportsOptions) {}

    /**
     * Reads the report of an endpoint that is new to the gatherer. It gets no call before: one whose results did not
     * fit would waste its pieces. While it still runs a former gatherer's call, whose results are yet to come, it is
     * given as much time as a full call takes; an own call could not run earlier.
     */
    public learnNew(endpoint: BatchEndpoint): void {
        endpoint.isAwaitingReport = true;
        const learned = this.awaitFormerCall(endpoint).then(() => this.read(endpoint, 0));
        // Without a report the endpoint is used as if it had none.
        inBackground(this.options.log, "storage-report", learned.finally(() => endpoint.isAwaitingReport = false));
    }

    private async awaitFormerCall(endpoint: BatchEndpoint): Promise<void> {
        const { clock, client, traits } = this.options;
        const current = traits();
        const untilMs = clock.nowMs() + (current === undefined ? 0 : endpoint.expectedMs(current, current.batch));
        while (clock.nowMs() < untilMs) {
            const state = await client.state(endpoint.listed);
            if (state?.freeBytes === undefined || !state.isWorking) {
                return;
            }
            await clock.sleep(workingIntervalMs);
        }
    }

    /** Reads the report of an endpoint after a call without a reply, once the report can show the call's results. */
    public learnAfterLoss(endpoint: BatchEndpoint): void {
        inBackground(this.options.log, "storage-report", this.read(endpoint, maxReportAgeMs));
    }

    private async read(endpoint: BatchEndpoint, delayMs: number): Promise<void> {
        if (this.reading.has(endpoint)) {
            return;
        }
        this.reading.add(endpoint);
        try {
            await this.readRepeatedly(endpoint, delayMs);
        }
        finally {
            this.reading.delete(endpoint);
        }
    }

    private async readRepeatedly(endpoint: BatchEndpoint, delayMs: number): Promise<void> {
        const { clock, onLearned } = this.options;
        let waitMs = delayMs;
        for (let reports = 0; reports < maxReports; reports++) {
            if (waitMs > 0) {
                await clock.sleep(waitMs);
            }
            const hasUnknown = await this.readOnce(endpoint);
            endpoint.isAwaitingReport = false;
            onLearned();
            if (!hasUnknown) {
                break;
            }
            waitMs = intervalMs;
        }
    }

    /** Reads one report; true when it shows results without a record. */
    private async readOnce(endpoint: BatchEndpoint): Promise<boolean> {
        const { service, client, traits, log } = this.options;
        const state = await client.state(endpoint.listed);
        const current = traits();
        if (state?.freeBytes === undefined || current === undefined) {
            return false;
        }
        const unknownBytes = endpoint.storage.learn(state.freeBytes, current);
        const matters = unknownBytes > current.resultRoomBytes * minUnknownShare;
        if (matters) {
            log.event(EventId.StorageLearned, {
                service,
                endpoint: endpoint.id,
                freeBytes: state.freeBytes,
                unknownBytes,
            });
        }
        return matters;
    }
}
