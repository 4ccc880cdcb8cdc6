/** An in-memory replacement for the leases of the config group; each host gets its own {@link LeaseService}. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId } from "../src/common/Types.js";
import type { Lease, LeaseError, LeaseService } from "../src/config/Types.js";

export class FakeLeases {
    private readonly held = new Map<string, { holder: HostId; epoch: number; untilMs: number; }>();
    private lastEpoch = 0;
    /** Hosts that can't reach the config group. */
    public readonly cutOff = new Set<HostId>();

    public constructor(private readonly clock: Clock) {}

    /** Returns the service of one host, whose clock may be shifted. */
    public serviceOf(host: HostId, clock: Clock): LeaseService {
        return {
            acquire: async (name, durationMs) => this.acquire(host, clock, name, durationMs),
            release: async name => {
                if (this.held.get(name)?.holder === host) {
                    this.held.delete(name);
                }
            },
        };
    }

    private acquire(host: HostId, clock: Clock, name: string, durationMs: number): Either<LeaseError, Lease> {
        if (this.cutOff.has(host)) {
            return Left({ kind: "unreachable", message: "the config group can't be reached" });
        }
        const nowMs = this.clock.nowMs();
        const held = this.held.get(name);
        if (held !== undefined && held.untilMs > nowMs && held.holder !== host) {
            return Left({ kind: "held", holder: held.holder, epoch: held.epoch });
        }
        const keepsEpoch = held !== undefined && held.untilMs > nowMs;
        const epoch = keepsEpoch ? held.epoch : this.lastEpoch + 1;
        this.lastEpoch = Math.max(this.lastEpoch, epoch);
        this.held.set(name, { holder: host, epoch, untilMs: nowMs + durationMs });
        return Right({ name, holder: host, epoch, expiresAtMs: clock.nowMs() + durationMs });
    }
}
