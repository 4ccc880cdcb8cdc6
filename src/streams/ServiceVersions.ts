/**
 * Which software versions a service has had lately. Where it has had only one, a stream whose beginning nobody names
 * was begun by that one.
 */
import type { Clock } from "../common/Types.js";
import type { FleetSource, FleetView, ServiceId } from "../fleet/Types.js";
import type { FirstStart } from "./FirstStart.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** In an older view another version may be missing that serves by now. */
const maxViewAgeMs = 3000;

export class ServiceVersions {
    /** For each service: its versions, with the time at which each was listed last. */
    private readonly seenMs = new Map<ServiceId, Map<string | undefined, number>>();
    private lastView: FleetView;
    private readonly startedMs: number;

    public constructor(
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
        private readonly firstStart: FirstStart,
    ) {
        this.startedMs = clock.nowMs();
        this.lastView = fleet.view();
        fleet.onChange(view => {
            if (view.endpoints !== this.lastView.endpoints) {
                this.note(this.lastView);
                this.note(view);
            }
            this.lastView = view;
        });
    }

    /** The only version that a service has had for `forMs`; undefined when it has had several, or that is not known. */
    public only(service: ServiceId, forMs: number): StreamOrigin | undefined {
        const fromMs = this.clock.nowMs() - forMs;
        const isKnownSince = this.firstStart.isProven || this.startedMs <= fromMs;
        if (!isKnownSince || this.fleet.ageMs() > maxViewAgeMs) {
            return undefined;
        }
        this.note(this.fleet.view());
        const recent = [...this.seenMs.get(service) ?? []].filter(([, atMs]) => atMs >= fromMs);
        const [only] = recent;
        return only === undefined || recent.length > 1 ? undefined : { service, version: only[0] };
    }

    private note({ endpoints }: FleetView): void {
        const nowMs = this.clock.nowMs();
        for (const { service, version } of endpoints) {
            const versions = this.seenMs.get(service) ?? new Map<string | undefined, number>();
            versions.set(version, nowMs);
            this.seenMs.set(service, versions);
        }
    }
}
