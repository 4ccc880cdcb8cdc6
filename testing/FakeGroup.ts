/**
 * A replicated log within one process: commits one sequence of commands, applies it to two replicas that must stay
 * equal, and injects faults between a proposal and its answer. Faults come from a script or from one seeded generator.
 */
import assert from "node:assert/strict";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { Emitter } from "../src/common/Emitter.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, HostId } from "../src/common/Types.js";
import type {
    GroupMembers,
    GroupStatus,
    Json,
    ProposeError,
    ReadError,
    ReplicatedLog,
    StateMachine,
} from "../src/replication/Types.js";

export type LogFault =
    | "none"
    /** Committed, but the proposer gets no answer. */
    | "lost-answer"
    /** The proposer gets no answer, and the command is committed after the proposer's timeout. */
    | "late-commit"
    /** Neither committed nor answered. */
    | "lost-command"
    /** Rejected at once. */
    | "not-accepted"
    /** Committed twice, the second time after a random delay. */
    | "doubled";

export interface FakeGroupOptions {
    readonly seed?: number;
    /** Time from a proposal to its commit, in milliseconds. */
    readonly commitMs?: number;
    /** Maximum delay of a late commit after the proposer's timeout, or of a second commit after the first, in ms. */
    readonly lateMs?: number;
}

const unknownOutcome = Left<ProposeError, Json>({ kind: "unknown", message: "no answer in time" });

export class FakeGroup<S extends StateMachine = StateMachine> {
    /** Probability of each fault, in [0, 1]; used while the script is empty. */
    public readonly chances: Partial<Record<LogFault, number>> = {};
    /** Faults of the next proposals, in order; they take precedence over the probabilities. */
    public readonly script: LogFault[] = [];
    public hasQuorum = true;
    /** Called with each committed command. */
    public onCommit: (command: Json) => void = () => undefined;
    public readonly state: S;
    private secondReplica: StateMachine;
    private readonly random: SeededRandom;
    private readonly applied = new Emitter<number>();
    private readonly role = new Emitter<GroupStatus>();
    private readonly cutHosts = new Set<HostId>();
    private index = 0;

    public constructor(
        private readonly clock: Clock,
        private readonly makeState: () => S,
        private readonly options: FakeGroupOptions = {},
    ) {
        this.state = makeState();
        this.secondReplica = makeState();
        this.random = new SeededRandom(options.seed ?? 1);
    }

    /** Returns the log as one host sees it; after `kill`, no proposal is submitted or answered. */
    public log(host: HostId): ReplicatedLog & { kill(): void; } {
        let isKilled = false;
        return {
            group: "records",
            propose: async (command, timeoutMs) => {
                const result = isKilled ? neverResolves() : await this.propose(host, command, timeoutMs);
                return isKilled ? neverResolves() : result;
            },
            readBarrier: async timeoutMs => this.readBarrier(host, timeoutMs),
            changeMembers: async () => Left({ kind: "not-accepted", message: "fixed members", leader: undefined }),
            status: () => this.status(),
            onApplied: this.applied.event,
            onRoleChange: this.role.event,
            kill: () => {
                isKilled = true;
            },
        };
    }

    /** Cuts a host off from the group until {@link FakeGroup.heal}. */
    public cut(host: HostId): void {
        this.cutHosts.add(host);
    }

    /** Connects all hosts again and restores the quorum. */
    public heal(): void {
        this.cutHosts.clear();
        this.hasQuorum = true;
    }

    /** Checks that both replicas are equal, and restores one from the other's snapshot. */
    public checkReplicas(): void {
        const snapshot = withSortedKeys(this.state.snapshot());
        assert.deepEqual(
            withSortedKeys(this.secondReplica.snapshot()),
            snapshot,
            "the snapshots of the replicas differ",
        );
        this.secondReplica = this.makeState();
        this.secondReplica.restore(snapshot);
    }

    private async propose(host: HostId, command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        const copy = JSON.parse(JSON.stringify(command)) as Json;
        const fault = this.cutHosts.has(host) || !this.hasQuorum ? this.faultWithoutQuorum() : this.nextFault();
        const commitMs = this.options.commitMs ?? 1;
        if (fault === "not-accepted") {
            return Left({ kind: "not-accepted", message: "no leader", leader: undefined });
        }
        if (fault === "late-commit" || fault === "lost-command") {
            await this.clock.sleep(timeoutMs);
            if (fault === "late-commit") {
                this.commitLater(copy);
            }
            return unknownOutcome;
        }
        await this.clock.sleep(Math.min(commitMs, timeoutMs));
        if (commitMs > timeoutMs) {
            this.commitLater(copy);
            return unknownOutcome;
        }
        const result = this.commit(copy);
        if (fault === "doubled") {
            this.commitLater(copy);
        }
        if (fault === "lost-answer") {
            await this.clock.sleep(timeoutMs - commitMs);
            return unknownOutcome;
        }
        return Right(result);
    }

    private async readBarrier(host: HostId, timeoutMs: number): Promise<Either<ReadError, number>> {
        if (this.cutHosts.has(host) || !this.hasQuorum) {
            await this.clock.sleep(timeoutMs);
            return Left({ kind: "no-quorum", message: "no quorum" });
        }
        await this.clock.sleep(this.options.commitMs ?? 1);
        return Right(this.index);
    }

    private commit(command: Json): Json {
        this.index += 1;
        this.onCommit(command);
        const result = this.state.apply(command, this.index);
        const second = this.secondReplica.apply(withSortedKeys(command), this.index);
        assert.deepEqual(withSortedKeys(second), withSortedKeys(result), "the replicas returned different results");
        this.applied.fire(this.index);
        return JSON.parse(JSON.stringify(result)) as Json;
    }

    private commitLater(command: Json): void {
        const lateMs = this.random.below(this.options.lateMs ?? 2000);
        this.clock.setTimer(lateMs, () => this.commit(command));
    }

    private nextFault(): LogFault {
        const scripted = this.script.shift();
        if (scripted !== undefined) {
            return scripted;
        }
        let draw = this.random.next();
        for (const [fault, chance] of Object.entries(this.chances)) {
            draw -= chance;
            if (draw < 0) {
                return fault as LogFault;
            }
        }
        return "none";
    }

    /** Without a quorum a command is rejected, lost, or committed later by the hosts that have the quorum. */
    private faultWithoutQuorum(): LogFault {
        const faults = ["not-accepted", "lost-command", "late-commit"] as const;
        return faults[this.random.below(faults.length)] ?? "not-accepted";
    }

    private status(): GroupStatus {
        const members: GroupMembers = { voters: [], learners: [] };
        return {
            group: "records",
            role: "follower",
            term: 1,
            leader: undefined,
            commitIndex: this.index,
            appliedIndex: this.index,
            lastIndex: this.index,
            snapshotIndex: 0,
            members,
            hasQuorum: this.hasQuorum,
            fault: undefined,
        };
    }
}

/**
 * Returns a copy with the keys of all maps sorted. A codec on disk may also change the order of keys, so that replicas
 * must not depend on it.
 */
function withSortedKeys(value: Json): Json {
    return JSON.parse(JSON.stringify(value, (_key, part: unknown) => {
        const isMap = typeof part === "object" && part !== null && !Array.isArray(part);
        return isMap ? Object.fromEntries(Object.entries(part).sort(([a], [b]) => a < b ? -1 : 1)) : part;
    })) as Json;
}

function neverResolves(): Promise<never> {
    return new Promise(() => undefined);
}
