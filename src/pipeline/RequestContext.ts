/** State of one request across its stages: the settings in force at its start, outputs, attempts and costs. */
import { invariant } from "../common/Invariant.js";
import type { DispatchLedger } from "../common/Outcome.js";
import type { PipelineSettings, StageSettings } from "../config/Schema.js";
import type { ConfigView } from "../config/Types.js";
import { promptOf } from "../endpoints/Prompt.js";
import type { StageBody } from "../endpoints/Types.js";
import type { Fingerprint } from "../records/Types.js";
import type { CostTotals } from "./CostTotals.js";
import { fingerprintOf } from "./Digests.js";
import { RequestCosts } from "./RequestCosts.js";
import type { OutputListener, PipelineRequest } from "./Types.js";

export interface RequestContextOptions {
    readonly req: PipelineRequest;
    readonly settings: PipelineSettings;
    readonly view: ConfigView;
    /** Aborted when the caller disconnects or the job's lease is lost. */
    readonly signal: AbortSignal;
    readonly listener: OutputListener | undefined;
    readonly ledger: DispatchLedger;
    readonly costs: CostTotals;
    /** Attempt numbers of each stage start after this. */
    readonly attemptBase?: number;
    /** Checked before each call; false once a job's lease is lost. */
    readonly maySend?: () => boolean;
}

export class RequestContext {
    public readonly req: PipelineRequest;
    public readonly settings: PipelineSettings;
    public readonly view: ConfigView;
    public readonly signal: AbortSignal;
    public readonly listener: OutputListener | undefined;
    public readonly maySend: () => boolean;
    public readonly ledger: DispatchLedger;
    public readonly costs: RequestCosts;
    public readonly fingerprint: Fingerprint;
    /** Outputs of the completed stages, by stage name. */
    public readonly outputs: Record<string, string> = {};
    private readonly attemptBase: number;
    private readonly attempts = new Map<string, number>();
    private readonly usedAttempts = new Map<string, number>();

    public constructor(options: RequestContextOptions) {
        this.req = options.req;
        this.settings = options.settings;
        this.view = options.view;
        this.signal = options.signal;
        this.listener = options.listener;
        this.ledger = options.ledger;
        this.maySend = options.maySend ?? (() => true);
        this.attemptBase = options.attemptBase ?? 0;
        this.costs = new RequestCosts(options.costs, options.req.pipeline, options.req.workspace);
        this.fingerprint = fingerprintOf(options.req);
    }

    /** Relative share of the request's workspace under contention. */
    public get weight(): number {
        return this.view.settings.workspaces[this.req.workspace]?.weight ?? 1;
    }

    /** The body of the next stage's call: the request's input and the outputs of the completed stages. */
    public get body(): StageBody {
        return { input: this.req.input, previous: { ...this.outputs } };
    }

    /** The prompt of the next stage's call, which an engine has to prefill. */
    public get prompt(): string {
        return promptOf(this.body);
    }

    public isLastStage(stage: StageSettings): boolean {
        return this.settings.stages[this.settings.stages.length - 1] === stage;
    }

    /** Returns the next attempt number of a stage; each call of a stage has its own. */
    public nextAttempt(stage: string): number {
        const attempt = (this.attempts.get(stage) ?? this.attemptBase) + 1;
        this.attempts.set(stage, attempt);
        return attempt;
    }

    /** Sets a stage's output. A stage has exactly one, and it must come from an attempt of this request. */
    public recordOutput(stage: string, attempt: number, output: string): void {
        invariant(!this.usedAttempts.has(stage), "one result is used for a stage", {
            request: this.req.id,
            stage,
            attempt,
        });
        invariant(
            attempt > this.attemptBase && attempt <= (this.attempts.get(stage) ?? 0),
            "a used result belongs to an attempt of its request and stage",
            { request: this.req.id, stage, attempt },
        );
        this.usedAttempts.set(stage, attempt);
        this.outputs[stage] = output;
    }

    /** Sets a stage's output from a job's journal or a recorded outcome. */
    public adoptOutput(stage: string, output: string): void {
        invariant(this.outputs[stage] === undefined, "one result is used for a stage", {
            request: this.req.id,
            stage,
        });
        this.outputs[stage] = output;
    }
}
