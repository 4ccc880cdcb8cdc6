/**
 * Keeps the control hosts' group whole without an operator. A control host that finds itself outside the group asks to
 * join. The leader takes it in, as a voter while voters are wanted, else as a learner that stands by; a voter that
 * stays silent gives its place to a learner. Hosts whose disks were emptied are renewed by the group itself.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { RaftLog } from "../replication/RaftLog.js";
import type { MemberChange } from "../replication/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { fleetMethods, type JoinReply } from "./FleetMessages.js";

const tendEveryMs = 400;
/** A request to join counts for this long. */
const joinValidMs = 2000;
/** A host that has not heard a leader for this long asks to join: it may have been put out meanwhile. */
const leaderlessMs = 1500;
/** A voter that was silent for this long is replaced; longer than an election and a restart take. */
const replaceAfterMs = 2500;
/** A learner that was silent for this long is dropped; it may join again. */
const dropLearnerAfterMs = 15_000;
const joinTimeoutMs = 500;
const changeTimeoutMs = 3000;
const fewestVoters = 3;

interface ControlGroupManagerOptions {
    readonly self: HostId;
    readonly log: RaftLog;
    /** Control hosts to ask besides the members of the group. */
    readonly seeds: () => readonly HostId[];
    /** Hosts with a disk that may be lost at one time. */
    readonly lossesBorne: number;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly events: EventLog;
}

export class ControlGroupManager implements Service {
    public readonly name = "control-members";
    private readonly joining = new Map<HostId, number>();
    private heardLeaderMs: number;

    public constructor(private readonly options: ControlGroupManagerOptions) {
        this.heardLeaderMs = options.clock.nowMs();
        options.registry.handle(fleetMethods.join, async ({ control }) => this.noteJoin(control));
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            const { role, leader } = log.status();
            if (leader !== undefined) {
                this.heardLeaderMs = clock.nowMs();
            }
            if (role === "leader") {
                await this.tend();
            }
            else if (this.mustJoin()) {
                await this.askToJoin(signal);
            }
            await clock.sleep(tendEveryMs, signal);
        }
    }

    private noteJoin(control: HostId): JoinReply {
        const { log, clock, self } = this.options;
        const { role, leader } = log.status();
        if (role === "leader") {
            this.joining.set(control, clock.nowMs());
            return { noted: true, leader: self };
        }
        return { noted: false, leader };
    }

    private mustJoin(): boolean {
        const { log, clock, self } = this.options;
        const { voters, learners } = log.status().members;
        const isMember = voters.includes(self) || learners.includes(self);
        return !isMember || clock.nowMs() - this.heardLeaderMs > leaderlessMs;
    }

    /** Asks every host that may know the leader, and follows what they say. */
    private async askToJoin(signal: AbortSignal): Promise<void> {
        const { log, self, seeds } = this.options;
        const { voters, learners } = log.status().members;
        const asked = new Set<HostId>([self]);
        const open = [...seeds(), ...voters, ...learners];
        for (let host = open.shift(); host !== undefined && !signal.aborted; host = open.shift()) {
            if (asked.has(host)) {
                continue;
            }
            asked.add(host);
            const reply = await this.ask(host);
            if (reply?.noted === true) {
                return;
            }
            if (reply?.leader !== undefined) {
                open.unshift(reply.leader);
            }
        }
    }

    private async ask(host: HostId): Promise<JoinReply | undefined> {
        const { transport, self } = this.options;
        const options = { timeoutMs: joinTimeoutMs };
        const reply = await transport.call(host, fleetMethods.join, { control: self }, options);
        return reply.map<JoinReply | undefined>(one => one).orDefault(undefined);
    }

    /** Makes the next change that the group needs, if any. */
    private async tend(): Promise<void> {
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
        const joiner = [...this.joining]
            .filter(([host, atMs]) => clock.nowMs() - atMs < joinValidMs && !voters.includes(host))
            .map(([host]) => host)
            .find(host => !learners.includes(host));
        const wantedVoters = Math.max(fewestVoters, 2 * lossesBorne + 1);
        const standby = learners.find(host => this.silentMs(host) < joinValidMs);
        if (joiner !== undefined) {
            return { kind: "add", host: joiner, role: voters.length < wantedVoters ? "voter" : "learner" };
        }
        if (standby !== undefined && voters.length < wantedVoters) {
            return { kind: "add", host: standby, role: "voter" };
        }
        const lost = voters.find(host => this.silentMs(host) > replaceAfterMs);
        if (lost !== undefined && standby !== undefined) {
            return { kind: "replace", host: lost, by: standby };
        }
        const gone = learners.find(host => this.silentMs(host) > dropLearnerAfterMs);
        return gone === undefined ? undefined : { kind: "remove", host: gone };
    }

    private silentMs(host: HostId): number {
        return this.options.log.silentMs(host);
    }
}
