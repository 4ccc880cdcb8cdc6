/**
 * Decides whether this host connects to an endpoint directly or through another host. An endpoint that another host
 * reaches while this one does not has no fault: this host's path to it is lost. Connections to it go through other
 * hosts from then on, and after the loss of two paths without a direct connection in between, those to all endpoints.
 * Lost paths are tried at intervals, one endpoint of each service, and used again as soon as they work.
 */
import type { Socket } from "node:net";
import { type Either, Left } from "purify-ts";
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, DataCentreId, EndpointId, HostId } from "../common/Types.js";
import type { EndpointDetours } from "../endpoints/DetourAgent.js";
import type { ConnectError } from "../endpoints/EndpointConnections.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { FleetSource, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { TunnelClient, TunnelError } from "../peer/TunnelClient.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { DirectDialer } from "./DirectDialer.js";

/** Time limit for a tunnel: two connections of the peer, one after the other, and the way to it. */
const tunnelMs = 220;
/** Time limit for the statement of a peer that a tunnel has ended in order. */
const confirmEndMs = 1000;
/** Number of hosts that are asked for a tunnel at the same time, and how often others are asked after them. */
const askedAtOnce = 2;
const maxRounds = 2;
/** A host that could not open a tunnel is asked last for this long. */
const avoidMs = 1000;
/**
 * After a sound host has not reached an endpoint either, no other one is asked for this long, four times as long each
 * further time up to the maximum. A start of an endpoint that has ended stays in the list for seconds.
 */
const fruitlessMs = 500;
const fruitlessFactor = 4;
const maxFruitlessMs = 4000;
/** After nobody could tell, others are asked again for an endpoint whose path is not known to be lost only after this. */
const unjudgedPauseMs = 250;
/** Lost paths, without a direct connection since the first loss, after which all paths count as lost. */
const lossesUntilCutOff = 2;
/** Interval at which lost paths are tried. */
const probeIntervalMs = 250;
/** Maximum numbers of endpoints and hosts that are remembered; the oldest are forgotten first. */
const maxFruitless = 512;
const maxAvoided = 512;

interface LostPath {
    readonly endpoint: ListedEndpoint;
    readonly sinceMs: number;
}

/** A detour that is not tried for a while. */
interface FruitlessDetour {
    readonly error: TunnelError;
    readonly forMs: number;
    readonly untilMs: number;
}

interface EndpointPathsOptions {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly fleet: FleetSource;
    readonly dialer: Pick<DirectDialer, "reaches" | "recordConnected">;
    readonly tunnels: Pick<TunnelClient, "open" | "confirmsEnd">;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class EndpointPaths implements EndpointDetours, Service {
    public readonly name = "endpoint-paths";
    private readonly lost = new Map<EndpointId, LostPath>();
    /** When all paths were lost; undefined while they are not. */
    private cutOffMs: number | undefined;
    private connectedMs = -Infinity;
    private readonly avoidUntilMs = new BoundedMap<HostId, number>(maxAvoided);
    private readonly fruitless = new BoundedMap<EndpointId, FruitlessDetour>(maxFruitless);
    /** Detours that nobody could judge. */
    private readonly unjudged = new BoundedMap<EndpointId, FruitlessDetour>(maxFruitless);
    /** First detours to endpoints whose paths are not known to be lost; further ones wait for them. */
    private readonly opening = new Map<EndpointId, Promise<Either<TunnelError, Socket>>>();
    private readonly throughHost = new WeakMap<Socket, HostId>();
    /** Wakes the task that tries lost paths. */
    private notifyLost: () => void = () => undefined;
    /** Service whose path was tried last. */
    private probed: ServiceId | undefined;

    public constructor(private readonly options: EndpointPathsOptions) {}

    public get isAvailable(): boolean {
        const { self, fleet } = this.options;
        return fleet.view().hosts.some(one => one.isLive && one.host !== self);
    }

    public isPreferred(endpoint: EndpointId): boolean {
        return this.cutOffMs !== undefined || this.lost.has(endpoint);
    }

    public throughOf(socket: Socket): HostId | undefined {
        return this.throughHost.get(socket);
    }

    public async confirmsEnd(socket: Socket, signal: AbortSignal): Promise<boolean> {
        const through = this.throughOf(socket);
        return through !== undefined
            && await this.options.tunnels.confirmsEnd(through, socket, { timeoutMs: confirmEndMs, signal });
    }

    /**
     * Opens a connection through the first of several hosts that reaches the endpoint. While the path to it is not known to
     * be lost, the endpoint has probably ended, with all its requests: one of these asks other hosts for all.
     */
    public async open(id: EndpointId, signal: AbortSignal): Promise<Either<TunnelError, Socket>> {
        const first = this.opening.get(id);
        if (first !== undefined) {
            const failed = await first;
            if (failed.isLeft() && failed.extract().kind !== "aborted") {
                return failed;
            }
        }
        const opened = this.openNew(id, signal);
        if (this.isPreferred(id) || this.opening.has(id)) {
            return opened;
        }
        this.opening.set(id, opened);
        return opened.finally(() => this.opening.delete(id));
    }

    private async openNew(id: EndpointId, signal: AbortSignal): Promise<Either<TunnelError, Socket>> {
        const { clock, log, metrics } = this.options;
        const startMs = clock.nowMs();
        const endpoint = this.find(id);
        if (endpoint !== undefined && this.options.fleet.view().cutOff.has(endpoint.dataCentre)) {
            return Left({ kind: "cut-off", message: "no host of this data centre reaches that of the endpoint" });
        }
        const known = this.fruitless.get(id);
        if (known !== undefined && known.untilMs > clock.nowMs()) {
            return Left(known.error);
        }
        const unjudged = this.isPreferred(id) ? undefined : this.unjudged.get(id);
        if (unjudged !== undefined && unjudged.untilMs > clock.nowMs()) {
            return Left(unjudged.error);
        }
        let result: Either<TunnelError, Socket> = Left({ kind: "unavailable", message: "no other host is known" });
        const helpers = this.helpersFor(id);
        for (let round = 0; round < maxRounds && result.isLeft() && !signal.aborted; round++) {
            const asked = helpers.slice(round * askedAtOnce, (round + 1) * askedAtOnce);
            result = asked.length === 0 ? result : await this.openFirst(asked, id, signal);
            if (result.isLeft() && result.extract().kind !== "unavailable") {
                break;
            }
        }
        result.ifRight(() => this.fruitless.delete(id)).ifLeft(error => {
            if (error.kind === "refused" || error.kind === "timeout") {
                const forMs = known === undefined
                    ? fruitlessMs
                    : Math.min(known.forMs * fruitlessFactor, maxFruitlessMs);
                this.fruitless.set(id, { error, forMs, untilMs: clock.nowMs() + forMs });
            }
            else if (error.kind === "unavailable" && helpers.length > 0 && !this.isPreferred(id)) {
                this.unjudged.set(id, { error, forMs: unjudgedPauseMs, untilMs: clock.nowMs() + unjudgedPauseMs });
            }
        });
        const takenMs = Math.round(clock.nowMs() - startMs);
        log.event(EventId.DetourTried, {
            endpoint: id,
            takenMs,
            ...result.caseOf<object>({ Left: error => error, Right: socket => ({ through: this.throughOf(socket) }) }),
        });
        metrics.count("detours", { outcome: result.caseOf({ Left: error => error.kind, Right: () => "open" }) });
        return result;
    }

    public recordConnected(id: EndpointId): void {
        const endpoint = this.find(id);
        this.connectedMs = this.options.clock.nowMs();
        this.fruitless.delete(id);
        if (endpoint !== undefined) {
            this.options.dialer.recordConnected(endpoint);
        }
    }

    public recordDetour(id: EndpointId, { kind, message }: ConnectError, through: HostId | undefined): void {
        const { clock, log } = this.options;
        const endpoint = this.find(id);
        if (endpoint === undefined || this.lost.has(id)) {
            return;
        }
        this.lost.set(id, { endpoint, sinceMs: clock.nowMs() });
        this.notifyLost();
        log.event(EventId.EndpointPathLost, { endpoint: id, kind, message, through });
        const losses = [...this.lost.values()].filter(one => one.sinceMs > this.connectedMs);
        if (this.cutOffMs === undefined && losses.length >= lossesUntilCutOff) {
            this.cutOffMs = clock.nowMs();
            const ageMs = clock.nowMs() - Math.min(...losses.map(one => one.sinceMs));
            log.event(EventId.CutOffFromEndpoints, { endpoints: losses.map(one => one.endpoint.id), ageMs });
        }
        this.options.metrics.gauge("lost_endpoint_paths", this.lost.size);
    }

    /** Tries lost paths until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.lost.size === 0) {
                await this.whenLost(signal);
            }
            await this.options.clock.sleep(probeIntervalMs, signal);
            // A path that works suggests that others do; each success leaves fewer lost ones.
            let isRegained = !signal.aborted;
            while (isRegained) {
                isRegained = await this.probe() && !signal.aborted;
            }
        }
    }

    /** Resolves once a path is lost, or the signal is aborted. */
    private whenLost(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const end = () => {
                signal.removeEventListener("abort", end);
                resolve();
            };
            this.notifyLost = end;
            signal.addEventListener("abort", end);
        });
    }

    /** Tries the path to an endpoint of the next service with lost paths; true when it works again. */
    private async probe(): Promise<boolean> {
        const { fleet, dialer, clock, log, metrics } = this.options;
        const listed = new Set(fleet.view().endpoints.map(one => one.id));
        for (const id of this.lost.keys()) {
            if (!listed.has(id)) {
                this.lost.delete(id);
            }
        }
        const services = [...new Set([...this.lost.values()].map(one => one.endpoint.service))];
        const service = services[(services.findIndex(one => one === this.probed) + 1) % Math.max(1, services.length)];
        this.probed = service;
        const lost = [...this.lost.values()].find(one => one.endpoint.service === service);
        if (lost === undefined) {
            this.cutOffMs = undefined;
            return false;
        }
        if (!await dialer.reaches(lost.endpoint)) {
            return false;
        }
        this.connectedMs = clock.nowMs();
        this.cutOffMs = undefined;
        for (const [id, { endpoint }] of this.lost) {
            if (endpoint.service === service) {
                this.lost.delete(id);
            }
        }
        log.event(EventId.EndpointPathRegained, {
            endpoint: lost.endpoint.id,
            service,
            lostForMs: Math.round(clock.nowMs() - lost.sinceMs),
            stillLost: this.lost.size,
        });
        metrics.gauge("lost_endpoint_paths", this.lost.size);
        return true;
    }

    /** Asks several hosts at the same time; the first tunnel is used, and others are closed. */
    private async openFirst(
        hosts: readonly HostId[],
        id: EndpointId,
        signal: AbortSignal,
    ): Promise<Either<TunnelError, Socket>> {
        const { tunnels, clock } = this.options;
        let hasOpened = false;
        const attempts = hosts.map(async host => {
            const opened = await tunnels.open(host, id, tunnelMs, signal);
            opened.caseOf({
                Left: ({ kind }) => {
                    if (kind === "unavailable") {
                        this.avoidUntilMs.set(host, clock.nowMs() + avoidMs);
                    }
                },
                Right: socket => {
                    if (hasOpened) {
                        socket.destroy();
                        return;
                    }
                    hasOpened = true;
                    this.throughHost.set(socket, host);
                },
            });
            return opened;
        });
        return firstRight(attempts);
    }

    /** Other live hosts, spread over data centres, in an order of its own for each host and endpoint. */
    private helpersFor(id: EndpointId): readonly HostId[] {
        const { self, dataCentre, fleet, clock } = this.options;
        const { hosts, cutOff } = fleet.view();
        const others = hosts.filter(one => one.isLive && one.host !== self && !cutOff.has(one.dataCentre));
        const rank = (near: boolean) =>
            rankByWeight(
                `${self}|${id}`,
                others.filter(one => (one.dataCentre === dataCentre) === near).map(one => one.host),
            );
        const ordered = interleave(rank(true), rank(false));
        const isAvoided = (host: HostId) => (this.avoidUntilMs.get(host) ?? 0) > clock.nowMs();
        return [...ordered.filter(host => !isAvoided(host)), ...ordered.filter(isAvoided)];
    }

    private find(id: EndpointId): ListedEndpoint | undefined {
        return this.options.fleet.view().endpoints.find(one => one.id === id);
    }
}

/** The first result that is a Right; after all have failed, the one that says most about the target. */
async function firstRight(
    attempts: readonly Promise<Either<TunnelError, Socket>>[],
): Promise<Either<TunnelError, Socket>> {
    return new Promise((resolve, reject) => {
        const failures: Either<TunnelError, Socket>[] = [];
        for (const attempt of attempts) {
            attempt.then(result => {
                if (result.isRight()) {
                    resolve(result);
                    return;
                }
                failures.push(result);
                if (failures.length === attempts.length) {
                    const isJudged = (one: Either<TunnelError, Socket>) =>
                        one.swap().map(({ kind }) => kind === "refused" || kind === "timeout").orDefault(false);
                    resolve(failures.find(isJudged) ?? result);
                }
            }, reject);
        }
    });
}

function interleave<T>(first: readonly T[], second: readonly T[]): readonly T[] {
    return Array.from({ length: Math.max(first.length, second.length) }, (_, at) => [first[at], second[at]])
        .flat()
        .filter(one => one !== undefined);
}
