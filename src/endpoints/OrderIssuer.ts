/**
 * Issues orders to the engines of a data centre. Only the holder of the lease "orders/<data centre>" issues orders.
 * Each order carries the lease's fencing number, and its timeout ends before the lease does, which protects engines
 * that don't check the number. A new holder waits for orders of the former one to settle before it sends its first.
 */
import { type Either, Left } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { Lease, LeaseService } from "../config/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { EngineLink } from "./EngineLink.js";
import type { EngineOrder, OrderError } from "./Types.js";

/** Duration of the lease; the longest order has to fit within it. */
const orderLeaseMs = 60_000;
/** Interval between two renewals of the lease. */
const renewIntervalMs = 5000;
/** Timeout of one request for the lease. */
const leaseTimeoutMs = 2000;
/** Time between the latest end of an order and the end of the lease; covers the drift between clocks. */
const leaseMarginMs = 1000;
/** Wait of a new issuer, after which no order of the former issuer can still be in transit to an engine. */
const settleMs = 2000;

export interface OrderIssuerOptions {
    readonly dataCentre: DataCentreId;
    readonly leases: LeaseService;
    readonly link: EngineLink;
    readonly clock: Clock;
    readonly log: EventLog;
}

export class OrderIssuer {
    public readonly name = "order-issuer";
    private lease: Lease | undefined;
    private mayIssueAtMs = Number.POSITIVE_INFINITY;
    private orders = 0;

    public constructor(private readonly options: OrderIssuerOptions) {}

    /** True while this host may issue orders. */
    public get isIssuer(): boolean {
        return this.maxTimeoutMs() > 0 && this.options.clock.nowMs() >= this.mayIssueAtMs;
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.renew();
            await this.options.clock.sleep(renewIntervalMs, signal);
        }
    }

    /**
     * Releases the lease, so that another host can issue orders at once. `unfinished` counts the items named by `what`.
     */
    public async drain(): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const held = this.lease;
        this.lease = undefined;
        if (held !== undefined) {
            await this.options.leases.release(held.name);
        }
        return { unfinished: 0, what: "orders" };
    }

    /** Sends one order with a timeout of at most the remaining lease; fails with "no-lease" on any other host. */
    public async issue(endpoint: EndpointId, order: EngineOrder, timeoutMs: number): Promise<Either<OrderError, void>> {
        const { lease } = this;
        if (lease === undefined || !this.isIssuer) {
            return Left({ kind: "no-lease", message: "this host holds no usable lease for orders" });
        }
        const boundMs = Math.min(timeoutMs, this.maxTimeoutMs());
        const expiresInMs = lease.expiresAtMs - this.options.clock.nowMs();
        invariant(boundMs > 0 && boundMs < expiresInMs, "an order ends before the lease does", {
            endpoint,
            boundMs,
            expiresInMs,
        });
        this.orders += 1;
        const orderId = `${lease.epoch}.${this.orders}`;
        const message = { fencing: lease.epoch, orderId, ...order };
        const mayWrite = () => this.isIssuer && this.lease?.epoch === lease.epoch;
        const result = await this.options.link.order(endpoint, message, boundMs, mayWrite);
        const fields = { endpoint, order: order.kind, fencing: lease.epoch };
        result.ifRight(() => this.options.log.event(EventId.EngineOrdered, fields));
        result.ifLeft(error => {
            this.options.log.event(EventId.EngineOrderFailed, { ...fields, error: error.kind });
            if (error.kind === "fenced") {
                // Another host holds a higher fencing number, so this lease is over whatever the local clock says.
                this.lease = undefined;
            }
        });
        return result;
    }

    /** Longest timeout that an order may have now, in milliseconds. */
    private maxTimeoutMs(): number {
        return this.lease === undefined
            ? 0
            : this.lease.expiresAtMs - leaseMarginMs - this.options.clock.nowMs();
    }

    private async renew(): Promise<void> {
        const { leases, dataCentre, clock } = this.options;
        const result = await leases.acquire(`orders/${dataCentre}`, orderLeaseMs, leaseTimeoutMs);
        result.ifRight(lease => {
            if (this.lease?.epoch !== lease.epoch) {
                this.mayIssueAtMs = clock.nowMs() + settleMs;
            }
            this.lease = lease;
        });
        result.ifLeft(error => {
            if (error.kind === "held") {
                this.lease = undefined;
            }
        });
    }
}
