/** Asks the hosts that lend for an endpoint, in their order; the next one only when one can't be reached. */
import { Right } from "purify-ts";
import type { Clock, DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetSource } from "../fleet/Types.js";
import type { PeerMethod, PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { lendersPerEndpoint } from "./LenderRole.js";

/** Time limit for a lender's reply: many round trips, and short against a request's objective. */
const replyTimeoutMs = 150;
/** A lender that did not reply is passed over for this long. */
const lenderLostMs = 1000;

interface LenderClientOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** The reply of a host that does not lend for the endpoint. */
interface NotLender {
    readonly kind: "not-lender";
}

export class LenderClient {
    private readonly ranks = new HostRanks();
    private readonly lostUntilMs = new Map<HostId, number>();

    public constructor(private readonly options: LenderClientOptions) {}

    /** `lend` answers when this host lends itself. Without `lender` in the result, none has replied. */
    public async ask<
        Req extends { readonly endpoint: EndpointId; readonly dataCentre: DataCentreId; },
        Res extends { readonly kind: string; },
    >(
        method: PeerMethod<Req, Res | NotLender>,
        req: Req,
        lend: (req: Req) => Res | NotLender,
    ): Promise<{ readonly lender?: HostId; readonly reply: Exclude<Res, NotLender> | NotLender; }> {
        const { self, fleet, transport, clock, log } = this.options;
        const lenders = this.ranks.live(req.endpoint, req.dataCentre, fleet.view().hosts).slice(0, lendersPerEndpoint);
        for (const lender of lenders) {
            if (clock.nowMs() < (this.lostUntilMs.get(lender) ?? -Infinity)) {
                continue;
            }
            const replied = lender === self
                ? Right(lend(req))
                : await transport.call(lender, method, req, { timeoutMs: replyTimeoutMs });
            replied.ifLeft(error => {
                this.lostUntilMs.set(lender, clock.nowMs() + lenderLostMs);
                log.event(EventId.PermitLenderLost, { lender, endpoint: req.endpoint, ...error });
            });
            const reply = replied.toMaybe().extract();
            if (reply !== undefined && reply.kind !== "not-lender") {
                return { lender, reply: reply as Exclude<Res, NotLender> };
            }
        }
        return { reply: { kind: "not-lender" } };
    }
}
