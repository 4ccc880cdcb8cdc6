/**
 * Owner epochs: while a data centre's view is uncertain, the holder of the lease "owner/<data centre>" names the hosts
 * that follow it, and these share ownership among them. Hosts that can see the holder ask it again and again and use its
 * word only for a short time, so that a change is followed before anybody else may give out what the former set had. A
 * host first follows, giving up its static part, and only then is it named in the set. All others keep to their static
 * parts.
 */
import { z } from "zod";
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import type { Lease, LeaseService } from "../config/Types.js";
import type { Membership } from "../membership/Types.js";
import { definePeerMethod, type PeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";

/** Life of the lease in the config group. */
const epochLeaseMs = 5000;
/** How long a host may use the holder's word without asking again; below the take-over wait of the slots. */
const wordMs = 1000;
const askEveryMs = 300;
const leaseTimeoutMs = 1000;

/** A confirmed set of hosts that may own endpoints while the view is uncertain. */
export interface OwnerEpoch {
    readonly epoch: number;
    readonly hosts: readonly HostId[];
}

export interface EpochSource {
    /** Undefined when no epoch is in force on this host. */
    current(): OwnerEpoch | undefined;
}

interface EpochWord extends OwnerEpoch {
    /** How long the word may be used, counted from when it was asked for. */
    readonly forMs: number;
}

interface EpochQuestion {
    /** Epoch that the asking host already follows, having given up its static part. */
    readonly following?: number | undefined;
}

const ask: PeerMethod<EpochQuestion, EpochWord | null> = definePeerMethod(
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
    private word: { readonly epoch: OwnerEpoch; readonly untilMs: number; } | undefined;
    /** When each host last said that it follows this host's epoch. */
    private readonly followers = new Map<HostId, number>();
    private logged: string | undefined;

    public constructor(private readonly options: OwnerEpochsOptions) {
        options.registry.handle(ask, async ({ following }, from) => {
            if (following !== undefined && following === this.lease?.epoch) {
                this.followers.set(from, options.clock.nowMs());
            }
            return this.ownWord() ?? null;
        });
    }

    public current(): OwnerEpoch | undefined {
        if (this.options.membership.view().certain) {
            return undefined;
        }
        const own = this.ownWord();
        if (own !== undefined) {
            return own;
        }
        const { word } = this;
        return word !== undefined && this.options.clock.nowMs() < word.untilMs ? word.epoch : undefined;
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.options.membership.view().certain) {
                await this.giveUp();
            }
            else {
                await this.seek();
            }
            this.noteChange();
            await this.options.clock.sleep(askEveryMs, signal);
        }
        await this.giveUp();
    }

    private get leaseName(): string {
        const dataCentre: DataCentreId = this.options.membership.dataCentre;
        return `owner/${dataCentre}`;
    }

    /** The set that this host names as the holder of the lease. */
    private ownWord(): EpochWord | undefined {
        const { lease, options } = this;
        const forMs = lease === undefined ? 0 : lease.expiresAtMs - options.clock.nowMs();
        if (lease === undefined || forMs <= 0) {
            return undefined;
        }
        const nowMs = options.clock.nowMs();
        const isIn = (host: HostId) =>
            host === options.membership.self || nowMs - (this.followers.get(host) ?? Number.NEGATIVE_INFINITY) < wordMs;
        const alive = options.membership.view().local.filter(one => one.state === "alive").map(one => one.host);
        const hosts = alive.filter(isIn);
        return { epoch: lease.epoch, hosts, forMs: Math.min(forMs, wordMs) };
    }

    private async seek(): Promise<void> {
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
            await this.askHolder(holder);
        }
    }

    private async askHolder(holder: HostId): Promise<void> {
        const { membership, transport, clock } = this.options;
        const seen = membership.view().local.find(one => one.host === holder);
        if (holder === membership.self || seen?.state !== "alive") {
            return;
        }
        const askedAtMs = clock.nowMs();
        const following = this.current()?.epoch;
        const question = following === undefined ? {} : { following };
        const reply = await transport.call(holder, ask, question, { timeoutMs: wordMs });
        const word = reply.toMaybe().extract() ?? undefined;
        if (word !== undefined) {
            const { epoch, hosts, forMs } = word;
            this.word = { epoch: { epoch, hosts }, untilMs: askedAtMs + forMs };
        }
    }

    private async giveUp(): Promise<void> {
        this.word = undefined;
        if (this.lease !== undefined) {
            this.lease = undefined;
            await this.options.leases.release(this.leaseName);
        }
    }

    private noteChange(): void {
        const epoch = this.current();
        const text = epoch === undefined ? undefined : `${epoch.epoch}/${epoch.hosts.join(",")}`;
        if (text === this.logged) {
            return;
        }
        this.logged = text;
        const id = epoch === undefined ? EventId.OwnerEpochLost : EventId.OwnerEpochHeld;
        this.options.log.event(id, epoch === undefined ? {} : { ...epoch });
    }
}
