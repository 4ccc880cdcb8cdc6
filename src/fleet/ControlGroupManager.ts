/**
 * Maintains the membership of the control group without an operator. A control host outside the group asks to join. The
 * leader adds it as a voter while there are too few voters, otherwise as a standby learner, and replaces a voter that
 * stays silent, or says that it stops, by a learner. Hosts whose disks were wiped are recovered by the replication group
 * itself.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { RaftLog } from "../replication/RaftLog.js";
import type { MemberChange } from "../replication/Types.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { fleetMethods, type JoinReply } from "./FleetMessages.js";

/** Interval of the membership checks of a leader, and of join requests. */
const checkIntervalMs = 100;
const joinIntervalMs = 400;
/** How long a join request is valid; also the longest silence of a learner that may become a voter. */
const joinValidMs = 2000;
/** A host without a known leader for this long asks to join, since it may have been removed meanwhile. */
const maxLeaderlessMs = 1500;
/**
 * A voter that has been silent for this long is replaced. A host that was removed for good counts as a loss only until its
 * successor has caught up, which may be 2 s after the removal; after that the group must bear further losses again.
 */
const replaceAfterMs = 1200;
/** A learner that has been silent for this long is removed; it may join again. */
const removeLearnerAfterMs = 15_000;
/** Time limit for a request to one host. */
const joinTimeoutMs = 500;
/** How long a host that stops waits until a successor has replaced it. */
const leaveTimeoutMs = 1000;
/** Time limit for committing a membership change. */
const changeTimeoutMs = 3000;
/** Lower bound of the wanted number of voters; a larger `lossesBorne` needs more. */
const minVoters = 3;

interface ControlGroupManagerOptions {
    readonly self: HostId;
    readonly log: RaftLog;
    /** Control hosts to ask in addition to the members of the group. */
    readonly seeds: () => readonly HostId[];
    /** Number of hosts with a disk that may be lost at the same time. */
    readonly lossesBorne: number;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly events: EventLog;
}

export class ControlGroupManager implements Service {
    public readonly name = "control-members";
    /** Time of the last join request of each host, on the local clock. */
    private readonly joinRequests = new Map<HostId, number>();
    /** Time of the last request to be replaced of each host, on the local clock. */
    private readonly leaveRequests = new Map<HostId, number>();
    private isStopping = false;
    /** When a leader was last known, on the local clock. */
    private leaderKnownMs: number;

    public constructor(private readonly options: ControlGroupManagerOptions) {
        this.leaderKnownMs = options.clock.nowMs();
        options.registry.handle(fleetMethods.join, async ({ control }) => this.handleJoin(control));
        options.registry.handle(fleetMethods.leave, async ({ control }) => this.handleLeave(control));
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            const { role, leader } = log.status();
            if (leader !== undefined) {
                this.leaderKnownMs = clock.nowMs();
            }
            if (role === "leader") {
                await this.maintainGroup();
            }
            else if (!this.isStopping && this.shouldJoin()) {
                await this.requestJoin(signal);
            }
            await clock.sleep(role === "leader" ? checkIntervalMs : joinIntervalMs, signal);
        }
    }

    /**
     * Hands leadership over and waits until a learner has taken this voter's place, since this host may be removed for
     * good, and further disks may then be lost before its silence is noticed.
     */
    public async drain(graceMs: number): Promise<DrainReport> {
        const { clock, log, self } = this.options;
        this.isStopping = true;
        const untilMs = clock.nowMs() + Math.min(graceMs, leaveTimeoutMs);
        await log.drain(graceMs);
        let hasSuccessor = true;
        while (hasSuccessor && clock.nowMs() < untilMs && log.status().members.voters.includes(self)) {
            const { leader } = log.status();
            const reply = leader === undefined ? undefined : await this.sendRequest(leader, fleetMethods.leave);
            hasSuccessor = reply?.noted !== false || reply.leader !== leader;
            await clock.sleep(checkIntervalMs);
        }
        return { unfinished: 0, what: this.name };
    }

    private handleLeave(control: HostId): JoinReply {
        const { log, clock } = this.options;
        const { role, leader } = log.status();
        this.leaveRequests.set(control, clock.nowMs());
        return { noted: role === "leader" && this.standby() !== undefined, leader };
    }

    private handleJoin(control: HostId): JoinReply {
        const { log, clock, self } = this.options;
        const { role, leader } = log.status();
        if (role === "leader") {
            this.joinRequests.set(control, clock.nowMs());
            return { noted: true, leader: self };
        }
        return { noted: false, leader };
    }

    private shouldJoin(): boolean {
        const { log, clock, self } = this.options;
        const { voters, learners } = log.status().members;
        const isMember = voters.includes(self) || learners.includes(self);
        return !isMember || clock.nowMs() - this.leaderKnownMs > maxLeaderlessMs;
    }

    /** Asks the hosts that may know the leader, following their hints, until one accepts the request. */
    private async requestJoin(signal: AbortSignal): Promise<void> {
        const { log, self, seeds } = this.options;
        const { voters, learners } = log.status().members;
        const contacted = new Set<HostId>([self]);
        const candidates = [...seeds(), ...voters, ...learners];
        for (let host = candidates.shift(); host !== undefined && !signal.aborted; host = candidates.shift()) {
            if (contacted.has(host)) {
                continue;
            }
            contacted.add(host);
            const reply = await this.sendRequest(host, fleetMethods.join);
            if (reply?.noted === true) {
                return;
            }
            if (reply?.leader !== undefined) {
                candidates.unshift(reply.leader);
            }
        }
    }

    private async sendRequest(host: HostId, method: typeof fleetMethods.join): Promise<JoinReply | undefined> {
        const { transport, self } = this.options;
        const reply = await transport.call(host, method, { control: self }, { timeoutMs: joinTimeoutMs });
        return reply.map<JoinReply | undefined>(one => one).orDefault(undefined);
    }

    /** Makes the next membership change that the group needs, if any. */
    private async maintainGroup(): Promise<void> {
        const { log, events } = this.options;
        const change = this.nextChange();
        if (change === undefined) {
            return;
        }
        const end = await log.changeMembers(change, changeTimeoutMs);
        const outcome = end.caseOf({ Left: error => error.message, Right: () => "changed" });
        events.event(EventId.ControlMemberChange, { ...change, outcome, members: log.status().members });
    }

    private nextChange(): MemberChange | undefined {
        const { log, clock, lossesBorne } = this.options;
        const { voters, learners } = log.status().members;
        const joiner = [...this.joinRequests]
            .filter(([host, atMs]) => clock.nowMs() - atMs < joinValidMs && !voters.includes(host))
            .map(([host]) => host)
            .find(host => !learners.includes(host));
        const wantedVoters = Math.max(minVoters, 2 * lossesBorne + 1);
        const standby = this.standby();
        if (joiner !== undefined) {
            return { kind: "add", host: joiner, role: voters.length < wantedVoters ? "voter" : "learner" };
        }
        if (standby !== undefined && voters.length < wantedVoters) {
            return { kind: "add", host: standby, role: "voter" };
        }
        const outgoingVoter = voters.find(host => this.silentMs(host) > replaceAfterMs || this.isLeaving(host));
        if (outgoingVoter !== undefined && voters.length > wantedVoters) {
            // A replacement that adds the new voter may have ended before it removed the old one.
            return { kind: "remove", host: outgoingVoter };
        }
        if (outgoingVoter !== undefined && standby !== undefined) {
            return { kind: "replace", host: outgoingVoter, by: standby };
        }
        const silentLearner = learners.find(host => this.silentMs(host) > removeLearnerAfterMs);
        return silentLearner === undefined ? undefined : { kind: "remove", host: silentLearner };
    }

    /** The learner that has replied last, if any has recently. */
    private standby(): HostId | undefined {
        return this.options.log.status().members.learners
            .filter(host => this.silentMs(host) < joinValidMs && !this.isLeaving(host))
            .sort((a, b) => this.silentMs(a) - this.silentMs(b))[0];
    }

    private isLeaving(host: HostId): boolean {
        const { clock, self } = this.options;
        const requestedMs = this.leaveRequests.get(host);
        return host !== self && requestedMs !== undefined && clock.nowMs() - requestedMs < joinValidMs;
    }

    private silentMs(host: HostId): number {
        return this.options.log.silentMs(host);
    }
}
