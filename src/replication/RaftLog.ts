/**
 * A replica of a group, as a service of the daemon: opens the disk, follows or leads, and reopens the disk after a
 * fault. docs/design/replication.md discusses the alternatives.
 */
import { type Either, Left } from "purify-ts";
import type { Clock, Event, HostId, Random } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { Elections } from "./Elections.js";
import { Follower } from "./Follower.js";
import { GroupBootstrapper } from "./GroupBootstrapper.js";
import { GroupStorage } from "./GroupStorage.js";
import { LeaderAccess } from "./LeaderAccess.js";
import { Leadership } from "./Leadership.js";
import { MemberChanger, membersOf } from "./MemberChanger.js";
import { collectStatuses, GroupMethods } from "./Messages.js";
import { type CompactionLimits, Replica } from "./Replica.js";
import { ReplicaServer } from "./ReplicaServer.js";
import type {
    Disk,
    GroupMembers,
    GroupStatus,
    GroupTiming,
    Json,
    MemberChange,
    ProposeError,
    ReadError,
    ReplicatedLog,
    StateMachine,
    StorageError,
} from "./Types.js";

/** Length of a replica id, in hex digits. */
const replicaIdChars = 24;
/** Random part of an election timer, as a share of the election time, so that two hosts seldom campaign at once. */
const electionSpread = 0.5;
/** Length of the id of one run of the process, in hex digits. */
const lifeChars = 12;
/** Pause before a survey after a start, as a share of the election time, and its random part. */
const surveyShare = 0.1;
const surveySpread = 0.2;
const defaultCompaction: CompactionLimits = { compactEntries: 4096, keepEntries: 1024 };

export interface RaftLogOptions {
    readonly group: string;
    readonly self: HostId;
    /** Members of a group that starts for the first time; afterwards the members in the log apply. */
    readonly initialMembers: GroupMembers;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly disk: Disk;
    /** Directory used by this group only. */
    readonly dir: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly stateMachine: StateMachine;
    readonly timing: GroupTiming;
    readonly compaction?: CompactionLimits;
}

export class RaftLog implements ReplicatedLog {
    public readonly group: string;
    public readonly name: string;
    public readonly onApplied: Event<number>;
    public readonly onRoleChange: Event<GroupStatus>;
    private readonly replica: Replica;
    private readonly methods: GroupMethods;
    private readonly elections: Elections;
    private readonly bootstrapper: GroupBootstrapper;
    private readonly leaderAccess: LeaderAccess;
    private readonly log: EventLog;
    private leadership: Leadership | undefined;
    private changer: MemberChanger | undefined;
    /** When the replica was last opened, on the local clock. */
    private openedMs = 0;
    /** True when this host is to campaign at once, since the leader asked it to or it has bootstrapped the group. */
    private shouldCampaign = false;

    public constructor(private readonly options: RaftLogOptions) {
        const { group, self, transport, clock, random, timing } = options;
        this.group = group;
        this.name = `replica of ${group}`;
        this.log = options.log.with({ group });
        this.methods = new GroupMethods(group);
        const storage = new GroupStorage(options.disk, options.dir);
        const { stateMachine, compaction = defaultCompaction } = options;
        this.replica = new Replica(self, storage, stateMachine, compaction, clock);
        const hasLease = () => this.leadership?.hasLease ?? false;
        const life = random.hex(lifeChars);
        this.elections = new Elections(this.replica, this.methods, transport, clock, timing, hasLease, life);
        this.bootstrapper = new GroupBootstrapper(
            this.replica,
            options.initialMembers,
            this.methods,
            transport,
            timing.electionMs,
        );
        this.leaderAccess = new LeaderAccess({
            replica: this.replica,
            methods: this.methods,
            transport,
            clock,
            random,
            pauseMs: timing.heartbeatMs / 4,
            hosts: () => this.possibleLeaders(),
            currentLeadership: () => this.currentLeadership(),
            changer: () => this.changer,
        });
        this.onApplied = this.replica.applied.event;
        this.onRoleChange = listener => this.replica.roleChanged.event(() => listener(this.status()));
        this.registerHandlers();
    }

    /** Runs the replica until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.options;
        while (!signal.aborted) {
            const opened = await this.open();
            if (opened.isRight()) {
                await this.participate(signal);
            }
            const fault = this.replica.fault;
            if (signal.aborted || fault === undefined) {
                continue;
            }
            this.log.event(EventId.ReplicaOutOfService, { ...fault });
            if (fault.kind === "damaged") {
                await untilAborted(signal);
            }
            await clock.sleep(timing.electionMs, signal);
        }
        this.replica.setRole("stopped", undefined);
        this.replica.appendedProposals.loseAll("the host stops");
        await this.replica.exclusive(async () => this.options.disk.close?.());
    }

    /** Hands leadership to another voter before a planned stop. Reports 0 unfinished items; `what` is this service. */
    public async drain(graceMs: number): Promise<{ unfinished: number; what: string; }> {
        const { clock, timing, transport } = this.options;
        const deadlineMs = clock.nowMs() + graceMs;
        const successor = this.leadership?.bestSuccessor();
        if (successor === undefined) {
            return { unfinished: 0, what: this.name };
        }
        this.leadership?.beginHandover();
        while (this.leadership?.isLeading === true && clock.nowMs() < deadlineMs) {
            const matched = this.leadership.follower(successor)?.matchIndex ?? 0;
            if (matched >= this.replica.log.lastIndex) {
                await transport.call(successor, this.methods.takeOver, {}, { timeoutMs: timing.electionMs });
            }
            await this.replica.changed.wait(timing.heartbeatMs);
        }
        this.leadership?.cancelHandover();
        return { unfinished: 0, what: this.name };
    }

    public propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        return this.leaderAccess.propose(command, timeoutMs);
    }

    public async readBarrier(timeoutMs: number): Promise<Either<ReadError, number>> {
        const { clock } = this.options;
        const deadlineMs = clock.nowMs() + timeoutMs;
        const index = await this.leaderAccess.readIndex(timeoutMs);
        while (index.isRight() && this.replica.appliedIndex < index.orDefault(0)) {
            if (clock.nowMs() >= deadlineMs) {
                return Left({ kind: "no-quorum", message: "this host has not received all committed entries" });
            }
            await this.replica.changed.wait(deadlineMs - clock.nowMs());
        }
        return index;
    }

    public changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        return this.leaderAccess.changeMembers(change, timeoutMs);
    }

    public status(): GroupStatus {
        const { replica } = this;
        return {
            group: this.group,
            role: replica.role,
            term: replica.term,
            leader: replica.leader,
            commitIndex: replica.commitIndex,
            appliedIndex: replica.appliedIndex,
            lastIndex: replica.log.lastIndex,
            snapshotIndex: replica.snapshot?.index ?? 0,
            members: membersOf(replica.log.members),
            hasQuorum: this.leadership?.hasLease ?? false,
            fault: replica.fault === undefined ? undefined : describeFault(replica.fault),
        };
    }

    /**
     * How long a member has not replied to this host as leader, in milliseconds; 0 for this host or while it does not
     * lead. Counted at most from the moment at which this host began to lead; for the leader before it, from its last
     * message.
     */
    public silentMs(host: HostId): number {
        const leadership = this.currentLeadership();
        if (leadership === undefined || host === this.options.self) {
            return 0;
        }
        const { heardLeader, heardLeaderMs = leadership.startMs } = this.replica;
        const sinceMs = host === heardLeader ? heardLeaderMs : leadership.startMs;
        return this.options.clock.nowMs() - Math.max(leadership.follower(host)?.contactMs ?? sinceMs, sinceMs);
    }

    /** The status of this host and of each other member that replies. */
    public async statuses(): Promise<ReadonlyMap<HostId, GroupStatus>> {
        const { self, transport, initialMembers } = this.options;
        const { log } = this.replica;
        const hosts = log.members.length > 0 ? log.members.map(member => member.host) : initialMembers.voters;
        const statuses = await collectStatuses(hosts.filter(host => host !== self), this.methods, transport);
        return new Map([[self, this.status()], ...statuses]);
    }

    private async open(): Promise<Either<StorageError, void>> {
        const { replica } = this;
        const { random, clock } = this.options;
        const opened = await replica.exclusive(() => replica.open(() => random.hex(replicaIdChars)));
        opened.ifLeft(error => replica.fail(error));
        replica.leaderContactMs = clock.nowMs();
        this.openedMs = replica.leaderContactMs;
        if (opened.isRight()) {
            this.log.event(EventId.ReplicaOpened, { lastIndex: replica.log.lastIndex, term: replica.term });
        }
        return opened;
    }

    private async participate(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        while (!signal.aborted && replica.fault === undefined) {
            if (!replica.joined) {
                await this.bootstrapOrWait(signal);
                continue;
            }
            const handover = await this.waitForElectionTimeout(signal);
            if (!handover) {
                replica.setRole(replica.nonLeaderRole(), undefined);
            }
            if (signal.aborted || replica.ownMember?.role !== "voter") {
                continue;
            }
            if (await this.elections.campaign(handover, signal)) {
                await this.lead(signal);
            }
        }
    }

    private async bootstrapOrWait(signal: AbortSignal): Promise<void> {
        const { timing } = this.options;
        if (!await this.bootstrapper.tryBootstrap()) {
            await this.replica.changed.wait(timing.heartbeatMs, signal);
            return;
        }
        this.log.event(EventId.GroupFounded, { members: this.replica.log.members });
        this.shouldCampaign = true;
    }

    /**
     * Waits until a random election timeout has passed since the last leader contact or granted vote, and at least for
     * a random share of the election time. True when it ended early because this host is to campaign at once.
     */
    private async waitForElectionTimeout(signal: AbortSignal): Promise<boolean> {
        const { clock, timing, random } = this.options;
        const { replica } = this;
        const startMs = clock.nowMs();
        const retryMs = timing.electionMs * (0.3 + 0.7 * random.next());
        const timeoutMs = timing.electionMs * (1 + electionSpread * random.next());
        const surveyMs = timing.electionMs * (surveyShare + surveySpread * random.next());
        while (!signal.aborted && replica.fault === undefined && !this.shouldCampaign) {
            const contactMs = Math.max(replica.leaderContactMs, replica.voteGrantedMs);
            const dueMs = this.awaitsFirstLeader()
                ? startMs + surveyMs
                : Math.max(startMs + retryMs, contactMs + timeoutMs);
            const waitMs = dueMs - clock.nowMs();
            if (waitMs <= 0) {
                return false;
            }
            await replica.changed.wait(waitMs, signal);
        }
        const isRequested = this.shouldCampaign;
        this.shouldCampaign = false;
        return isRequested;
    }

    /**
     * True after a start until a leader is heard or an election time has passed. Meanwhile this host asks the others
     * whether any of them leads, since all may have been restarted.
     */
    private awaitsFirstLeader(): boolean {
        const { replica } = this;
        const { clock, timing } = this.options;
        return replica.leaderContactMs === this.openedMs && clock.nowMs() - this.openedMs < timing.electionMs;
    }

    private async lead(signal: AbortSignal): Promise<void> {
        const { replica, methods } = this;
        const { transport, clock, timing } = this.options;
        const term = replica.term;
        this.log.event(EventId.LeaderElected, { term, lastIndex: replica.log.lastIndex });
        const context = { term, replica, methods, transport, clock, timing };
        const onDiskHang = (busyMs: number) => this.log.event(EventId.ReplicaDiskHangs, { busyMs });
        const leadership = new Leadership(context, onDiskHang);
        this.leadership = leadership;
        this.changer = new MemberChanger(replica, leadership, clock, timing);
        void this.changer.reconcile(signal);
        await leadership.run(signal);
        this.leadership = undefined;
        this.changer = undefined;
        this.log.event(EventId.LeaderSteppedDown, { term });
    }

    private currentLeadership(): Leadership | undefined {
        return this.leadership?.isLeading === true ? this.leadership : undefined;
    }

    private possibleLeaders(): readonly HostId[] {
        const { voters } = this.replica;
        return voters.length > 0 ? voters.map(member => member.host) : this.options.initialMembers.voters;
    }

    private registerHandlers(): void {
        const { replica, methods, elections } = this;
        const { registry, clock } = this.options;
        const server = new ReplicaServer({
            replica,
            elections,
            follower: new Follower(replica, clock),
            currentLeadership: () => this.currentLeadership(),
            changer: () => this.changer,
            status: () => this.status(),
            takeOver: () => {
                this.shouldCampaign = true;
                replica.changed.notify();
            },
        });
        server.register(methods, registry);
    }
}

/** Resolves once the signal is aborted. */
function untilAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

function describeFault(fault: StorageError): string {
    return fault.kind === "damaged" ? `${fault.file} at ${fault.offset}: ${fault.message}` : fault.message;
}
