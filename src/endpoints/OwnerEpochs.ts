/**
 * Owner epochs: while a data centre's view is uncertain, the holder of the lease "owner/<data centre>" names the hosts
 * that follow it, and these divide ownership among themselves. Hosts that reach the holder poll it. An
 * answer is valid only for a short time, so that every host has adopted a change of the set before another host may
 * grant the slots of the former set. A host is named in the set only after it has reported that it follows the epoch,
 * and so has given up its static share. All other hosts keep to their static shares.
 */
import * as z from "zod";
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import type { Lease, LeaseService } from "../config/Types.js";
import type { Membership } from "../membership/Types.js";
import { definePeerMethod, type PeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";

/** Duration of the lease in the config group. */
const epochLeaseMs = 5000;
/** How long a host may use an answer of the holder without asking again; shorter than the take-over wait of slots. */
const answerValidMs = 1000;
/** Interval between two attempts to acquire the lease or, while another host holds it, to poll that host. */
const pollIntervalMs = 300;
/** Timeout of one request for the lease. */
const leaseTimeoutMs = 1000;

/** A confirmed set of hosts that may own endpoints while the view is uncertain. */
export interface OwnerEpoch {
    /** Epoch of the lease under which the set was named. */
    readonly epoch: number;
    readonly hosts: readonly HostId[];
}

export interface EpochSource {
    /** Undefined when no epoch is in force on this host. */
    current(): OwnerEpoch | undefined;
}

interface EpochAnswer extends OwnerEpoch {
    /** How long the answer may be used, in milliseconds from the time of the request. */
    readonly forMs: number;
}

interface EpochRequest {
    /** Epoch that the requesting host already follows, having given up its static share. */
    readonly following?: number | undefined;
}

const epochMethod: PeerMethod<EpochRequest, EpochAnswer | null> = definePeerMethod(
    "endpoints.epoch",
    z.object({ following: z.number().optional() }),
);

export interface OwnerEpochsOptions {
    readonly membership: Membership;
    readonly leases: LeaseService;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
}

export class OwnerEpochs implements EpochSource {
    public readonly name = "owner-epochs";
    private lease: Lease | undefined;
    private adoptedEpoch: { readonly epoch: OwnerEpoch; readonly untilMs: number; } | undefined;
    /** When each host last reported that it follows this host's epoch. */
    private readonly followers = new Map<HostId, number>();
    private loggedEpoch: string | undefined;

    public constructor(private readonly options: OwnerEpochsOptions) {
        options.registry.handle(epochMethod, async ({ following }, from) => {
            if (following !== undefined && following === this.lease?.epoch) {
                this.followers.set(from, options.clock.nowMs());
            }
            return this.ownEpoch() ?? null;
        });
    }

    public current(): OwnerEpoch | undefined {
        if (this.options.membership.view().certain) {
            return undefined;
        }
        const own = this.ownEpoch();
        if (own !== undefined) {
            return own;
        }
        const { adoptedEpoch: adopted } = this;
        return adopted !== undefined && this.options.clock.nowMs() < adopted.untilMs ? adopted.epoch : undefined;
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.options.membership.view().certain) {
                await this.releaseEpoch();
            }
            else {
                await this.acquireOrPoll();
            }
            this.logChange();
            await this.options.clock.sleep(pollIntervalMs, signal);
        }
        await this.releaseEpoch();
    }

    private get leaseName(): string {
        const dataCentre: DataCentreId = this.options.membership.dataCentre;
        return `owner/${dataCentre}`;
    }

    /** The epoch that this host defines as holder of the lease; undefined when it does not hold the lease. */
    private ownEpoch(): EpochAnswer | undefined {
        const { lease, options } = this;
        const forMs = lease === undefined ? 0 : lease.expiresAtMs - options.clock.nowMs();
        if (lease === undefined || forMs <= 0) {
            return undefined;
        }
        const nowMs = options.clock.nowMs();
        const isFollower = (host: HostId) =>
            host === options.membership.self
            || nowMs - (this.followers.get(host) ?? Number.NEGATIVE_INFINITY) < answerValidMs;
        const alive = options.membership.view().local.filter(one => one.state === "alive").map(one => one.host);
        const hosts = alive.filter(isFollower);
        return { epoch: lease.epoch, hosts, forMs: Math.min(forMs, answerValidMs) };
    }

    private async acquireOrPoll(): Promise<void> {
        const { leases } = this.options;
        const result = await leases.acquire(this.leaseName, epochLeaseMs, leaseTimeoutMs);
        const holder = result.caseOf({
            Left: error => (error.kind === "held" ? error.holder : undefined),
            Right: lease => {
                this.lease = lease;
                return undefined;
            },
        });
        if (holder !== undefined) {
            this.lease = undefined;
            await this.pollHolder(holder);
        }
    }

    private async pollHolder(holder: HostId): Promise<void> {
        const { membership, transport, clock } = this.options;
        const holderView = membership.view().local.find(one => one.host === holder);
        if (holder === membership.self || holderView?.state !== "alive") {
            return;
        }
        const requestedAtMs = clock.nowMs();
        const following = this.current()?.epoch;
        const request = following === undefined ? {} : { following };
        const reply = await transport.call(holder, epochMethod, request, { timeoutMs: answerValidMs });
        const answer = reply.toMaybe().extract() ?? undefined;
        if (answer !== undefined) {
            const { epoch, hosts, forMs } = answer;
            this.adoptedEpoch = { epoch: { epoch, hosts }, untilMs: requestedAtMs + forMs };
        }
    }

    private async releaseEpoch(): Promise<void> {
        this.adoptedEpoch = undefined;
        if (this.lease !== undefined) {
            this.lease = undefined;
            await this.options.leases.release(this.leaseName);
        }
    }

    private logChange(): void {
        const epoch = this.current();
        const text = epoch === undefined ? undefined : `${epoch.epoch}/${epoch.hosts.join(",")}`;
        if (text === this.loggedEpoch) {
            return;
        }
        this.loggedEpoch = text;
        const id = epoch === undefined ? EventId.OwnerEpochLost : EventId.OwnerEpochHeld;
        this.options.log.event(id, epoch === undefined ? {} : { ...epoch });
    }
}
