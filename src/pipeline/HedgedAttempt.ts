/**
 * One attempt at an idempotent stage, with a second call to another endpoint when the first is slower than most. The
 * first whole reply wins and the other call is cancelled. Hedges come out of the retry budget.
 */
import type { EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import { EventId } from "../telemetry/Events.js";
import type { IdempotentStageDependencies } from "./IdempotentStage.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptOptions, AttemptResult } from "./StageCaller.js";
import type { StreamRelay } from "./StreamRelay.js";

/** A call slower than this percentile of recent ones is hedged. */
const hedgePercentile = 95;
/** Part of a pool's limit in use from which no hedge is sent. */
const busyShare = 0.6;

interface StartedCall {
    readonly controller: AbortController;
    readonly result: Promise<AttemptResult>;
}

export class HedgedAttempt {
    private readonly calls: StartedCall[] = [];
    private firstEndpoint: EndpointId | undefined;
    private markSent: () => void = () => {};
    private readonly sent = new Promise<void>(resolve => {
        this.markSent = resolve;
    });

    public constructor(
        private readonly parts: IdempotentStageDependencies,
        private readonly ctx: RequestContext,
        private readonly stage: StageSettings,
        private readonly relay: StreamRelay,
        private readonly options: AttemptOptions,
    ) {}

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
        // The time counts from when the call has its endpoint; waiting for one is no sign of a slow call.
        const early = await this.orUndefined(first.result, this.sent)
            ?? await this.within(first, hedgeAfterMs);
        if (early !== undefined) {
            return early;
        }
        const { services } = this.parts;
        if (this.firstEndpoint === undefined || this.relay.length > 0 || this.isPoolBusy()) {
            return first.result;
        }
        if (!this.parts.budget.tryTake()) {
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
        return this.parts.estimator.callMs(this.ctx, this.stage, hedgePercentile);
    }

    /** A hedge in a busy pool would take the place of a call that somebody waits for. */
    private isPoolBusy(): boolean {
        let load = 0;
        let limit = 0;
        for (const endpoint of this.parts.services.directory.inPool(this.stage.pool)) {
            load += Math.max(endpoint.ownInFlight, endpoint.reported?.running ?? 0);
            limit += endpoint.limit;
        }
        return load > limit * busyShare;
    }

    private start(options: AttemptOptions): StartedCall {
        const controller = new AbortController();
        if (this.options.signal.aborted) {
            controller.abort();
        }
        const source = this.relay.open();
        const result = this.parts.caller.attempt(this.ctx, this.stage, {
            ...options,
            signal: controller.signal,
            ...(this.relay.passesOn ? { onOutput: (offset, text) => source.onOutput(offset, text) } : {}),
            onEndpoint: endpoint => {
                this.firstEndpoint ??= endpoint;
                this.markSent();
            },
        }).finally(() => source.release());
        const call = { controller, result };
        this.calls.push(call);
        return call;
    }

    /** The call's result, or undefined when it takes longer. */
    private async within(call: StartedCall, delayMs: number): Promise<AttemptResult | undefined> {
        const waiting = new AbortController();
        const result = await this.orUndefined(call.result, this.parts.services.clock.sleep(delayMs, waiting.signal));
        waiting.abort();
        return result;
    }

    /** The result, or undefined when the other promise is there first. */
    private orUndefined(result: Promise<AttemptResult>, other: Promise<void>): Promise<AttemptResult | undefined> {
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
