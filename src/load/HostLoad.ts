/**
 * The fleet's load as an entry host knows it: the work of other hosts from the last digest, this host's own work as of
 * now, and the newest statements of endpoints. Each poll of a control host reports this host's own part, which is
 * subtracted from the digest again.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { FleetView, ListedEndpoint, LoadDigest, LoadReporter, ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { isPossible, LoadStatements, usualSpeed } from "./LoadStatements.js";
import { decodeLoad, encodeLoad, EndpointPositions } from "./LoadText.js";
import type {
    EndpointLoad,
    EndpointSpeeds,
    EndpointWork,
    FleetLoad,
    LoadStatement,
    LoadView,
    ServiceLoad,
} from "./Types.js";
import { noWork, type RunningWork, WorkMeter, type WorkSize } from "./WorkMeter.js";

/** An older digest is not used. */
const maxDigestAgeMs = 2000;
/** The digest is used only if it includes this share of the live hosts; the rest may be joining or changing over. */
const minHostShare = 0.8;
/** Statements are reported with the next polls; a lost report is made up for by the following one. */
const reportedStatementAgeMs = 600;
/** Interval between two log lines on unreadable statements of one endpoint. */
const faultIntervalMs = 1000;
/** Time after which a digest counts for a third in averages. */
const averageMs = 4000;

interface HostLoadOptions {
    readonly view: () => FleetView;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

type WorkByEndpoint = ReadonlyMap<EndpointId, EndpointWork>;

interface HeldDigest {
    readonly tag: string;
    readonly key: string;
    readonly hosts: number;
    /** Work of all hosts, as decoded. */
    readonly work: WorkByEndpoint;
    /** When its figures were true, on the local clock. */
    readonly asOfMs: number;
}

export class HostLoad implements LoadView, FleetLoad, EndpointSpeeds, LoadReporter {
    private readonly meter = new WorkMeter();
    private readonly statements: LoadStatements;
    private positionsOf:
        | { readonly endpoints: readonly ListedEndpoint[]; readonly all: EndpointPositions; }
        | undefined;
    private digest: HeldDigest | undefined;
    /** This host's work as last reported, and the part of it that the digest includes. */
    private reported: WorkByEndpoint = new Map();
    private included: WorkByEndpoint = new Map();
    private usualHeld = new Map<EndpointId, number>();
    private averagedMs = -Infinity;
    private reportCount = 0;
    private live: { readonly hosts: FleetView["hosts"]; readonly count: number; } | undefined;
    private isUsable = false;
    private wasUsable = false;
    private lastFaultMs = -Infinity;

    public constructor(private readonly options: HostLoadOptions) {
        this.statements = new LoadStatements(options.clock);
    }

    /** Counts a request that is sent to an endpoint, until it ends. */
    public start(endpoint: EndpointId, size: WorkSize): RunningWork {
        return this.meter.start(endpoint, size);
    }

    /** Records what an endpoint has stated in a reply to this host; undefined when it could not be read. */
    public recordStatement(endpoint: EndpointId, statement: LoadStatement | undefined): void {
        if (statement !== undefined && isPossible(statement)) {
            this.statements.record(endpoint, statement, 0);
            return;
        }
        const { clock, log, metrics } = this.options;
        metrics.count("load_texts_ignored", { kind: "statement" });
        if (clock.nowMs() - this.lastFaultMs >= faultIntervalMs) {
            this.lastFaultMs = clock.nowMs();
            log.event(EventId.LoadStatementIgnored, { endpoint, ...statement });
        }
    }

    /** True while endpoints of the fleet state their speeds. */
    public get hasSpeeds(): boolean {
        return this.statements.hasSpeeds;
    }

    public of(endpoint: EndpointId): EndpointLoad | undefined {
        const { digest } = this;
        if (digest === undefined || !this.checkUsable()) {
            return undefined;
        }
        const all = digest.work.get(endpoint) ?? noWork;
        const included = this.included.get(endpoint) ?? noWork;
        const own = this.meter.of(endpoint);
        const sum = (kind: keyof EndpointWork) => Math.max(0, all[kind] - included[kind]) + own[kind];
        return this.loadOf(endpoint, {
            running: sum("running"),
            prefillTokens: sum("prefillTokens"),
            heldTokens: sum("heldTokens"),
        });
    }

    public ofHost(endpoint: EndpointId): EndpointLoad | undefined {
        return this.wasUsable ? this.loadOf(endpoint, this.meter.of(endpoint)) : undefined;
    }

    public slowness(endpoint: EndpointId): number | undefined {
        const stated = this.statements.of(endpoint);
        return stated?.speed === undefined ? undefined : stated.speed / usualSpeed;
    }

    public ofService(service: ServiceId): ServiceLoad | undefined {
        if (!this.checkUsable()) {
            return undefined;
        }
        const { endpoints, dataCentresOut } = this.options.view();
        let [slots, running, waitingTokens] = [0, 0, 0];
        for (const endpoint of endpoints) {
            if (endpoint.service === service && !endpoint.isLeaving && !dataCentresOut.has(endpoint.dataCentre)) {
                const load = this.of(endpoint.id);
                slots += endpoint.slots;
                running += load?.running ?? 0;
                waitingTokens += load?.prefillTokens ?? 0;
            }
        }
        return { slots, running, waitingTokens, ageMs: this.ageMs() };
    }

    /** Age of the digest's figures in milliseconds; Infinity without one. */
    public ageMs(): number {
        return this.digest === undefined ? Infinity : this.options.clock.nowMs() - this.digest.asOfMs;
    }

    /** Number of reports so far. */
    public get reports(): number {
        return this.reportCount;
    }

    public report() {
        this.reportCount += 1;
        this.reported = this.meter.all();
        const statements = this.statements.recent(reportedStatementAgeMs);
        const summary = { hosts: 1, ageMs: 0, work: this.reported, statements };
        const report = encodeLoad(this.positions(), summary, "report");
        const held = this.digest?.key === this.positions().key ? this.digest.tag : "";
        return { report, held };
    }

    public accept({ tag, text, ageMs, madeMs }: LoadDigest, heldMs: number): void {
        const { clock, log, metrics } = this.options;
        const asOfMs = clock.nowMs() - madeMs - ageMs;
        if (typeof text !== "string") {
            this.digest = this.digest?.tag === tag ? { ...this.digest, asOfMs } : undefined;
        }
        else {
            decodeLoad(text, this.positions(), "digest").caseOf({
                Left: fault => {
                    metrics.count("load_texts_ignored", { kind: "digest" });
                    log.event(EventId.LoadDigestIgnored, { fault: fault.kind, message: fault.message });
                },
                Right: ({ hosts, work, statements }) => {
                    this.digest = { tag, key: this.positions().key, hosts, work, asOfMs };
                    for (const [endpoint, { ageMs: statedAgeMs, ...statement }] of statements) {
                        this.statements.record(endpoint, statement, statedAgeMs + madeMs);
                    }
                },
            });
        }
        if (heldMs >= madeMs) {
            // Otherwise the digest was made before the report of this poll arrived.
            this.included = this.reported;
        }
        this.updateAverages();
        this.checkUsable();
        metrics.gauge("fleet_load_age_ms", Math.min(this.ageMs(), maxDigestAgeMs));
        metrics.gauge("fleet_load_hosts", this.digest?.hosts ?? 0);
    }

    private loadOf(endpoint: EndpointId, work: EndpointWork): EndpointLoad {
        return {
            ...work,
            slowness: this.statements.fadingSlowness(endpoint),
            waiting: this.statements.of(endpoint)?.waiting ?? 0,
            usualHeldTokens: this.usualHeld.get(endpoint) ?? 0,
        };
    }

    private updateAverages(): void {
        const nowMs = this.options.clock.nowMs();
        const newestWeight = 1 - Math.exp((this.averagedMs - nowMs) / averageMs);
        this.averagedMs = nowMs;
        const averages = new Map<EndpointId, number>();
        for (const id of this.positions().ids) {
            const before = this.usualHeld.get(id) ?? 0;
            const newest = this.digest?.work.get(id)?.heldTokens ?? 0;
            averages.set(id, before + newestWeight * (newest - before));
        }
        this.usualHeld = averages;
    }

    /** True while the digest may be used; a change is logged. */
    private checkUsable(): boolean {
        const ageMs = this.ageMs();
        const hosts = this.digest?.hosts ?? 0;
        const isUsable = ageMs <= maxDigestAgeMs && hosts >= this.liveHosts() * minHostShare;
        if (isUsable !== this.isUsable) {
            this.isUsable = isUsable;
            this.wasUsable ||= isUsable;
            const event = isUsable ? EventId.FleetLoadUsable : EventId.FleetLoadUnusable;
            const roundedMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
            this.options.log.event(event, { ageMs: roundedMs, hosts, live: this.liveHosts() });
        }
        return isUsable;
    }

    /** Number of live hosts, counted once for each list of them. */
    private liveHosts(): number {
        const { hosts } = this.options.view();
        if (this.live?.hosts !== hosts) {
            this.live = { hosts, count: hosts.filter(one => one.isLive).length };
        }
        return this.live.count;
    }

    private positions(): EndpointPositions {
        const { endpoints } = this.options.view();
        if (this.positionsOf?.endpoints !== endpoints) {
            this.positionsOf = { endpoints, all: new EndpointPositions(endpoints.map(one => one.id)) };
        }
        return this.positionsOf.all;
    }
}
