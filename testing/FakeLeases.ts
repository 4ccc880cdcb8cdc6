/** Leases of the config group in one object, on one clock; each host gets its own {@link LeaseService} of it. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId } from "../src/common/Types.js";
import type { Lease, LeaseError, LeaseService } from "../src/config/Types.js";

export class FakeLeases {
    private readonly held = new Map<string, { holder: HostId; epoch: number; untilMs: number; }>();
    private lastEpoch = 0;
    /** Hosts that the config group can't be reached from. */
    public readonly cutOff = new Set<HostId>();

    public constructor(private readonly clock: Clock) {}

    /** The service of one host, whose own clock may be shifted. */
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
            return Left({ kind: "unreachable", message: "cut off" });
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
