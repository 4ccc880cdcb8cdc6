/**
 * Makes direct connections from this host to endpoints: for other hosts that can't, and to find out whether this host
 * can. A failed connection says something about the endpoint only while other endpoints of its service are reached.
 */
import * as net from "node:net";
import { type Either, Left, Right } from "purify-ts";
import type { Clock } from "../common/Types.js";
import type { FleetSource, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { TunnelError } from "../peer/TunnelClient.js";
import type { TunnelDialer } from "../peer/TunnelServer.js";

/** Time limit for a connection: many times the round trip to the farthest endpoint. */
const dialMs = 100;
/** A connection to another endpoint of a service proves this host's paths to it for this long. */
const proofMs = 400;
/** Number of other endpoints that are tried for a proof. */
const maxProofs = 2;

export class DirectDialer implements TunnelDialer {
    /** When an endpoint of each service was last connected to. */
    private readonly connectedMs = new Map<ServiceId, number>();

    public constructor(private readonly fleet: FleetSource, private readonly clock: Clock) {}

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
        const connected = await this.connect(endpoint);
        if (connected.isRight() || await this.isProven(endpoint)) {
            return connected;
        }
        return Left({ kind: "unavailable", message: "this host reaches no endpoint of the service" });
    }

    /** True when a direct connection to the endpoint can be made now. */
    public async reaches(endpoint: ListedEndpoint): Promise<boolean> {
        const connected = await this.connect(endpoint);
        connected.ifRight(socket => socket.destroy());
        return connected.isRight();
    }

    /** True when this host reaches another endpoint of the service, or any other when the service has no other. */
    private async isProven({ id, service, dataCentre }: ListedEndpoint): Promise<boolean> {
        const { fleet, clock, connectedMs } = this;
        const others = fleet.view().endpoints.filter(one => one.id !== id);
        const ofService = others.filter(one => one.service === service);
        if (ofService.length > 0 && clock.nowMs() - (connectedMs.get(service) ?? -Infinity) < proofMs) {
            return true;
        }
        // The endpoint's data centre may be cut off as a whole.
        const candidates = (ofService.length > 0 ? ofService : others)
            .toSorted((a, b) => Number(a.dataCentre === dataCentre) - Number(b.dataCentre === dataCentre));
        return this.reachesAny(candidates.slice(0, maxProofs));
    }

    /** Resolves as soon as one of the endpoints is reached. */
    private reachesAny(endpoints: readonly ListedEndpoint[]): Promise<boolean> {
        return new Promise(resolve => {
            const attempts = endpoints.map(async one => await this.reaches(one) && resolve(true));
            void Promise.all(attempts).then(() => resolve(false));
        });
    }

    private connect(endpoint: ListedEndpoint): Promise<Either<TunnelError, net.Socket>> {
        const { address } = endpoint;
        const colon = address.lastIndexOf(":");
        const socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        return new Promise(resolve => {
            const fail = (kind: TunnelError["kind"], message: string) => {
                timer.dispose();
                socket.destroy();
                resolve(Left({ kind, message }));
            };
            const timer = this.clock.setTimer(dialMs, () => fail("timeout", `no connection within ${dialMs} ms`));
            socket.on("error", err => fail("refused", err.message));
            socket.once("connect", () => {
                timer.dispose();
                this.recordConnected(endpoint);
                resolve(Right(socket));
            });
        });
    }
}
