/**
 * What one control host tells entry hosts. Agreed state comes from the replicated log; the list of endpoints and the
 * hosts that were heard travel through the leader. Each exchange with the leader also proves up to when this host's
 * state was the newest, which the leases of entry hosts rest on.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { Notifier } from "../replication/Notifier.js";
import type { RaftLog } from "../replication/RaftLog.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { EndpointListReader } from "./EndpointListReader.js";
import { EntryHostRegistry } from "./EntryHostRegistry.js";
import {
    type AgedEndpoints,
    compressText,
    type EntryHostStatus,
    fleetMethods,
    type HeldTags,
    type LeaderSyncReply,
    type LeaderSyncRequest,
    type SyncReply,
    type SyncRequest,
    tagOf,
} from "./FleetMessages.js";
import type { FleetState } from "./FleetState.js";

/** Between two exchanges with the leader; a small part of the time within which a change must be in force. */
const exchangeEveryMs = 300;
/** Bound on one exchange with the leader. */
const exchangeTimeoutMs = 500;
/** A reply to an entry host is held back for this long at most. */
const maxHoldMs = 1000;
/** Bound on committing marks of crashes. */
const markTimeoutMs = 2000;

/** What entry hosts may be told at one moment, with the tags by which they say what they hold. */
interface FleetSnapshot {
    readonly endpoints: AgedEndpoints;
    readonly hosts: readonly EntryHostStatus[];
    readonly marks: Pick<FleetState, "dataCentresOut" | "quarantined">;
    readonly tags: HeldTags;
}

interface FleetPublisherOptions {
    readonly self: HostId;
    readonly log: RaftLog;
    readonly state: FleetState;
    readonly reader: () => EndpointListReader;
    /** Control hosts that entry hosts may ask. */
    readonly controls: () => readonly HostId[];
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    /** Counts suspensions, so that freshness ends during one. */
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}

export class FleetPublisher implements Service {
    public readonly name = "fleet-board";
    private readonly heard: EntryHostRegistry;
    private readonly news: Notifier;
    /** Wakes the exchange when there is another leader to ask. */
    private readonly roleChanges: Notifier;
    private packed: { readonly version: number; readonly text: string; } | undefined;
    /** Until when this host's state is known to have been the newest. */
    private freshUntilMs: number | undefined;
    private isFresh = false;

    public constructor(private readonly options: FleetPublisherOptions) {
        const { clock, registry, log } = options;
        this.heard = new EntryHostRegistry(clock);
        this.news = new Notifier(clock);
        this.roleChanges = new Notifier(clock);
        log.onApplied(() => this.news.notify());
        log.onRoleChange(() => this.roleChanges.notify());
        registry.handle(fleetMethods.sync, req => this.sync(req));
        registry.handle(fleetMethods.board, req => this.board(req));
    }

    /** Wakes entry hosts that wait for news. */
    public notify(): void {
        this.news.notify();
    }

    /** For how long a newer state may have existed; undefined when this host's state was never known to be the newest. */
    public get ageMs(): number | undefined {
        return this.freshUntilMs === undefined ? undefined : this.options.clock.nowMs() - this.freshUntilMs;
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, log } = this.options;
        while (!signal.aborted) {
            const startMs = clock.nowMs();
            const fresh = log.status().role === "leader" ? await this.confirmOwn() : await this.exchange();
            if (fresh) {
                this.freshUntilMs = startMs;
            }
            this.noteFreshness(fresh);
            await this.roleChanges.wait(exchangeEveryMs, signal);
        }
    }

    private async confirmOwn(): Promise<boolean> {
        return (await this.options.log.readBarrier(exchangeTimeoutMs)).isRight();
    }

    /** Tells the leader what was heard here, and learns what it knows. True when this host's state is as new. */
    private async exchange(): Promise<boolean> {
        const { log, self, transport, reader, clock } = this.options;
        const { leader } = log.status();
        if (leader === undefined || leader === self) {
            return false;
        }
        const endpointsTag = reader().current().tag;
        const req = { control: self, hosts: this.heard.list(), endpointsTag };
        const reply = await transport.call(leader, fleetMethods.board, req, { timeoutMs: exchangeTimeoutMs });
        const board = reply.orDefault({ kind: "not-leader" });
        if (board.kind === "not-leader") {
            return false;
        }
        board.hosts.forEach(host => this.heard.record(host));
        if (board.endpoints !== undefined) {
            reader().adoptIfNewer(board.endpoints);
        }
        else if (reader().current().tag === endpointsTag) {
            reader().confirm(board.endpointsAgeMs);
        }
        const untilMs = clock.nowMs() + exchangeTimeoutMs;
        while (log.status().appliedIndex < board.commitIndex && clock.nowMs() < untilMs) {
            await this.news.wait(untilMs - clock.nowMs());
        }
        return log.status().appliedIndex >= board.commitIndex;
    }

    /** Answers another control host, while this host leads and is sure of it. */
    private async board(req: LeaderSyncRequest): Promise<LeaderSyncReply> {
        const { log, reader } = this.options;
        req.hosts.forEach(host => this.heard.record(host));
        const read = log.status().role === "leader" ? await log.readBarrier(exchangeTimeoutMs) : undefined;
        return read === undefined || read.isLeft() ? { kind: "not-leader" } : {
            kind: "board",
            commitIndex: read.unsafeCoerce(),
            hosts: this.heard.list(),
            ...(req.endpointsTag === reader().current().tag ? {} : { endpoints: reader().current() }),
            endpointsAgeMs: reader().current().ageMs,
        };
    }

    /** Answers an entry host: at once when there is news for it, else when there is, or after a while. */
    private async sync(req: SyncRequest): Promise<SyncReply> {
        const { clock, metrics } = this.options;
        const { host, dataCentre, incarnation, isLeaving } = req;
        this.heard.record({ host, dataCentre, incarnation, isLeaving, silentMs: 0 });
        if (req.crashes.length > 0) {
            void this.markCrashes(req.crashes);
        }
        metrics.count("syncs");
        const startMs = clock.nowMs();
        const untilMs = startMs + Math.min(req.waitMs, maxHoldMs);
        let board = this.look();
        while (!hasNews(board, req) && clock.nowMs() < untilMs) {
            await this.news.wait(untilMs - clock.nowMs());
            board = this.look();
        }
        return this.replyTo(req, board, clock.nowMs() - startMs);
    }

    private async markCrashes(fingerprints: readonly string[]): Promise<void> {
        const { log, events, clock } = this.options;
        const command = { kind: "mark-crashes", fingerprints, atMs: clock.wallMs() };
        const marked = await log.propose(command, markTimeoutMs);
        marked.ifLeft(error => events.event(EventId.CrashMarksNotRecorded, { ...error, fingerprints }));
    }

    /** What an entry host may be told now, with the tags of its parts. */
    private look(): FleetSnapshot {
        const { state, reader } = this.options;
        const { dataCentresOut, quarantined } = state;
        const endpoints = reader().current();
        const hosts = this.heard.list();
        return {
            endpoints,
            hosts,
            marks: { dataCentresOut, quarantined },
            tags: {
                config: state.version,
                endpoints: endpoints.tag,
                // Changes when a host comes or goes or falls silent, not with every call of a host.
                hosts: tagOf(hosts.map(one => [one.host, one.incarnation, isLive(one)])),
                marks: tagOf([dataCentresOut, quarantined]),
            },
        };
    }

    private replyTo(
        { held }: SyncRequest,
        { endpoints, hosts, marks, tags }: FleetSnapshot,
        heldMs: number,
    ): SyncReply {
        return {
            ageMs: this.ageMs,
            heldMs,
            controls: this.options.controls(),
            endpointsAgeMs: endpoints.ageMs,
            ...(tags.config > held.config ? { config: this.packedConfig() } : {}),
            ...(tags.endpoints === held.endpoints ? {} : { endpoints }),
            ...(tags.hosts === held.hosts ? {} : { hosts: { tag: tags.hosts, hosts } }),
            ...(tags.marks === held.marks ? {} : { marks: { tag: tags.marks, ...marks } }),
        };
    }

    private packedConfig(): { readonly version: number; readonly packed: string; } {
        const { version, text } = this.options.state;
        if (this.packed?.version !== version) {
            this.packed = { version, text: compressText(text) };
        }
        return { version, packed: this.packed.text };
    }

    private noteFreshness(fresh: boolean): void {
        if (fresh !== this.isFresh) {
            this.isFresh = fresh;
            const { leader, term, appliedIndex } = this.options.log.status();
            const event = fresh ? EventId.FleetStateConfirmed : EventId.FleetStateUnconfirmed;
            this.options.events.event(event, { leader, term, appliedIndex, ageMs: this.ageMs });
        }
    }
}

function hasNews({ tags }: FleetSnapshot, { held }: SyncRequest): boolean {
    return tags.config > held.config
        || tags.endpoints !== held.endpoints
        || tags.marks !== held.marks
        || tags.hosts !== held.hosts;
}

/** True while a host may be given work by others. */
export function isLive({ silentMs, isLeaving }: EntryHostStatus): boolean {
    return silentMs < silentAfterMs && !isLeaving;
}

/** An entry host that was not heard for this long counts as gone; it asks about once a second. */
const silentAfterMs = 2500;
