/**
 * Replicated state of the leases in the config group: the holder, its epoch, and how long a new leader must wait before
 * it grants the lease to another holder. Epochs increase across all leases and are never reused.
 */
import { invariant } from "../common/Invariant.js";
import type { HostId } from "../common/Types.js";
import type {
    ExtendLeaseCommand,
    GrantLeaseCommand,
    LeaseCommandResult,
    ReleaseLeaseCommand,
} from "./ConfigCommands.js";

/** Maximum number of leases; granting a further one returns `full`. */
const maxLeases = 10_000;

export interface LeaseRecord {
    readonly holder: HostId;
    /** Identifies the holder's process; changes with each restart. */
    readonly instance: string;
    readonly epoch: number;
    readonly durationMs: number;
}

export interface LeaseSnapshot {
    /** The highest epoch granted so far, over all leases. */
    readonly lastEpoch: number;
    readonly leases: Readonly<Record<string, LeaseRecord>>;
}

export class LeaseRecords {
    private leases = new Map<string, LeaseRecord>();
    private lastEpoch = 0;

    public find(name: string): LeaseRecord | undefined {
        return this.leases.get(name);
    }

    /** Grants the lease to a new holder if its current epoch is the one that the leader knows to have ended. */
    public grant(command: GrantLeaseCommand): LeaseCommandResult {
        const { name, holder, instance, durationMs, overEpoch } = command;
        const known = this.leases.get(name);
        if (known !== undefined && known.epoch !== overEpoch) {
            return { kind: "held", holder: known.holder, epoch: known.epoch };
        }
        if (known === undefined && this.leases.size >= maxLeases) {
            return { kind: "full" };
        }
        const epoch = this.lastEpoch + 1;
        invariant(epoch > (known?.epoch ?? 0), "epochs of a lease rise", { name, epoch });
        this.lastEpoch = epoch;
        this.leases.set(name, { holder, instance, epoch, durationMs });
        return { kind: "granted", epoch };
    }

    /** Raises the duration of a lease; never lowers it. Undefined when the lease does not exist. */
    public extend(command: ExtendLeaseCommand): LeaseCommandResult | undefined {
        const known = this.leases.get(command.name);
        if (known?.epoch !== command.epoch) {
            return known === undefined ? undefined : { kind: "held", holder: known.holder, epoch: known.epoch };
        }
        const durationMs = Math.max(known.durationMs, command.durationMs);
        this.leases.set(command.name, { ...known, durationMs });
        return { kind: "granted", epoch: known.epoch };
    }

    /** Removes the lease, unless it has another epoch by now. */
    public release(command: ReleaseLeaseCommand): void {
        if (this.leases.get(command.name)?.epoch === command.epoch) {
            this.leases.delete(command.name);
        }
    }

    public snapshot(): LeaseSnapshot {
        return { lastEpoch: this.lastEpoch, leases: Object.fromEntries(this.leases) };
    }

    public restore(snapshot: LeaseSnapshot): void {
        this.lastEpoch = snapshot.lastEpoch;
        this.leases = new Map(Object.entries(snapshot.leases));
    }
}
