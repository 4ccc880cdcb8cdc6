/**
 * The hedge of one request: starts a second attempt at another endpoint when the first is slower than most recent ones
 * of its route, within the limits of {@link GatewayHedging} and of everything else that holds for an attempt.
 */
import { findHedgeObstacle } from "../hedging/HedgeDecision.js";
import { canContinue, originOf } from "../streams/StreamOrigin.js";
import { EventId } from "../telemetry/Events.js";
import type { AttemptRace, RaceEnd } from "./AttemptRace.js";
import type { EndpointSelection, PermittedChoice } from "./EndpointSelection.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { GatewayDependencies } from "./Gateway.js";
import type { AdmittedRequest, RequestHead } from "./Types.js";

interface RequestHedgesOptions {
    readonly deps: Pick<GatewayDependencies, "hedging" | "clock" | "log" | "metrics">;
    readonly admitted: Pick<AdmittedRequest, "route" | "service"> & { readonly head: Pick<RequestHead, "id">; };
    /** True while the request is kept back from endpoints. */
    readonly isQuarantined: () => boolean;
    readonly selection: EndpointSelection;
    /** Endpoints that may get the request. */
    readonly usable: () => readonly EndpointRecord[];
    /** Endpoints that get no further attempt. */
    readonly tried: () => ReadonlySet<EndpointRecord>;
    /** Number of further attempts in which the request may run beside those that are running. */
    readonly runsLeft: () => number;
    /** Deadline of the request, on the local clock. */
    readonly deadlineMs: number;
}

export class RequestHedges {
    private hedge: PermittedChoice | undefined;

    public constructor(private readonly options: RequestHedgesOptions) {}

    /** Time after which an attempt that begins now is hedged; undefined for no hedge. */
    public delayMs(): number | undefined {
        const { deps: { hedging, clock }, admitted: { route }, deadlineMs } = this.options;
        return this.hedge === undefined ? hedging.delayMs(route, deadlineMs - clock.nowMs()) : undefined;
    }

    /** Enters a hedge of the attempt at `first` into the race after `delayMs`, if it is then allowed and of use. */
    public async enterLater(
        race: AttemptRace<PermittedChoice>,
        first: PermittedChoice,
        delayMs: number,
    ): Promise<void> {
        const { deps, admitted: { head, route, service } } = this.options;
        const { clock, hedging, log, metrics } = deps;
        await clock.sleep(delayMs, race.closed);
        if (race.closed.aborted) {
            return;
        }
        const obstacle = this.obstacle() ?? await this.enter(race, first);
        if (obstacle !== undefined) {
            metrics.count("hedges_withheld", { why: obstacle });
            return;
        }
        log.event(EventId.RequestHedged, {
            request: head.id,
            route: route.id,
            first: first.record.id,
            endpoint: this.hedge?.record.id,
            afterMs: Math.round(delayMs),
            capacity: hedging.capacity(service.id, this.options.usable()),
        });
    }

    /** Records how a race has ended. */
    public recordEnd({ decisive: { choice, outcome } }: RaceEnd<PermittedChoice>): void {
        if (this.hedge !== undefined) {
            const end = outcome.kind !== "replied" ? "failed" : choice === this.hedge ? "won" : "lost";
            this.options.deps.metrics.count("hedges", { end });
        }
    }

    private obstacle(): string | undefined {
        const { deps: { hedging }, admitted: { route, service }, usable, runsLeft } = this.options;
        const obstacle = findHedgeObstacle({
            hedges: this.hedge === undefined ? 0 : 1,
            hasOutput: false,
            runsLeft: runsLeft(),
            capacity: hedging.capacity(service.id, usable()),
        });
        return obstacle ?? (hedging.isWithinLimits(route.id, service.id) ? undefined : "limit");
    }

    /** Selects an endpoint and starts the hedge there; returns why that was not possible, if so. */
    private async enter(race: AttemptRace<PermittedChoice>, first: PermittedChoice): Promise<string | undefined> {
        const { deps, admitted, selection, tried, isQuarantined } = this.options;
        const { hedging, clock } = deps;
        const excluded = new Set([...tried(), first.record]);
        const choice = await selection.choose(() => this.candidates(first), excluded, clock.nowMs());
        if (choice === undefined) {
            return "no-endpoint";
        }
        // The permit may have taken time, in which the first attempt may have been answered.
        const obstacle = race.closed.aborted
            ? "answered"
            : isQuarantined()
            ? "quarantined"
            : this.obstacle();
        if (obstacle !== undefined || !hedging.tryTake(admitted.route.id, admitted.service.id)) {
            choice.permit.place?.release(false);
            return obstacle ?? "limit";
        }
        this.hedge = choice;
        race.enter(choice);
        return undefined;
    }

    /**
     * Endpoints that may run the hedge. It must not take the place of other requests at a cold or suspect endpoint, and
     * a stream must have one origin, whichever attempt begins it.
     */
    private candidates({ record: first }: PermittedChoice): readonly EndpointRecord[] {
        const { admitted: { route }, usable } = this.options;
        const origin = originOf(first.listed);
        return usable().filter(one =>
            !one.isCold && !one.isSuspect && (route.kind !== "resumable" || canContinue(origin, one.listed))
        );
    }
}
