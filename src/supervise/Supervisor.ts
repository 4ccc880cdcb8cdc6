/**
 * Runs services: starts them in order, restarts one that ends unexpectedly with exponential backoff, and on a planned
 * stop drains all of them in reverse order before it aborts any. A broken invariant is passed to `onFatal`, which stops
 * the process.
 */
import { Backoff } from "../common/Backoff.js";
import { InvariantError } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { DrainReport, Service } from "./Types.js";

const firstRestartDelayMs = 100;
const maxRestartDelayMs = 10_000;
/** The backoff is reset after a service has run for this long. */
const stableRunMs = 30_000;

export interface SupervisorOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly onFatal: (err: InvariantError) => void;
}

interface RunningService {
    readonly service: Service;
    readonly abort: AbortController;
    readonly ended: Promise<void>;
}

export class Supervisor {
    private readonly running: RunningService[] = [];

    public constructor(private readonly options: SupervisorOptions) {}

    /** Starts a service and keeps it running until the supervisor stops. */
    public start(service: Service): void {
        const abort = new AbortController();
        this.running.push({ service, abort, ended: this.keepRunning(service, abort.signal) });
    }

    /**
     * Drains all services in reverse start order within the grace time, then aborts them in the same order.
     * Resolves to the reports of services that left work unfinished.
     */
    public async stop(graceMs: number): Promise<readonly DrainReport[]> {
        const deadlineMs = this.options.clock.nowMs() + graceMs;
        const unfinished: DrainReport[] = [];
        const inReverse = [...this.running].reverse();
        for (const { service } of inReverse) {
            const remainingMs = Math.max(0, deadlineMs - this.options.clock.nowMs());
            const report = await service.drain?.(remainingMs);
            if (report !== undefined && report.unfinished > 0) {
                this.options.log.event(EventId.StopLeftWork, { service: service.name, ...report });
                unfinished.push(report);
            }
        }
        await this.abortAll();
        return unfinished;
    }

    /** Aborts all services in reverse start order, without draining. */
    public async abortAll(): Promise<void> {
        for (const { abort, ended } of [...this.running].reverse()) {
            abort.abort();
            await ended;
        }
        this.running.length = 0;
    }

    private async keepRunning(service: Service, signal: AbortSignal): Promise<void> {
        const backoff = new Backoff(this.options.clock, firstRestartDelayMs, maxRestartDelayMs);
        while (!signal.aborted) {
            const startedMs = this.options.clock.nowMs();
            const message = await this.runOnce(service, signal);
            if (signal.aborted) {
                return;
            }
            if (this.options.clock.nowMs() - startedMs >= stableRunMs) {
                backoff.recordSuccess();
            }
            this.options.log.event(EventId.ServiceFailed, { service: service.name, message });
            const delayMs = backoff.recordFailure();
            await this.options.clock.sleep(delayMs, signal);
            this.options.log.event(EventId.ServiceRestarted, { service: service.name, delayMs });
        }
    }

    private async runOnce(service: Service, signal: AbortSignal): Promise<string> {
        try {
            await service.run(signal);
            return "the service returned before it was aborted";
        }
        catch (err) {
            if (err instanceof InvariantError) {
                this.options.onFatal(err);
            }
            return err instanceof Error ? err.stack ?? err.message : String(err);
        }
    }
}
