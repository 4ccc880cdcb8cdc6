/**
 * A replicated log within one process: one committed sequence, applied to two replicas that must stay equal, and
 * faults between a proposer and its answer. All choices come from one seeded generator or from a script.
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
    /** Committed, and the proposer hears nothing. */
    | "lost-answer"
    /** The proposer hears nothing, and the command is committed after that. */
    | "late-commit"
    /** Neither committed nor answered. */
    | "lost-command"
    /** Refused at once. */
    | "not-accepted"
    /** Committed twice; the second time some while later. */
    | "doubled";

export interface FakeGroupOptions {
    readonly seed?: number;
    /** Time from a proposal to its commit, in milliseconds. */
    readonly commitMs?: number;
    /** How long after the proposer's timeout a late or doubled command is committed at most, in milliseconds. */
    readonly lateMs?: number;
}

const unknown = Left<ProposeError, Json>({ kind: "unknown", message: "no answer in time" });

export class FakeGroup<S extends StateMachine = StateMachine> {
    /** Chances of each fault in [0, 1]; used where the script is empty. */
    public readonly chances: Partial<Record<LogFault, number>> = {};
    /** Faults of the next proposals, used before the chances. */
    public readonly script: LogFault[] = [];
    public hasQuorum = true;
    /** Called with each committed command. */
    public onCommit: (command: Json) => void = () => undefined;
    public readonly state: S;
    private second: StateMachine;
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
        this.second = makeState();
        this.random = new SeededRandom(options.seed ?? 1);
    }

    /** The log as one host sees it; after `kill` it neither proposes nor answers. */
    public log(host: HostId): ReplicatedLog & { kill(): void; } {
        let dead = false;
        return {
            group: "records",
            propose: async (command, timeoutMs) => {
                const result = dead ? never() : await this.propose(host, command, timeoutMs);
                return dead ? never() : result;
            },
            readBarrier: async timeoutMs => this.readBarrier(host, timeoutMs),
            changeMembers: async () => Left({ kind: "not-accepted", message: "fixed members", leader: undefined }),
            status: () => this.status(),
            onApplied: this.applied.event,
            onRoleChange: this.role.event,
            kill: () => {
                dead = true;
            },
        };
    }

    /** Cuts a host off from the group; with `heal`, connects all again. */
    public cut(host: HostId): void {
        this.cutHosts.add(host);
    }

    public heal(): void {
        this.cutHosts.clear();
        this.hasQuorum = true;
    }

    /** Checks that both replicas are equal, and restores one from the other's snapshot. */
    public checkReplicas(): void {
        const snapshot = reordered(this.state.snapshot());
        assert.deepEqual(reordered(this.second.snapshot()), snapshot, "replicas differ");
        this.second = this.makeState();
        this.second.restore(snapshot);
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
            return unknown;
        }
        await this.clock.sleep(Math.min(commitMs, timeoutMs));
        if (commitMs > timeoutMs) {
            this.commitLater(copy);
            return unknown;
        }
        const result = this.commit(copy);
        if (fault === "doubled") {
            this.commitLater(copy);
        }
        if (fault === "lost-answer") {
            await this.clock.sleep(timeoutMs - commitMs);
            return unknown;
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
        const second = this.second.apply(reordered(command), this.index);
        assert.deepEqual(reordered(second), reordered(result), "replicas gave different results");
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

    /** Without a quorum a command is refused, or lost, or committed by whoever has the quorum later. */
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

/** A copy whose maps have their keys sorted, as a codec on disk may give them back. */
function reordered(value: Json): Json {
    return JSON.parse(JSON.stringify(value, (_key, part: unknown) => {
        const isMap = typeof part === "object" && part !== null && !Array.isArray(part);
        return isMap ? Object.fromEntries(Object.entries(part).sort(([a], [b]) => a < b ? -1 : 1)) : part;
    })) as Json;
}

function never(): Promise<never> {
    return new Promise(() => undefined);
}
