/** Simple baseline policies with which experiments compare the product's policies. */
import type { Queue } from "p-queue";
import type { Failure } from "../../src/common/Outcome.js";
import type { EndpointDirectory, EndpointView } from "../../src/endpoints/Types.js";
import type { FairQueueOptions } from "../../src/pipeline/FairQueue.js";
import type { AdmissionControl, RetryBudget } from "../../src/pipeline/Types.js";
import type { PrefixIndex, RouteChoice, Router, RouteRequest } from "../../src/routing/Types.js";

type RunFunction = () => Promise<unknown>;

function choiceOf(endpoint: EndpointView): RouteChoice {
    return { endpoint, expectedMs: 0, cachedTokens: 0 };
}

/** Ranks the endpoints of a pool in turn. */
export class RoundRobinRouter implements Router {
    public readonly name = "round-robin";
    private turn = 0;

    public constructor(private readonly directory: EndpointDirectory) {}

    public rank(req: RouteRequest): readonly RouteChoice[] {
        const pool = this.directory.inPool(req.pool).filter(one => !req.avoid.has(one.id));
        const all = pool.length > 0 ? pool : this.directory.inPool(req.pool);
        this.turn += 1;
        return all.map((_, index) => choiceOf(all[(index + this.turn) % all.length]!));
    }

    public recordPrompt(): void {}
}

/** Ranks endpoints by load: the larger of this host's calls in flight and the calls in the endpoint's last report. */
export class LeastLoadedRouter implements Router {
    public readonly name = "least-loaded";

    public constructor(private readonly directory: EndpointDirectory) {}

    public rank(req: RouteRequest): readonly RouteChoice[] {
        const load = (one: EndpointView) =>
            Math.max(one.ownInFlight, (one.reported?.running ?? 0) + (one.reported?.waiting ?? 0))
            + (req.avoid.has(one.id) ? 1000 : 0);
        return [...this.directory.inPool(req.pool)].sort((a, b) => load(a) - load(b)).map(choiceOf);
    }

    public recordPrompt(): void {}
}

/** A retry budget that allows every retry. */
export class UnboundedRetries implements RetryBudget {
    public recordCall(): void {}

    public tryTake(): boolean {
        return true;
    }
}

/** Serves calls in order of arrival; ignores priority, workspace and deadline. */
export class FifoQueue implements Queue<RunFunction, FairQueueOptions> {
    private items: { run: RunFunction; id: string | undefined; }[] = [];

    public get size(): number {
        return this.items.length;
    }

    public enqueue(run: RunFunction, options?: Partial<FairQueueOptions>): void {
        this.items.push({ run, id: options?.id });
    }

    public dequeue(): RunFunction | undefined {
        return this.items.shift()?.run;
    }

    public filter(): RunFunction[] {
        return this.items.map(item => item.run);
    }

    public setPriority(): void {}

    public remove(id: string): void {
        this.items = this.items.filter(item => item.id !== id);
    }
}

/** Admission control that admits every request. */
export class AdmitAll implements AdmissionControl {
    public admit(): Failure | undefined {
        return undefined;
    }

    public complete(): void {}

    public trackStage<T>(_ctx: unknown, _index: number, work: () => Promise<T>): Promise<T> {
        return work();
    }

    public check(): Failure | undefined {
        return undefined;
    }
}

/** A prefix index that reports no cached prefixes. */
export class NoPrefixes implements PrefixIndex {
    public cachedTokens(): number {
        return 0;
    }

    public preferredEndpoint(): undefined {
        return undefined;
    }

    public recordPrompt(): void {}

    public recordEvents(): void {}

    public forget(): void {}
}
