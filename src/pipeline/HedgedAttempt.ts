/**
 * One attempt at an idempotent stage, with a hedge: a second call to another endpoint when the first is slower than
 * most recent calls. The first complete reply wins and the other call is cancelled. Hedges use the retry budget.
 */
import type { EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import { findHedgeObstacle, hedgeDelayMs, type HedgeObstacle } from "../hedging/HedgeDecision.js";
import { EventId } from "../telemetry/Events.js";
import type { IdempotentStageDependencies } from "./IdempotentStage.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptOptions, AttemptResult } from "./StageCaller.js";
import type { StreamRelay } from "./StreamRelay.js";

interface StartedCall {
    readonly controller: AbortController;
    readonly result: Promise<AttemptResult>;
}

export class HedgedAttempt {
    private readonly calls: StartedCall[] = [];
    private firstEndpoint: EndpointId | undefined;
    private resolveSent: () => void = () => {};
    private readonly sent = new Promise<void>(resolve => {
        this.resolveSent = resolve;
    });

    public constructor(
        private readonly dependencies: IdempotentStageDependencies,
        private readonly ctx: RequestContext,
        private readonly stage: StageSettings,
        private readonly relay: StreamRelay,
        private readonly options: AttemptOptions,
    ) {}

    /** Resolves to the first success, or to a failure when no call succeeds. Unfinished calls are cancelled. */
    public async run(): Promise<AttemptResult> {
        const cancelAll = () => this.calls.forEach(call => call.controller.abort());
        this.options.signal.addEventListener("abort", cancelAll, { once: true });
        try {
            return await this.race();
        }
        finally {
            this.options.signal.removeEventListener("abort", cancelAll);
            cancelAll();
        }
    }

    private async race(): Promise<AttemptResult> {
        const first = this.start(this.options);
        const hedgeAfterMs = this.hedgeAfterMs();
        if (hedgeAfterMs === undefined) {
            return first.result;
        }
        // The hedge delay starts when the call is sent: time spent waiting for an endpoint does not make a call slow.
        const earlyResult = await this.firstOf(first.result, this.sent)
            ?? await this.within(first, hedgeAfterMs);
        if (earlyResult !== undefined) {
            return earlyResult;
        }
        const { services } = this.dependencies;
        if (this.firstEndpoint === undefined || this.hedgeObstacle() !== undefined) {
            return first.result;
        }
        if (!this.dependencies.budget.tryTake()) {
            return first.result;
        }
        services.log.event(EventId.HedgeSent, { request: this.ctx.req.id, stage: this.stage.name });
        const avoid = new Set([...this.options.avoid, this.firstEndpoint]);
        const second = this.start({ ...this.options, kind: "hedge", avoid });
        return this.firstSuccess(first, second);
    }

    private hedgeAfterMs(): number | undefined {
        if (!this.stage.hedge || this.options.alone || this.options.resumeFrom !== undefined) {
            return undefined;
        }
        return hedgeDelayMs(percentile => this.dependencies.estimator.callMs(this.ctx, this.stage, percentile));
    }

    private hedgeObstacle(): HedgeObstacle | undefined {
        let load = 0;
        let limit = 0;
        for (const endpoint of this.dependencies.services.directory.inPool(this.stage.pool)) {
            load += Math.max(endpoint.ownInFlight, endpoint.reported?.running ?? 0);
            limit += endpoint.limit;
        }
        return findHedgeObstacle({
            hedges: this.calls.length - 1,
            hasOutput: this.relay.length > 0,
            runsLeft: Infinity,
            capacity: { busyShare: limit > 0 ? load / limit : 0, heldUpShare: 0, suspectShare: 0 },
        });
    }

    private start(options: AttemptOptions): StartedCall {
        const controller = new AbortController();
        if (this.options.signal.aborted) {
            controller.abort();
        }
        const source = this.relay.open();
        const result = this.dependencies.caller.attempt(this.ctx, this.stage, {
            ...options,
            signal: controller.signal,
            ...(this.relay.hasListener ? { onOutput: (offset, text) => source.onOutput(offset, text) } : {}),
            onEndpoint: endpoint => {
                this.firstEndpoint ??= endpoint;
                this.resolveSent();
            },
        }).finally(() => source.release());
        const call = { controller, result };
        this.calls.push(call);
        return call;
    }

    /** The call's result, or undefined when there is none after `delayMs`. */
    private async within(call: StartedCall, delayMs: number): Promise<AttemptResult | undefined> {
        const cancellation = new AbortController();
        const result = await this.firstOf(
            call.result,
            this.dependencies.services.clock.sleep(delayMs, cancellation.signal),
        );
        cancellation.abort();
        return result;
    }

    /** The result, or undefined when the other promise resolves first. */
    private firstOf(result: Promise<AttemptResult>, other: Promise<void>): Promise<AttemptResult | undefined> {
        return Promise.race([result, other.then(() => undefined)]);
    }

    private async firstSuccess(first: StartedCall, second: StartedCall): Promise<AttemptResult> {
        const [result, other] = await Promise.race([
            first.result.then(one => [one, second] as const),
            second.result.then(one => [one, first] as const),
        ]);
        return result.isRight() ? result : other.result;
    }
}
