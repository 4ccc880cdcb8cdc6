/** Readiness of this host as reported to the balancer. Changes are logged. */
import type { DataCentreId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { Readiness, ReadinessSource } from "../entry/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";

export class HostReadiness implements ReadinessSource {
    private started = false;
    private stopping = false;
    private lastReported: Readiness | undefined;

    public constructor(
        private readonly dataCentre: DataCentreId,
        private readonly config: ConfigSource,
        private readonly log: EventLog,
    ) {}

    public markStarted(): void {
        this.started = true;
    }

    /** Reports the host as not ready from now on, and logs the change. */
    public markStopping(): void {
        this.stopping = true;
        this.readiness();
    }

    public readiness(): Readiness {
        const readiness = this.evaluate();
        if (JSON.stringify(readiness) !== JSON.stringify(this.lastReported)) {
            this.lastReported = readiness;
            this.log.event(EventId.ReadinessChanged, { ...readiness });
        }
        return readiness;
    }

    private evaluate(): Readiness {
        if (this.stopping) {
            return { ready: false, reason: "stopping" };
        }
        if (!this.started) {
            return { ready: false, reason: "starting" };
        }
        const view = this.config.current();
        if (view === undefined) {
            return { ready: false, reason: "no-config" };
        }
        return view.outDataCentres.has(this.dataCentre) ? { ready: false, reason: "data-centre-out" } : { ready: true };
    }
}
