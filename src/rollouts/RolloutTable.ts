/**
 * The replicated state of roll-outs: the last order of each service, with its step and its end. A repeated order, which
 * equals the last one in service, target and duration, changes nothing. Every change has a new revision.
 */
import * as z from "zod";
import {
    lastStep,
    type RolloutRecord,
    type RolloutView,
    rolloutViewSchema,
    serviceIdSchema,
    type Verdict,
    verdictSchema,
} from "./Types.js";

/** Maximum number of rejected versions of a service; the oldest are forgotten first. */
const maxRejected = 64;
const unbound = -1;

/** Commands in the replicated log. */
export const rolloutCommands = [
    z.object({
        kind: z.literal("start-rollout"),
        service: serviceIdSchema,
        target: z.string(),
        durationMs: z.number(),
        atMs: z.number(),
        /**
         * Order of the last roll-out of the service that the host had confirmed, 0 for none. Hosts of older builds do not
         * give it, which binds to nothing.
         */
        after: z.number().default(unbound),
    }),
    z.object({
        kind: z.literal("step-rollout"),
        service: serviceIdSchema,
        order: z.number(),
        step: z.number(),
        isProven: z.boolean(),
        atMs: z.number(),
    }),
    z.object({
        kind: z.literal("end-rollout"),
        service: serviceIdSchema,
        order: z.number(),
        state: z.enum(["completed", "rolled_back"]),
        verdict: verdictSchema,
    }),
] as const;

type StartCommand = z.infer<typeof rolloutCommands[0]>;
type StepCommand = z.infer<typeof rolloutCommands[1]>;
type EndCommand = z.infer<typeof rolloutCommands[2]>;
export type RolloutCommand = StartCommand | StepCommand | EndCommand;

/**
 * "repeated": the same order has ended before, and nothing changes. "in-progress": the same order is in progress.
 * "conflict": another order of the service is in progress. "stale": the command refers to an order that has ended, or
 * begins a roll-out and another one has begun since its host had confirmed the state.
 */
export type RolloutOutcome = "started" | "repeated" | "in-progress" | "conflict" | "changed" | "stale";

export class RolloutTable {
    private readonly byService = new Map<string, RolloutRecord>();
    private currentRevision = 0;

    public get revision(): number {
        return this.currentRevision;
    }

    public get records(): readonly RolloutRecord[] {
        return [...this.byService.values()];
    }

    public find(service: string): RolloutRecord | undefined {
        return this.byService.get(service);
    }

    public snapshot(): RolloutView {
        return { revision: this.currentRevision, records: this.records };
    }

    public restore(snapshot: RolloutView): void {
        const { revision, records } = rolloutViewSchema.parse(snapshot);
        this.currentRevision = revision;
        this.byService.clear();
        records.forEach(one => this.byService.set(one.service, one));
    }

    public apply(command: RolloutCommand): RolloutOutcome {
        switch (command.kind) {
            case "start-rollout":
                return this.start(command);
            case "step-rollout":
                return this.step(command);
            case "end-rollout":
                return this.end(command);
        }
    }

    /** What an order would lead to now. */
    public outcomeOf({ service, target, durationMs }: Pick<StartCommand, "service" | "target" | "durationMs">) {
        const known = this.byService.get(service);
        const isSame = known?.target === target && known.durationMs === durationMs;
        if (known?.state === "serving") {
            return isSame ? "in-progress" : "conflict";
        }
        return isSame ? "repeated" : "started";
    }

    private start({ service, target, durationMs, atMs, after }: StartCommand): RolloutOutcome {
        const outcome = this.outcomeOf({ service, target, durationMs });
        if (outcome !== "started") {
            return outcome;
        }
        const known = this.byService.get(service);
        if (after !== unbound && after !== (known?.order ?? 0)) {
            return "stale";
        }
        const base = known?.state === "completed" ? known.target : known?.base;
        this.put({
            service,
            target,
            durationMs,
            orderedAtMs: atMs,
            order: this.currentRevision + 1,
            state: "serving",
            step: 0,
            isProven: false,
            steppedAtMs: atMs,
            ...(base === undefined || base === target ? {} : { base }),
            rejected: (known?.rejected ?? []).filter(one => one !== target),
        });
        return "started";
    }

    private step({ service, order, step, isProven, atMs }: StepCommand): RolloutOutcome {
        const known = this.byService.get(service);
        if (known?.order !== order || known.state !== "serving" || step <= known.step || step > lastStep) {
            return "stale";
        }
        this.put({ ...known, step, isProven: known.isProven || isProven, steppedAtMs: atMs });
        return "changed";
    }

    private end({ service, order, state, verdict }: EndCommand): RolloutOutcome {
        const known = this.byService.get(service);
        if (known?.order !== order || known.state !== "serving") {
            return "stale";
        }
        const rejected = state === "rolled_back"
            ? [...known.rejected, known.target].slice(-maxRejected)
            : known.rejected;
        this.put({ ...known, state, rejected, verdict });
        return "changed";
    }

    private put(record: Omit<RolloutRecord, "revision">): void {
        this.currentRevision += 1;
        this.byService.set(record.service, { ...record, revision: this.currentRevision });
    }
}

/** A verdict without counts. */
export function plainVerdict(reason: string, atMs: number): Verdict {
    return verdictSchema.parse({ reason, atMs });
}
