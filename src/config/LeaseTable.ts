/**
 * Grants leases on the leader of the config group, by its monotonic clock. A new holder goes through the log and
 * gets a new epoch; renewals are kept in the leader's memory. A new leader knows no renewals, and waits out a
 * lease's full duration before it gives it to another holder.
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

const queueCount = 64;

/** What the leader remembers of a lease that it granted or renewed in its own term. */
interface Renewal {
    readonly epoch: number;
    readonly untilMs: number;
}

export class LeaseTable {
    /** Requests for one lease are taken one after the other. */
    private readonly queues = Array.from({ length: queueCount }, () => new PQueue({ concurrency: 1 }));
    private renewals = new Map<string, Renewal>();
    private term = 0;
    private termStartMs = 0;

    public constructor(
        private readonly state: ConfigState,
        private readonly raft: ReplicatedLog,
        private readonly clock: Clock,
        /** Bound on how far the holder's clock drifts from this one within a lease. */
        private readonly driftMs: number,
    ) {}

    /** Grants or renews; undefined when this host does not lead. */
    public acquire(req: LeaseRequest): Promise<LeaseReply | undefined> {
        return this.queueOf(req.name).add(async () => {
            const isLeading = await this.confirmLeading(req.timeoutMs);
            return isLeading ? this.decide(req) : undefined;
        });
    }

    public release(req: ReleaseRequest): Promise<{ readonly kind: "released"; } | undefined> {
        return this.queueOf(req.name).add(async () => {
            if (!await this.confirmLeading(req.timeoutMs)) {
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

    /** True once this host is proven to lead; forgets what it knew in an earlier term. */
    private async confirmLeading(timeoutMs: number): Promise<boolean> {
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

    private async decide(req: LeaseRequest): Promise<LeaseReply> {
        const record = this.state.leases.find(req.name);
        if (record === undefined) {
            return this.grant(req, 0);
        }
        const untilMs = this.heldUntilMs(req.name, record);
        const nowMs = this.clock.nowMs();
        if (record.holder === req.holder && record.instance === req.instance && nowMs < untilMs) {
            return this.renew(req, record);
        }
        if (nowMs < untilMs + this.driftMs) {
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
            return this.takeResult(req, await this.propose(command, req.timeoutMs));
        }
        this.remember(name, record.epoch, durationMs);
        return { kind: "granted", epoch: record.epoch };
    }

    private async grant(req: LeaseRequest, overEpoch: number): Promise<LeaseReply> {
        const { name, holder, instance, durationMs } = req;
        const command: ConfigCommand = { kind: "grant-lease", name, holder, instance, durationMs, overEpoch };
        return this.takeResult(req, await this.propose(command, req.timeoutMs));
    }

    private takeResult(req: LeaseRequest, result: LeaseCommandResult | undefined): LeaseReply {
        if (result?.kind === "granted") {
            this.remember(req.name, result.epoch, req.durationMs);
            return result;
        }
        if (result?.kind === "held") {
            return result;
        }
        const message = result === undefined ? "the lease could not be committed" : "there are too many leases";
        return { kind: "unreachable", message };
    }

    /** Never shortens a promise that was made before. */
    private remember(name: string, epoch: number, durationMs: number): void {
        const known = this.renewals.get(name);
        const earlierMs = known?.epoch === epoch ? known.untilMs : 0;
        this.renewals.set(name, { epoch, untilMs: Math.max(earlierMs, this.clock.nowMs() + durationMs) });
    }

    private async propose(command: ConfigCommand, timeoutMs: number): Promise<LeaseCommandResult | undefined> {
        const proposed = await this.raft.propose(command as unknown as Json, timeoutMs);
        return proposed.map(result => (result ?? undefined) as unknown as LeaseCommandResult | undefined)
            .orDefault(undefined);
    }
}
