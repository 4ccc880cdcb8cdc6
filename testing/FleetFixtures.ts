/** Small fleets for tests: listed endpoints, deployments, a view that tests set, and simulated stage endpoints. */
import assert from "node:assert/strict";
import { Emitter } from "../src/common/Emitter.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type {
    Clock,
    DataCentreId,
    EndpointAddress,
    EndpointId,
    HostId,
    Incarnation,
    Random,
} from "../src/common/Types.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import { EndpointNotices, type ReplyHeaders } from "../src/endpoints/EndpointNotices.js";
import { emptyView } from "../src/fleet/FleetClient.js";
import type { Statement } from "../src/fleet/StatementReports.js";
import type {
    BatchTraits,
    Deployment,
    EndpointCrash,
    EntryHost,
    FleetBounds,
    FleetSource,
    FleetView,
    ListedEndpoint,
    PartKey,
    Route,
    RouteId,
    Service,
    ServiceId,
} from "../src/fleet/Types.js";
import type { CallOutcome, PieceCall, PieceClient, Submission, SubmissionId, WorkState } from "../src/gather/Types.js";
import { createEndpointPermits, type EndpointPermits } from "../src/limits/EndpointPermits.js";
import type { PeerRegistry, PeerTransport } from "../src/peer/Types.js";
import type { EventLog, Labels, Metrics } from "../src/telemetry/Types.js";

export const serviceId = (text: string) => text as ServiceId;
export const centreId = (text: string) => text as DataCentreId;

export const silentLog: EventLog = { event: () => undefined, with: () => silentLog };
/** Label names of each metric, from its first value. */
const labelNames = new Map<string, string>();

function checkLabels(name: string, labels: Labels = {}): void {
    const names = Object.keys(labels).sort().join(" ");
    const first = labelNames.get(name) ?? names;
    labelNames.set(name, first);
    assert.equal(names, first, `labels of the metric ${name}`);
}

/** Records nothing; fails a test in which a metric has other labels than before, whose values would be rejected. */
export const noMetrics: Metrics = {
    count: (name, labels) => checkLabels(name, labels),
    gauge: (name, _, labels) => checkLabels(name, labels),
    latency: () => undefined,
    percentileMs: () => undefined,
    render: async () => "",
};

/**
 * Notices of a host; replies carry them in the headers `leaving` ("1"), `pause` (milliseconds) and `limit` (requests
 * per second).
 */
export function testNotices(
    clock: Clock,
    random: Random = new SeededRandom(1),
    log: EventLog = silentLog,
    limits: EndpointLimits = new EndpointLimits(clock, log, noMetrics),
    brittle: EndpointLimits = new EndpointLimits(clock, log, noMetrics, "brittle"),
): EndpointNotices {
    const decodeNotice = (_: number, { leaving, pause, limit }: ReplyHeaders) => ({
        isLeaving: leaving === "1",
        pauseMs: pause === undefined ? undefined : Number(pause),
        limitPerSecond: limit === undefined ? undefined : Number(limit),
        turnAwaysPerSecond: undefined,
    });
    return new EndpointNotices({ decodeNotice }, limits, brittle, clock, random, log, noMetrics);
}

interface TestPermitParts {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly limits: EndpointLimits;
    readonly brittle?: EndpointLimits;
    readonly peers: PeerRegistry & PeerTransport;
    readonly clock: Clock;
    readonly log?: EventLog;
    readonly metrics?: Metrics;
}

/** The permits of a host, which it lends through `peers`, and borrows there or through `transport`. */
export function testPermits(parts: TestPermitParts, transport?: PeerTransport): EndpointPermits {
    const { peers, clock, log = silentLog, metrics = noMetrics } = parts;
    const brittle = parts.brittle ?? new EndpointLimits(clock, log, metrics, "brittle");
    return createEndpointPermits({
        ...parts,
        bounds: defaultBounds,
        brittle,
        registry: peers,
        transport: transport ?? peers,
        log,
        metrics,
    });
}

export const defaultBounds: FleetBounds = {
    configApplyMs: 2000,
    revokeMs: 5000,
    stopGraceMs: 8000,
    retryShare: 0.2,
    retryWindowMs: 10_000,
    retrySlack: 56,
    coldOverrun: 1.5,
    coldSlack: 5,
};

type EndpointFields = Partial<Omit<ListedEndpoint, "address">> & { readonly address?: string; };

export function listed(id: string, { address = "127.0.0.1:1", ...fields }: EndpointFields = {}): ListedEndpoint {
    return {
        id: id as EndpointId,
        instance: id,
        service: serviceId("s"),
        address: address as EndpointAddress,
        dataCentre: centreId("a"),
        slots: 1,
        isLeaving: false,
        coldLeftMs: 0,
        ...fields,
    };
}

export function entryHosts(count: number): EntryHost[] {
    return Array.from({ length: count }, (_, at) => ({
        host: `10.0.0.${at + 1}` as HostId,
        dataCentre: centreId("a"),
        incarnation: 1 as Incarnation,
        isLive: true,
    }));
}

export function route(fields: Partial<Route> = {}): Route {
    return {
        id: "r" as RouteId,
        host: "h.example",
        pathPrefix: "/a/",
        kind: "idempotent",
        timeoutMs: 5000,
        objectiveMs: 1000,
        priority: 0,
        targets: [{ service: serviceId("s"), weight: 1 }],
        maxEndpoints: 2,
        stages: [],
        isPublic: true,
        ...fields,
    };
}

/** Path of the status check of endpoints. */
export const statusPath = "/status";

export function service(id: string, fields: Partial<Service> = {}): Service {
    return { id: serviceId(id), statusPath, coldMs: 0, coldPerSecond: 0, pieces: undefined, ...fields };
}

export function deployment(routes: readonly Route[], services: readonly Service[]): Deployment {
    return {
        version: 1,
        routes,
        services: new Map(services.map(one => [one.id, one])),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        workspaces: undefined,
    };
}

/** A fleet whose view, and the view's age in milliseconds, are set by tests. */
export class FixedFleet implements FleetSource {
    private readonly changes = new Emitter<FleetView>();
    public readonly onChange = this.changes.event;
    public readonly crashes: EndpointCrash[] = [];
    public readonly soundParts: PartKey[] = [];
    public readonly reachReports: {
        readonly endpoint: string;
        readonly dataCentre: string;
        readonly isReached: boolean;
    }[] = [];
    public readonly statements: Statement[] = [];
    public viewAgeMs = 0;
    /** Age of the roll-outs of the view; that of the view when undefined. */
    public rolloutAgeMs: number | undefined;
    private current = emptyView;

    public set(fields: Partial<FleetView>): void {
        this.current = { ...this.current, ...fields };
        this.changes.fire(this.current);
    }

    public view(): FleetView {
        return this.current;
    }

    public ageMs(): number {
        return this.viewAgeMs;
    }

    public rolloutsAgeMs(): number {
        return this.rolloutAgeMs ?? this.viewAgeMs;
    }

    public reportCrash(crash: EndpointCrash): void {
        this.crashes.push(crash);
    }

    public reportSoundParts(parts: readonly PartKey[]): void {
        this.soundParts.push(...parts);
    }

    public reportStatement(statement: Statement): void {
        this.statements.push(statement);
    }

    public reportReach({ id, dataCentre }: ListedEndpoint, isReached: boolean): void {
        this.reachReports.push({ endpoint: id, dataCentre, isReached });
    }
}

/**
 * Simulated endpoints of a stage. A call takes the time of the service's traits, results are kept up to
 * `resultRoomBytes`, and faults can be set by endpoint.
 */
export class TimedEndpoints implements PieceClient {
    public readonly calls: { readonly endpoint: EndpointId; readonly pieces: readonly PieceCall[]; }[] = [];
    public readonly freed: string[] = [];
    /** Everything that has reached an endpoint: calls, freeing of results and queries of the state. */
    public readonly arrivals: { readonly endpoint: EndpointId; readonly atMs: number; }[] = [];
    /** Factor on the duration of calls, by endpoint; Infinity for one that never replies. */
    public readonly slowness = new Map<string, number>();
    public readonly broken = new Set<string>();
    /** Endpoints whose client throws. */
    public readonly throwing = new Set<string>();
    /** Endpoints that refuse calls for lack of a free slot. */
    public readonly full = new Set<string>();
    /** Endpoints that run calls, and write an earlier refusal ahead of the reply. */
    public readonly repeatingRefusals = new Set<string>();
    /** Endpoints that run calls but whose replies are lost. */
    public readonly endpointsLosingReplies = new Set<string>();
    /** Endpoints whose results can't be fetched any more. */
    public readonly endpointsWithLostResults = new Set<string>();
    /** By endpoint that holds results: the endpoint that can't fetch them from it. */
    public readonly unreachableFrom = new Map<string, string>();
    /** Bytes taken by results that the test's gatherer does not know. */
    public untrackedBytes = 0;
    /** Pieces refused because their result did not fit. */
    public storageShortages = 0;
    /** What endpoints say of themselves in each reply, by endpoint. */
    public readonly says = new Map<string, ReplyHeaders>();
    /** Receives what endpoints say; undefined for none. */
    public notices: EndpointNotices | undefined;
    private readonly busyUntilMs = new Map<EndpointId, number>();
    private readonly held = new Map<EndpointId, Map<string, number>>();
    private resultCount = 0;

    public constructor(
        private readonly clock: Clock,
        private readonly traits: BatchTraits,
        private readonly bytesOf: (call: PieceCall) => number = () => 0,
    ) {}

    public async run(
        endpoint: ListedEndpoint,
        pieces: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        this.throwIfSet(endpoint);
        this.calls.push({ endpoint: endpoint.id, pieces });
        this.arrivals.push({ endpoint: endpoint.id, atMs: this.clock.nowMs() });
        const outcome = await this.reply(endpoint, pieces, timeoutMs, signal);
        this.notices?.observe(endpoint.id, outcome.kind === "full" ? 503 : 200, this.says.get(endpoint.id) ?? {});
        return outcome;
    }

    private throwIfSet({ id }: ListedEndpoint): void {
        if (this.throwing.has(id)) {
            throw new Error("no such port");
        }
    }

    private async reply(
        endpoint: ListedEndpoint,
        pieces: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        if (this.full.has(endpoint.id)) {
            await this.clock.sleep(1);
            return { kind: "full", message: "full" };
        }
        if (this.broken.has(endpoint.id)) {
            await this.clock.sleep(1);
            return { kind: "broken", message: "reset" };
        }
        const factor = this.slowness.get(endpoint.id) ?? 1;
        const workMs = (this.traits.callMs + pieces.length * this.traits.pieceMs) * factor;
        const startMs = Math.max(this.clock.nowMs(), this.busyUntilMs.get(endpoint.id) ?? 0);
        this.busyUntilMs.set(endpoint.id, startMs + workMs);
        const waitMs = startMs + workMs - this.clock.nowMs();
        if (waitMs > timeoutMs) {
            await this.clock.sleep(timeoutMs, signal);
            return { kind: "broken", message: "no reply" };
        }
        const outcomes = pieces.map(piece => this.runPiece(endpoint.id, piece));
        if (outcomes.every(one => one.kind === "fault")) {
            // A call that has no piece to run ends at once.
            this.busyUntilMs.set(endpoint.id, startMs);
            await this.clock.sleep(1);
            return { kind: "replied", outcomes };
        }
        if (this.repeatingRefusals.has(endpoint.id)) {
            await this.clock.sleep(1);
            return { kind: "unproven", message: "refused, unless the reply is an earlier one" };
        }
        if (this.endpointsLosingReplies.has(endpoint.id)) {
            await this.clock.sleep(timeoutMs, signal);
            return { kind: "broken", message: "no reply" };
        }
        await this.clock.sleep(waitMs, signal);
        return { kind: "replied", outcomes };
    }

    public async free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        this.throwIfSet(endpoint);
        this.arrivals.push({ endpoint: endpoint.id, atMs: this.clock.nowMs() });
        for (const handle of handles) {
            this.freed.push(handle);
            this.held.get(endpoint.id)?.delete(handle);
        }
        return undefined;
    }

    public async state(endpoint: ListedEndpoint): Promise<WorkState | undefined> {
        this.throwIfSet(endpoint);
        this.arrivals.push({ endpoint: endpoint.id, atMs: this.clock.nowMs() });
        await this.clock.sleep(2);
        return { isWorking: (this.busyUntilMs.get(endpoint.id) ?? 0) > this.clock.nowMs() };
    }

    private runPiece(endpoint: EndpointId, piece: PieceCall) {
        const held = this.held.get(endpoint) ?? new Map<string, number>();
        this.held.set(endpoint, held);
        const makers = piece.source.kind === "results" ? piece.source.makers.map(one => one.endpoint) : [];
        if (
            makers.some(maker =>
                this.endpointsWithLostResults.has(maker) || this.unreachableFrom.get(maker) === endpoint
            )
        ) {
            return { kind: "fault", fault: "gone" } as const;
        }
        const usedBytes = [...held.values()].reduce((sum, bytes) => sum + bytes, this.untrackedBytes);
        if (usedBytes + this.bytesOf(piece) > this.traits.resultRoomBytes) {
            this.storageShortages += 1;
            return { kind: "fault", fault: "room" } as const;
        }
        this.resultCount += 1;
        const handle = `${endpoint}/${this.resultCount}`;
        held.set(handle, this.bytesOf(piece));
        return { kind: "made", handle } as const;
    }
}

let submissions = 0;

export function submission(fields: Partial<Submission> = {}): Submission {
    submissions += 1;
    return {
        id: `s${submissions}` as SubmissionId,
        service: serviceId("s"),
        cell: undefined,
        onTimeOnly: false,
        request: `r${submissions}`,
        stage: 0,
        pieces: [0],
        source: { kind: "key", key: "k" },
        resultBytes: 0,
        startInMs: 500,
        remainingMs: 5000,
        restMs: 0,
        priority: 0,
        isContinued: false,
        dataCentre: undefined,
        notIn: [],
        ...fields,
    };
}
