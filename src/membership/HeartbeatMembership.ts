/**
 * Membership by heartbeats between the hosts of a data centre, with one task for each peer and one for each other data
 * centre, which polls one of its hosts for a summary. A peer counts as alive only while it answers this host's
 * heartbeats, so that two hosts with a one-way cut between them agree that they can't reach each other.
 */
import { setMaxListeners } from "node:events";
import * as z from "zod";
import { Emitter } from "../common/Emitter.js";
import type { Clock, DataCentreId, Event, HostId, Incarnation } from "../common/Types.js";
import type { TimingSettings } from "../config/Schema.js";
import type { ConfigSource } from "../config/Types.js";
import {
    definePeerMethod,
    type PeerError,
    type PeerMethod,
    type PeerRegistry,
    type PeerTransport,
} from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { heartbeatTimingFor } from "./HeartbeatTiming.js";
import { type HeartbeatPayload, PeerHost } from "./PeerHost.js";
import type { HostView, Membership, MembershipView, PlatformList } from "./Types.js";

/** A host that is off the platform's list and silent for this many times `unreachableMs` is dead. */
const delistedSilenceFactor = 10;
/** Timing that applies until a configuration is available. */
const defaultTiming = { heartbeatMs: 250, unreachableMs: 1200, peerTimeoutMs: 1000 };
/** Maximum number of unanswered heartbeats to one peer at a time. */
const maxPendingHeartbeats = 8;
/** Interval between two summaries of another data centre, in heartbeats. */
const summaryEveryHeartbeats = 8;
/** Interval between two checks of the configured hosts, in heartbeats. */
const hostCheckEveryHeartbeats = 1;

const heartbeatSchema = z.object({
    incarnation: z.number(),
    leaving: z.boolean(),
    seesYou: z.boolean(),
    accountsForAll: z.boolean(),
});

interface Summary {
    readonly aliveHosts: number;
}

const heartbeat: PeerMethod<HeartbeatPayload, HeartbeatPayload> = definePeerMethod(
    "membership.heartbeat",
    heartbeatSchema as unknown as z.ZodType<HeartbeatPayload>,
);
const summary: PeerMethod<Record<string, never>, Summary> = definePeerMethod("membership.summary", z.object({}));

export interface HeartbeatMembershipOptions {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly config: ConfigSource;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly platform?: PlatformList | undefined;
}

export class HeartbeatMembership implements Membership {
    public readonly name = "membership";
    public readonly self: HostId;
    public readonly dataCentre: DataCentreId;
    public readonly incarnation: Incarnation;
    private readonly peers = new Map<HostId, PeerHost>();
    private readonly remote = new Map<DataCentreId, { reachable: boolean; aliveHosts: number; }>();
    private readonly changes = new Emitter<MembershipView>();
    private leaving = false;
    private wasCertain = false;
    /** When the peers' states were last updated; an old time means that the process was stalled. */
    private updatedAtMs: number;

    public readonly onChange: Event<MembershipView> = this.changes.event;

    public constructor(private readonly options: HeartbeatMembershipOptions) {
        this.self = options.self;
        this.dataCentre = options.dataCentre;
        this.incarnation = options.incarnation;
        this.updatedAtMs = options.clock.nowMs();
        options.registry.handle(heartbeat, async (payload, from) => this.answerHeartbeat(payload, from));
        options.registry.handle(summary, async () => ({
            aliveHosts: this.view().local.filter(one => one.state === "alive").length,
        }));
    }

    public view(): MembershipView {
        if (this.hasStalled()) {
            // Information from before the stall is outdated, also for callers that run before the next heartbeat.
            this.remote.clear();
            this.updateStates();
        }
        return { local: this.localView(), certain: this.isCertain(), remote: this.remote };
    }

    public announceLeaving(): void {
        this.leaving = true;
        this.updateStates();
        this.changes.fire(this.view());
    }

    public async run(signal: AbortSignal): Promise<void> {
        // Each peer's task adds a listener to the signal; the default maximum would log a warning.
        setMaxListeners(0, signal);
        const tasks = new Map<string, { readonly stop: AbortController; readonly done: Promise<void>; }>();
        while (!signal.aborted) {
            const wanted = this.wantedTasks();
            for (const [key, start] of wanted) {
                if (!tasks.has(key)) {
                    const stop = new AbortController();
                    tasks.set(key, { stop, done: start(AbortSignal.any([signal, stop.signal])) });
                }
            }
            for (const [key, task] of tasks) {
                if (!wanted.has(key)) {
                    task.stop.abort();
                    tasks.delete(key);
                }
            }
            this.updateStates();
            await this.options.clock.sleep(this.timing.heartbeatMs * hostCheckEveryHeartbeats, signal);
        }
        await Promise.all([...tasks.values()].map(task => task.done));
    }

    private get timing(): Pick<TimingSettings, "heartbeatMs" | "unreachableMs" | "peerTimeoutMs"> {
        const timing = this.options.config.current()?.settings.timing ?? defaultTiming;
        const { peerTimeoutMs } = timing;
        return { ...heartbeatTimingFor(timing, this.hostsOf(this.dataCentre).length), peerTimeoutMs };
    }

    private localView(): HostView[] {
        const nowMs = this.options.clock.nowMs();
        const own: HostView = {
            host: this.self,
            dataCentre: this.dataCentre,
            state: this.leaving ? "leaving" : "alive",
            incarnation: this.incarnation,
            sinceMs: nowMs,
        };
        const others = [...this.peers.values()].map(peer => ({
            host: peer.host,
            dataCentre: this.dataCentre,
            state: peer.state,
            incarnation: peer.incarnation,
            sinceMs: peer.sinceMs,
        }));
        return [own, ...others].sort((a, b) => (a.host < b.host ? -1 : 1));
    }

    /** True when every configured peer is known to be up or dead, and those that are up also reach this host. */
    private accountsForAll(): boolean {
        const configured = this.hostsOf(this.dataCentre).filter(host => host !== this.self);
        return this.options.config.current() !== undefined && configured.every(host => {
            const peer = this.peers.get(host);
            return peer !== undefined && (peer.state === "dead" || peer.isMutuallyReachable);
        });
    }

    private isCertain(): boolean {
        return this.accountsForAll() && [...this.peers.values()].every(peer => !peer.isUp || peer.accountsForAll);
    }

    private hostsOf(dataCentre: DataCentreId): HostId[] {
        const hosts = this.options.config.current()?.settings.hosts ?? {};
        return Object.entries(hosts)
            .filter(([, host]) => host.dataCentre === dataCentre)
            .map(([id]) => id as HostId)
            .sort();
    }

    private wantedTasks(): Map<string, (signal: AbortSignal) => Promise<void>> {
        const wanted = new Map<string, (signal: AbortSignal) => Promise<void>>();
        const local = this.hostsOf(this.dataCentre).filter(host => host !== this.self);
        for (const host of local) {
            wanted.set(`host/${host}`, signal => this.runPeer(host, signal));
        }
        for (const host of [...this.peers.keys()].filter(known => !local.includes(known))) {
            this.peers.delete(host);
        }
        const dataCentres = Object.keys(this.options.config.current()?.settings.dataCentres ?? {}) as DataCentreId[];
        for (const dataCentre of dataCentres.filter(one => one !== this.dataCentre)) {
            wanted.set(`data-centre/${dataCentre}`, signal => this.runSummary(dataCentre, signal));
        }
        return wanted;
    }

    private getOrCreatePeer(host: HostId): PeerHost {
        const peer = this.peers.get(host) ?? new PeerHost(host, this.options.clock.nowMs());
        this.peers.set(host, peer);
        return peer;
    }

    /** Sends heartbeats to one peer at regular intervals, without waiting for the answers to earlier ones. */
    private async runPeer(host: HostId, signal: AbortSignal): Promise<void> {
        const peer = this.getOrCreatePeer(host);
        let pending = 0;
        while (!signal.aborted) {
            if (pending < maxPendingHeartbeats) {
                pending += 1;
                void this.sendHeartbeat(peer, signal).finally(() => pending -= 1);
            }
            await this.options.clock.sleep(this.timing.heartbeatMs, signal);
        }
    }

    private async sendHeartbeat(peer: PeerHost, signal: AbortSignal): Promise<void> {
        const { clock, transport } = this.options;
        const sentAtMs = clock.nowMs();
        const timeoutMs = Math.min(this.timing.peerTimeoutMs, this.timing.unreachableMs);
        const reply = await transport.call(peer.host, heartbeat, this.payloadFor(peer), { timeoutMs, signal });
        reply.caseOf({
            Left: error => this.recordFailure(peer, error),
            Right: payload => this.recordAnswer(peer, payload, sentAtMs),
        });
        this.updateStates();
    }

    /**
     * Polls another data centre for its summary. Keeps to the host that answered last, and tries the others in turn
     * when it does not answer.
     */
    private async runSummary(dataCentre: DataCentreId, signal: AbortSignal): Promise<void> {
        const { clock, transport } = this.options;
        let nextIndex = 0;
        while (!signal.aborted) {
            const { heartbeatMs, peerTimeoutMs } = this.timing;
            const hosts = this.hostsOf(dataCentre);
            let found: Summary | undefined;
            for (let tried = 0; tried < hosts.length && found === undefined && !signal.aborted; tried += 1) {
                const host = hosts[nextIndex % hosts.length];
                if (host !== undefined) {
                    const reply = await transport.call(host, summary, {}, { timeoutMs: peerTimeoutMs, signal });
                    found = reply.caseOf({ Left: () => undefined, Right: value => value });
                }
                nextIndex += found === undefined ? 1 : 0;
            }
            this.recordSummary(dataCentre, found);
            await clock.sleep(heartbeatMs * summaryEveryHeartbeats, signal);
        }
    }

    private recordSummary(dataCentre: DataCentreId, found: Summary | undefined): void {
        const former = this.remote.get(dataCentre);
        const next = { reachable: found !== undefined, aliveHosts: found?.aliveHosts ?? 0 };
        this.remote.set(dataCentre, next);
        if (former?.reachable !== next.reachable || former.aliveHosts !== next.aliveHosts) {
            this.changes.fire(this.view());
        }
    }

    private payloadFor(peer: PeerHost): HeartbeatPayload {
        return {
            incarnation: this.incarnation,
            leaving: this.leaving,
            seesYou: peer.isUp,
            accountsForAll: this.accountsForAll(),
        };
    }

    private answerHeartbeat(payload: HeartbeatPayload, from: HostId): HeartbeatPayload {
        const peer = this.peers.get(from);
        if (peer !== undefined && payload.incarnation > peer.incarnation && peer.incarnation > 0) {
            // The peer has restarted, and its new process has not answered a heartbeat of this host yet.
            this.recordAnswer(peer, payload, Number.NEGATIVE_INFINITY);
            this.updateStates();
        }
        return this.payloadFor(peer ?? new PeerHost(from, 0));
    }

    private recordAnswer(peer: PeerHost, payload: HeartbeatPayload, sentAtMs: number): void {
        if (peer.recordAnswer(payload, sentAtMs)) {
            this.options.log.event(EventId.HostRestarted, { host: peer.host, incarnation: payload.incarnation });
        }
    }

    private recordFailure(peer: PeerHost, error: PeerError): void {
        if (error.kind === "unreachable" && error.refused === true) {
            peer.recordRefusal();
        }
    }

    /** True when this process has not run for so long that the information on every peer is outdated. */
    private hasStalled(): boolean {
        return this.options.clock.nowMs() - this.updatedAtMs >= this.timing.unreachableMs;
    }

    private updateStates(): void {
        const nowMs = this.options.clock.nowMs();
        this.updatedAtMs = nowMs;
        const { unreachableMs } = this.timing;
        let changed = false;
        for (const peer of this.peers.values()) {
            if (peer.updateState(nowMs, unreachableMs, this.isDelisted(peer, nowMs, unreachableMs))) {
                changed = true;
                this.options.log.event(EventId.HostStateChanged, { host: peer.host, state: peer.state });
            }
        }
        const certain = this.isCertain();
        if (certain !== this.wasCertain) {
            this.wasCertain = certain;
            changed = true;
            this.options.log.event(EventId.ViewCertaintyChanged, { certain });
        }
        if (changed) {
            this.changes.fire(this.view());
        }
    }

    /** True when the platform no longer lists the peer. The list lags, so it counts only after a long silence. */
    private isDelisted(peer: PeerHost, nowMs: number, unreachableMs: number): boolean {
        const list = this.options.platform?.latest();
        const silentMs = nowMs - peer.sinceMs;
        return list !== undefined && peer.state === "unreachable" && silentMs >= delistedSilenceFactor * unreachableMs
            && !list.some(entry => entry.id === peer.host);
    }
}
