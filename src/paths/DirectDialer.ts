/**
 * Makes direct connections from this host to endpoints: for other hosts that can't, and to find out whether this host
 * can. A failed connection says something about the endpoint only if another endpoint of its service is reached after it
 * began; a time-out, only if that takes a fraction of its limit. A host that has just lost its paths, or is slow, thus
 * gives no verdict.
 */
import * as net from "node:net";
import { Either, Left, Right } from "purify-ts";
import { connectFailureOf } from "../common/ConnectFailures.js";
import type { Clock } from "../common/Types.js";
import type { FleetSource, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { TunnelError } from "../peer/TunnelClient.js";
import type { TunnelDialer } from "../peer/TunnelServer.js";

/** Time limit for a connection: many times the round trip to the farthest endpoint. */
const dialMs = 100;
/** A time-out is the endpoint's only if another endpoint is reached within this time; it exceeds every round trip. */
const promptMs = 25;
/** A time-out that is handled later than this shows that this process was stalled, and nothing of the endpoint. */
const maxLatenessMs = 25;
/** Time after a time-out in which a connection that was made during a stall of this process is noticed. */
const stallGraceMs = 1;
/** Number of other endpoints that are tried for a proof at the same time; several may have ended together. */
const maxProofs = 4;

export class DirectDialer implements TunnelDialer {
    /** When an endpoint of each service was last connected to. */
    private readonly connectedMs = new Map<ServiceId, number>();

    public constructor(
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
        private readonly connectTo: (host: string, port: number) => net.Socket = (host, port) =>
            net.connect(port, host),
    ) {}

    /** Records that a new direct connection was made. */
    public recordConnected({ service }: ListedEndpoint): void {
        this.connectedMs.set(service, this.clock.nowMs());
    }

    /** Connects for another host; the error is "unavailable" unless the failure is the endpoint's. */
    public async dial(target: string): Promise<Either<TunnelError, net.Socket>> {
        const endpoint = this.fleet.view().endpoints.find(one => one.id === target);
        if (endpoint === undefined) {
            return Left({ kind: "unavailable", message: `endpoint "${target}" is not known here` });
        }
        const startMs = this.clock.nowMs();
        const connected = await this.connect(endpoint, dialMs);
        if (connected.isRight()) {
            return connected;
        }
        const isTimeout = connected.swap().map(({ kind }) => kind === "timeout").orDefault(false);
        if (isTimeout && this.clock.nowMs() - startMs > dialMs + maxLatenessMs) {
            return Left({ kind: "unavailable", message: "this host is too slow to tell" });
        }
        const isProven = isTimeout
            ? await this.reachesOther(endpoint, promptMs)
            : this.hasReachedSince(endpoint, startMs) || await this.reachesOther(endpoint, dialMs);
        return isProven
            ? connected
            : Left({ kind: "unavailable", message: "this host reaches no endpoint of the service, or not in time" });
    }

    /** True when a direct connection to the endpoint can be made now. */
    public async reaches(endpoint: ListedEndpoint): Promise<boolean> {
        return this.reachesWithin(endpoint, dialMs);
    }

    private async reachesWithin(endpoint: ListedEndpoint, limitMs: number): Promise<boolean> {
        const connected = await this.connect(endpoint, limitMs);
        connected.ifRight(socket => socket.destroy());
        return connected.isRight();
    }

    /** True when an endpoint of the same service was connected to since `sinceMs`. */
    private hasReachedSince({ service }: ListedEndpoint, sinceMs: number): boolean {
        return (this.connectedMs.get(service) ?? -Infinity) > sinceMs;
    }

    /** True when this host reaches another endpoint of the service, or any other when the service has no other. */
    private async reachesOther({ id, service, dataCentre }: ListedEndpoint, limitMs: number): Promise<boolean> {
        const others = this.fleet.view().endpoints.filter(one => one.id !== id);
        const ofService = others.filter(one => one.service === service);
        // The endpoint's data centre may be cut off as a whole.
        const candidates = (ofService.length > 0 ? ofService : others)
            .toSorted((a, b) => Number(a.dataCentre === dataCentre) - Number(b.dataCentre === dataCentre));
        return this.reachesAny(candidates.slice(0, maxProofs), limitMs);
    }

    /** Resolves as soon as one of the endpoints is reached. */
    private reachesAny(endpoints: readonly ListedEndpoint[], limitMs: number): Promise<boolean> {
        return new Promise((resolve, reject) => {
            const attempts = endpoints.map(async one => await this.reachesWithin(one, limitMs) && resolve(true));
            Promise.all(attempts).then(() => resolve(false), reject);
        });
    }

    private async connect(endpoint: ListedEndpoint, limitMs: number): Promise<Either<TunnelError, net.Socket>> {
        const { address } = endpoint;
        const colon = address.lastIndexOf(":");
        // Node throws for a port that there is not.
        const opened = Either.encase(() => this.connectTo(address.slice(0, colon), Number(address.slice(colon + 1))));
        return opened.caseOf({
            Left: async ({ message }) => Left<TunnelError>({ kind: "unavailable", message }),
            Right: socket => this.whenConnected(socket, endpoint, limitMs),
        });
    }

    private whenConnected(
        socket: net.Socket,
        endpoint: ListedEndpoint,
        limitMs: number,
    ): Promise<Either<TunnelError, net.Socket>> {
        return new Promise(resolve => {
            const fail = (kind: TunnelError["kind"], message: string) => {
                timer.dispose();
                socket.destroy();
                resolve(Left({ kind, message }));
            };
            const timeOut = () => fail("timeout", `no connection within ${limitMs} ms`);
            // After a stall of this process, timers run before a connection that was made meanwhile is noticed.
            let timer = this.clock.setTimer(limitMs, () => timer = this.clock.setTimer(stallGraceMs, timeOut));
            socket.on("error", err => {
                const failure = connectFailureOf(err);
                fail(failure === "local" ? "unavailable" : failure, err.message);
            });
            socket.once("connect", () => {
                timer.dispose();
                this.recordConnected(endpoint);
                resolve(Right(socket));
            });
        });
    }
}
