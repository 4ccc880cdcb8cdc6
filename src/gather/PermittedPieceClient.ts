/**
 * Sends what goes to endpoints of stages only with a permit, where an endpoint limits its request rate or is brittle.
 * Calls come first. Results to be freed wait and are freed together; a query of the state is left out when the limit is used up.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import type { EndpointPermits } from "../limits/EndpointPermits.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { CallOutcome, PieceCall, PieceClient, WorkState } from "./Types.js";

/** Priorities of permits; 0 is the highest. The pieces of a call belong to requests of any priority. */
const callPriority = 0;
const upkeepPriority = 9;
/** How long results wait to be freed; they expire by themselves soon after. */
const maxFreeWaitMs = 3000;
/** Shortest time between two requests for a permit to free results. */
const freePauseMs = 50;
const usedUp = "the endpoint's limit is used up";

/** Results of one endpoint that wait to be freed. */
interface WaitingResults {
    readonly handles: string[];
    readonly freed: Promise<string | undefined>;
}

export class PermittedPieceClient implements PieceClient {
    private readonly waiting = new Map<EndpointId, WaitingResults>();

    public constructor(
        private readonly client: PieceClient,
        private readonly permits: EndpointPermits,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    public async run(
        endpoint: ListedEndpoint,
        calls: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const permit = await this.permits.acquire(endpoint, callPriority, { holdMs: timeoutMs });
        if (permit.kind === "denied") {
            const { basis, waitMs } = permit;
            const requests = [...new Set(calls.map(one => one.request))];
            this.log.event(EventId.PermitDenied, { requests, endpoint: endpoint.id, ...basis, waitMs });
            return { kind: "limited", message: usedUp, waitMs };
        }
        const outcome = await this.client.run(endpoint, calls, timeoutMs, signal);
        permit.place?.release(outcome.kind === "full" || outcome.kind === "unproven");
        return outcome;
    }

    public async free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        if (!this.waiting.has(endpoint.id) && await this.isPermitted(endpoint)) {
            return this.client.free(endpoint, handles);
        }
        const waiting = this.waiting.get(endpoint.id);
        if (waiting !== undefined) {
            waiting.handles.push(...handles);
            return waiting.freed;
        }
        const all = [...handles];
        const freed = this.freeWhenPermitted(endpoint, all);
        this.waiting.set(endpoint.id, { handles: all, freed });
        return freed;
    }

    /** An endpoint that can't be asked counts as working. */
    public async state(endpoint: ListedEndpoint): Promise<WorkState | undefined> {
        return await this.isPermitted(endpoint) ? this.client.state(endpoint) : { isWorking: true };
    }

    private async freeWhenPermitted(
        endpoint: ListedEndpoint,
        handles: readonly string[],
    ): Promise<string | undefined> {
        const untilMs = this.clock.nowMs() + maxFreeWaitMs;
        let isPermitted = false;
        while (!isPermitted && this.clock.nowMs() < untilMs) {
            await this.clock.sleep(Math.max(freePauseMs, this.permits.heldOffMs(endpoint.id, upkeepPriority)));
            isPermitted = await this.isPermitted(endpoint);
        }
        this.waiting.delete(endpoint.id);
        return isPermitted ? this.client.free(endpoint, handles) : usedUp;
    }

    private async isPermitted(endpoint: ListedEndpoint): Promise<boolean> {
        const isHeldOff = this.permits.heldOffMs(endpoint.id, upkeepPriority) > 0;
        return !isHeldOff
            && (await this.permits.acquire(endpoint, upkeepPriority, { holdMs: undefined })).kind !== "denied";
    }
}
