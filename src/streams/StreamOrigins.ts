/**
 * Remembers where streams began, so that any host can go on with a stream at the right version after the host that
 * began it has ended. A host tells three others at the start of each attempt, before the first event can arrive; they
 * follow from the stream's key, so that a host which takes it up knows whom to ask.
 */
import { hashText } from "../common/TextHash.js";
import type { Clock, HostId } from "../common/Types.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetSource } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { OriginStore } from "./OriginStore.js";
import { type OriginRecord, streamMethods } from "./StreamMessages.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** Number of other hosts that are told of a stream. */
const keepers = 3;
/** More hosts are asked than were told, since hosts may have joined or returned in between. */
const askedHosts = 5;
/** Streams are assigned to hosts in groups, whose order of hosts is worked out once. */
const groups = 64;
/** Records for one host are sent together after this time; an endpoint takes longer to the first event. */
const sendDelayMs = 10;
const sendTimeoutMs = 300;
const findTimeoutMs = 200;

/** Outcome of a search for a stream's origin. */
export type OriginSearch =
    | { readonly kind: "found"; readonly origin: StreamOrigin; readonly from: HostId; }
    /** No host that replied knows the stream; `silent` hosts did not reply. */
    | { readonly kind: "unknown"; readonly asked: number; readonly silent: number; };

interface StreamOriginsOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class StreamOrigins {
    private readonly store: OriginStore;
    private readonly ranks = new HostRanks();
    private readonly unsent = new Map<HostId, OriginRecord[]>();
    /** Hosts that did not take the last records; only a change is logged. */
    private readonly silent = new Set<HostId>();

    public constructor(private readonly options: StreamOriginsOptions) {
        const { clock, registry } = options;
        this.store = new OriginStore(clock);
        registry.handle(streamMethods.record, async ({ records }) => {
            records.forEach(one => this.store.put(one));
            return {};
        });
        registry.handle(streamMethods.find, async ({ key }) => {
            const found = this.store.get(key);
            return found === undefined ? {} : { found };
        });
    }

    /** Records where an attempt of a request may begin a stream, here and at other hosts. */
    public record(key: string, { service, version }: StreamOrigin, attempt: number): void {
        const record = { key, service, version, attempt };
        this.store.put(record);
        this.firstHosts(key, keepers).forEach(host => this.queue(host, record));
    }

    /** Finds where a stream began; the first host that knows it decides. */
    public async find(key: string): Promise<OriginSearch> {
        const { self, transport, log } = this.options;
        const own = this.store.get(key);
        if (own !== undefined) {
            return { kind: "found", origin: own, from: self };
        }
        const hosts = this.firstHosts(key, askedHosts);
        let waiting = hosts.length;
        let silent = 0;
        return new Promise(resolve => {
            const resolveIfNone = () => waiting === 0 && resolve({ kind: "unknown", asked: hosts.length, silent });
            resolveIfNone();
            for (const host of hosts) {
                const asked = transport.call(host, streamMethods.find, { key }, { timeoutMs: findTimeoutMs });
                inBackground(
                    log,
                    "find-origin",
                    asked.then(reply => {
                        waiting -= 1;
                        silent += reply.isLeft() ? 1 : 0;
                        const found = reply.toMaybe().extract()?.found;
                        if (found !== undefined) {
                            resolve({ kind: "found", origin: found, from: host });
                        }
                        resolveIfNone();
                    }),
                );
            }
        });
    }

    /** The first other live hosts in the order for a stream. */
    private firstHosts(key: string, count: number): readonly HostId[] {
        const { self, fleet } = this.options;
        const group = hashText(key) % groups;
        const ranked = this.ranks.live(`streams ${group}`, undefined, fleet.view().hosts);
        return ranked.slice(0, count + 1).filter(host => host !== self).slice(0, count);
    }

    private queue(host: HostId, record: OriginRecord): void {
        const waiting = this.unsent.get(host);
        if (waiting !== undefined) {
            waiting.push(record);
            return;
        }
        this.unsent.set(host, [record]);
        this.options.clock.setTimer(sendDelayMs, () => inBackground(this.options.log, "send-origins", this.send(host)));
    }

    private async send(host: HostId): Promise<void> {
        const { transport, log, metrics } = this.options;
        const records = this.unsent.get(host) ?? [];
        this.unsent.delete(host);
        const sent = await transport.call(host, streamMethods.record, { records }, { timeoutMs: sendTimeoutMs });
        metrics.count("stream_origins", { outcome: sent.isRight() ? "kept" : "lost" }, records.length);
        sent.ifRight(() => this.silent.delete(host));
        sent.ifLeft(error => {
            if (!this.silent.has(host)) {
                log.event(EventId.StreamOriginsNotKept, { to: host, streams: records.length, ...error });
            }
            this.silent.add(host);
        });
    }
}
