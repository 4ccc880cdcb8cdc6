/** {@link LeaseService} of one host: sends requests to the leader of the config group, local or remote. */
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

/** Timeout of one attempt, so that an unresponsive host does not use up the caller's timeout. */
const tryTimeoutMs = 500;
const releaseTimeoutMs = 1000;
/** Length of the instance id, in hexadecimal digits. */
const instanceChars = 16;

/** The lease table of this host; its results are undefined while the host does not lead the group. */
export interface LocalLeases {
    acquire(req: LeaseRequest): Promise<LeaseReply | undefined>;
    release(req: ReleaseRequest): Promise<{ readonly kind: "released"; } | undefined>;
}

export class LeaseServiceClient implements LeaseService {
    /** Identifies this process, so that after a restart the leases of the previous process have to expire first. */
    private readonly instance: string;
    /** Epoch of the last grant of each lease, by name. */
    private readonly epochs = new Map<string, number>();

    public constructor(
        private readonly self: HostId,
        private readonly clock: Clock,
        private readonly leader: LeaderClient,
        random: Random,
        private readonly localLeases?: LocalLeases,
    ) {
        this.instance = random.hex(instanceChars);
    }

    public async acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        let sentAtMs = this.clock.nowMs();
        const makeRequest = (remainingMs: number): LeaseRequest => {
            sentAtMs = this.clock.nowMs();
            return { name, holder: this.self, instance: this.instance, durationMs, timeoutMs: remainingMs };
        };
        while (this.clock.nowMs() < deadlineMs) {
            const local = await this.localLeases?.acquire(makeRequest(deadlineMs - this.clock.nowMs()));
            if (local !== undefined) {
                return this.toLease(name, durationMs, sentAtMs, local);
            }
            const options = { timeoutMs: deadlineMs - this.clock.nowMs(), repeatable: true, tryTimeoutMs };
            const reply = await this.leader.call(leaseMethod, makeRequest, options);
            if (reply.isRight()) {
                return this.toLease(name, durationMs, sentAtMs, reply.extract());
            }
        }
        return Left({ kind: "unreachable", message: "no leader of the config group replied in time" });
    }

    public async release(name: string): Promise<void> {
        const epoch = this.epochs.get(name);
        if (epoch === undefined) {
            return;
        }
        this.epochs.delete(name);
        const makeRequest = (timeoutMs: number): ReleaseRequest => ({ name, epoch, timeoutMs });
        const local = await this.localLeases?.release(makeRequest(releaseTimeoutMs));
        if (local === undefined) {
            const options = { timeoutMs: releaseTimeoutMs, repeatable: true, tryTimeoutMs };
            await this.leader.call(releaseMethod, makeRequest, options);
        }
    }

    private toLease(
        name: string,
        durationMs: number,
        sentAtMs: number,
        reply: LeaseReply,
    ): Either<LeaseError, Lease> {
        if (reply.kind !== "granted") {
            return Left(reply);
        }
        this.epochs.set(name, reply.epoch);
        return Right({ name, holder: this.self, epoch: reply.epoch, expiresAtMs: sentAtMs + durationMs });
    }
}

/** Reply to a request for the leader: the result, or the known leader when this host does not lead. */
export function toLeaderReply<T>(reply: T | undefined, leader: HostId | undefined): LeaderReply<T> {
    return reply === undefined ? { kind: "not-leader", leader } : { kind: "done", value: reply };
}
