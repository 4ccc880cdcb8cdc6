/**
 * Sends what goes to endpoints of stages only with a permit, where an endpoint limits its request rate: calls first, then
 * the freeing of results and queries of the state, which are left out when the limit is used up.
 */
import type { ListedEndpoint } from "../fleet/Types.js";
import type { RatePermits } from "../limits/RatePermits.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { CallOutcome, PieceCall, PieceClient, WorkState } from "./Types.js";

/** Priorities of permits; 0 is the highest. The pieces of a call belong to requests of any priority. */
const callPriority = 0;
const upkeepPriority = 9;
const usedUp = "the endpoint's limit is used up";

export class PermittedPieceClient implements PieceClient {
    public constructor(
        private readonly client: PieceClient,
        private readonly permits: RatePermits,
        private readonly log: EventLog,
    ) {}

    public async run(
        endpoint: ListedEndpoint,
        calls: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const permit = await this.permits.acquire(endpoint, callPriority);
        if (permit.kind === "denied") {
            const { basis, waitMs } = permit;
            const requests = [...new Set(calls.map(one => one.request))];
            this.log.event(EventId.PermitDenied, { requests, endpoint: endpoint.id, ...basis, waitMs });
            return { kind: "limited", message: usedUp, waitMs };
        }
        return this.client.run(endpoint, calls, timeoutMs, signal);
    }

    public async free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        return await this.isPermitted(endpoint) ? this.client.free(endpoint, handles) : usedUp;
    }

    /** An endpoint that can't be asked counts as working. */
    public async state(endpoint: ListedEndpoint): Promise<WorkState | undefined> {
        return await this.isPermitted(endpoint) ? this.client.state(endpoint) : { isWorking: true };
    }

    private async isPermitted(endpoint: ListedEndpoint): Promise<boolean> {
        const isHeldOff = this.permits.heldOffMs(endpoint.id, upkeepPriority) > 0;
        return !isHeldOff && (await this.permits.acquire(endpoint, upkeepPriority)).kind !== "denied";
    }
}
