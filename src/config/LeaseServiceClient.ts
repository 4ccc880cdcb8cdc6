/** {@link LeaseService} of one host: asks the leader of the config group, wherever it is. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId, Random } from "../common/Types.js";
import type { LeaderClient } from "../replication/LeaderClient.js";
import type { LeaderReply } from "../replication/Messages.js";
import {
    leaseMethod,
    type LeaseReply,
    type LeaseRequest,
    releaseMethod,
    type ReleaseRequest,
} from "./ConfigMessages.js";
import type { Lease, LeaseError, LeaseService } from "./Types.js";

/** Bound on one try, so that a silent host does not use up the caller's time. */
const tryTimeoutMs = 500;
const releaseTimeoutMs = 1000;
const instanceChars = 16;

/** The lease table of this host, for when it leads the group itself. */
export interface LocalLeases {
    acquire(req: LeaseRequest): Promise<LeaseReply | undefined>;
    release(req: ReleaseRequest): Promise<{ readonly kind: "released"; } | undefined>;
}

export class LeaseServiceClient implements LeaseService {
    /** Names this process, so that a restarted one waits out the leases of its former self. */
    private readonly instance: string;
    private readonly epochs = new Map<string, number>();

    public constructor(
        private readonly self: HostId,
        private readonly clock: Clock,
        private readonly leader: LeaderClient,
        random: Random,
        private readonly local?: LocalLeases,
    ) {
        this.instance = random.hex(instanceChars);
    }

    public async acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        let sentMs = this.clock.nowMs();
        const makeRequest = (remainingMs: number): LeaseRequest => {
            sentMs = this.clock.nowMs();
            return { name, holder: this.self, instance: this.instance, durationMs, timeoutMs: remainingMs };
        };
        while (this.clock.nowMs() < deadlineMs) {
            const local = await this.local?.acquire(makeRequest(deadlineMs - this.clock.nowMs()));
            if (local !== undefined) {
                return this.takeReply(name, durationMs, sentMs, local);
            }
            const options = { timeoutMs: deadlineMs - this.clock.nowMs(), repeatable: true, tryTimeoutMs };
            const reply = await this.leader.call(leaseMethod, makeRequest, options);
            if (reply.isRight()) {
                return this.takeReply(name, durationMs, sentMs, reply.extract());
            }
        }
        return Left({ kind: "unreachable", message: "no leader of the config group has answered" });
    }

    public async release(name: string): Promise<void> {
        const epoch = this.epochs.get(name);
        if (epoch === undefined) {
            return;
        }
        this.epochs.delete(name);
        const makeRequest = (timeoutMs: number): ReleaseRequest => ({ name, epoch, timeoutMs });
        const local = await this.local?.release(makeRequest(releaseTimeoutMs));
        if (local === undefined) {
            const options = { timeoutMs: releaseTimeoutMs, repeatable: true, tryTimeoutMs };
            await this.leader.call(releaseMethod, makeRequest, options);
        }
    }

    private takeReply(
        name: string,
        durationMs: number,
        sentMs: number,
        reply: LeaseReply,
    ): Either<LeaseError, Lease> {
        if (reply.kind !== "granted") {
            return Left(reply);
        }
        this.epochs.set(name, reply.epoch);
        return Right({ name, holder: this.self, epoch: reply.epoch, expiresAtMs: sentMs + durationMs });
    }
}

/** The reply of a host that may lead: its table's, or where to go. */
export function leaderReply<T>(reply: T | undefined, leader: HostId | undefined): LeaderReply<T> {
    return reply === undefined ? { kind: "not-leader", leader } : { kind: "done", value: reply };
}
