/**
 * Grants leases on the leader of the config group, by its monotonic clock. A new holder is committed to the log and
 * gets a new epoch; renewals are kept only in the leader's memory. A new leader knows no renewals, so it waits for a
 * lease's full duration before it grants the lease to another holder.
 */
import { crc32 } from "node:zlib";
import PQueue from "p-queue";
import { invariant } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import type { Json, ReplicatedLog } from "../replication/Types.js";
import type { ConfigCommand, LeaseCommandResult } from "./ConfigCommands.js";
import type { LeaseReply, LeaseRequest, ReleaseRequest } from "./ConfigMessages.js";
import type { ConfigState } from "./ConfigState.js";
import type { LeaseRecord } from "./LeaseRecords.js";

/** Number of request queues. A lease's queue is chosen by a hash of its name, so that several leases share one. */
const queueCount = 64;

/** A grant or renewal that the leader made in its current term. */
interface Renewal {
    readonly epoch: number;
    readonly untilMs: number;
}

export class LeaseTable {
    /** Requests for the same lease run one at a time. */
    private readonly queues = Array.from({ length: queueCount }, () => new PQueue({ concurrency: 1 }));
    private renewals = new Map<string, Renewal>();
    private term = 0;
    private termStartMs = 0;

    public constructor(
        private readonly state: ConfigState,
        private readonly raft: ReplicatedLog,
        private readonly clock: Clock,
        /** Bound on how far the holder's clock drifts from this one within a lease. */
        private readonly clockDriftMs: number,
    ) {}

    /** Grants or renews a lease; undefined when this host does not lead. */
    public acquire(req: LeaseRequest): Promise<LeaseReply | undefined> {
        return this.queueOf(req.name).add(async () => {
            const isLeading = await this.confirmLeadership(req.timeoutMs);
            return isLeading ? this.grantOrRenew(req) : undefined;
        });
    }

    /** Releases a lease; undefined when this host does not lead. Repeating a release has no effect. */
    public release(req: ReleaseRequest): Promise<{ readonly kind: "released"; } | undefined> {
        return this.queueOf(req.name).add(async () => {
            if (!await this.confirmLeadership(req.timeoutMs)) {
                return undefined;
            }
            await this.propose({ kind: "release-lease", name: req.name, epoch: req.epoch }, req.timeoutMs);
            return { kind: "released" };
        });
    }

    private queueOf(name: string): PQueue {
        const queue = this.queues[crc32(name) % queueCount];
        invariant(queue !== undefined, "every lease has a queue");
        return queue;
    }

    /** Returns true when a quorum confirms that this host leads. Drops the renewals of an earlier term. */
    private async confirmLeadership(timeoutMs: number): Promise<boolean> {
        if (this.raft.status().role !== "leader") {
            return false;
        }
        const confirmed = await this.raft.readBarrier(timeoutMs);
        const { role, term } = this.raft.status();
        if (confirmed.isLeft() || role !== "leader") {
            return false;
        }
        if (term !== this.term) {
            this.term = term;
            this.termStartMs = this.clock.nowMs();
            this.renewals = new Map();
        }
        return true;
    }

    private async grantOrRenew(req: LeaseRequest): Promise<LeaseReply> {
        const record = this.state.leases.find(req.name);
        if (record === undefined) {
            return this.grant(req, 0);
        }
        const untilMs = this.heldUntilMs(req.name, record);
        const nowMs = this.clock.nowMs();
        if (record.holder === req.holder && record.instance === req.instance && nowMs < untilMs) {
            return this.renew(req, record);
        }
        if (nowMs < untilMs + this.clockDriftMs) {
            return { kind: "held", holder: record.holder, epoch: record.epoch };
        }
        return this.grant(req, record.epoch);
    }

    private heldUntilMs(name: string, record: LeaseRecord): number {
        const renewal = this.renewals.get(name);
        return renewal?.epoch === record.epoch ? renewal.untilMs : this.termStartMs + record.durationMs;
    }

    private async renew(req: LeaseRequest, record: LeaseRecord): Promise<LeaseReply> {
        const { name, durationMs } = req;
        if (durationMs > record.durationMs) {
            const command: ConfigCommand = { kind: "extend-lease", name, epoch: record.epoch, durationMs };
            return this.toReply(req, await this.propose(command, req.timeoutMs));
        }
        this.recordRenewal(name, record.epoch, durationMs);
        return { kind: "granted", epoch: record.epoch };
    }

    private async grant(req: LeaseRequest, overEpoch: number): Promise<LeaseReply> {
        const { name, holder, instance, durationMs } = req;
        const command: ConfigCommand = { kind: "grant-lease", name, holder, instance, durationMs, overEpoch };
        return this.toReply(req, await this.propose(command, req.timeoutMs));
    }

    private toReply(req: LeaseRequest, result: LeaseCommandResult | undefined): LeaseReply {
        if (result?.kind === "granted") {
            this.recordRenewal(req.name, result.epoch, req.durationMs);
            return result;
        }
        if (result?.kind === "held") {
            return result;
        }
        const message = result === undefined ? "the lease could not be committed" : "too many leases";
        return { kind: "unreachable", message };
    }

    /** Records a grant or renewal; never shortens an earlier one of the same epoch. */
    private recordRenewal(name: string, epoch: number, durationMs: number): void {
        const known = this.renewals.get(name);
        const earlierUntilMs = known?.epoch === epoch ? known.untilMs : 0;
        this.renewals.set(name, { epoch, untilMs: Math.max(earlierUntilMs, this.clock.nowMs() + durationMs) });
    }

    private async propose(command: ConfigCommand, timeoutMs: number): Promise<LeaseCommandResult | undefined> {
        const proposed = await this.raft.propose(command as unknown as Json, timeoutMs);
        return proposed.map(result => (result ?? undefined) as unknown as LeaseCommandResult | undefined)
            .orDefault(undefined);
    }
}
