/**
 * Issues orders to the engines of a data centre. Only the holder of the lease "orders/<data centre>" issues, each order
 * carries the lease's fencing number, and its time-out ends before the lease does, so that engines that ignore the
 * number are protected by time. A new holder lets orders of the former one settle before it sends its first.
 */
import { type Either, Left } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { Lease, LeaseService } from "../config/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { EngineLink } from "./EngineLink.js";
import type { EngineOrder, OrderError } from "./Types.js";

/** Life of the lease; the longest order has to fit in. */
const orderLeaseMs = 60_000;
const renewEveryMs = 5000;
const leaseTimeoutMs = 2000;
/** An order's time-out ends this long before the lease, which covers the drift between clocks. */
const leaseMarginMs = 1000;
/** Bound on what of a former issuer's orders may still be on its way to an engine. */
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
        return this.leftMs() > 0 && this.options.clock.nowMs() >= this.mayIssueAtMs;
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.renew();
            await this.options.clock.sleep(renewEveryMs, signal);
        }
    }

    /** Lets another host issue at once. */
    public async drain(): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const held = this.lease;
        this.lease = undefined;
        if (held !== undefined) {
            await this.options.leases.release(held.name);
        }
        return { unfinished: 0, what: "orders" };
    }

    /** Sends one order, bounded by the lease. */
    public async issue(endpoint: EndpointId, order: EngineOrder, timeoutMs: number): Promise<Either<OrderError, void>> {
        const { lease } = this;
        if (lease === undefined || !this.isIssuer) {
            return Left({ kind: "no-lease", message: "another host issues the orders, or none does yet" });
        }
        const boundMs = Math.min(timeoutMs, this.leftMs());
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
                // Another host holds a higher number, so this lease is over whatever the clock says.
                this.lease = undefined;
            }
        });
        return result;
    }

    /** Time that an order may take at most. */
    private leftMs(): number {
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
