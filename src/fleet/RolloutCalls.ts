/**
 * Operator calls on roll-outs, on a control host. An order is acknowledged once it is committed and, where the target
 * version has endpoints already, once all live hosts hold it or have stopped using versions that they don't know.
 */
import type { Clock } from "../common/Types.js";
import type { RaftLog } from "../replication/RaftLog.js";
import { plainVerdict, type RolloutCommand } from "../rollouts/RolloutTable.js";
import { freshViewMs, type RolloutBounds, type RolloutRecord } from "../rollouts/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { FleetPublisher } from "./FleetPublisher.js";
import type { FleetState } from "./FleetState.js";
import type { OperatorAnswer, OperatorCall, OperatorPresence } from "./OperatorCallHandler.js";
import type { Deployment, DeploymentDecoder, ListedEndpoint } from "./Types.js";

/** Time limits for committing an order, and for confirming that the state is the latest. */
const commitTimeoutMs = 2000;
const readTimeoutMs = 900;
/** Interval at which it is checked whether all hosts hold an order. */
const heldCheckMs = 50;
/** Longest duration of a roll-out: a week. */
const maxDurationMs = 604_800_000;
const versionPattern = /^[A-Za-z0-9][A-Za-z0-9._+:-]{0,127}$/;

export type RolloutCall = Extract<OperatorCall, { readonly kind: `${string}-rollout`; }>;
type StartCall = Extract<RolloutCall, { readonly kind: "start-rollout"; }>;

interface RolloutCallsOptions {
    readonly bounds: RolloutBounds | undefined;
    readonly log: RaftLog;
    readonly state: FleetState;
    readonly decoder: DeploymentDecoder;
    readonly endpoints: () => readonly ListedEndpoint[];
    readonly publisher: Pick<FleetPublisher, "hostsWithoutRollouts" | "isHeldByAll">;
    readonly clock: Clock;
    readonly events: EventLog;
}

export class RolloutCalls {
    private decoded: { readonly version: number; readonly deployment: Deployment | undefined; } | undefined;

    public constructor(private readonly options: RolloutCallsOptions) {}

    public async execute(call: RolloutCall, operator: OperatorPresence): Promise<OperatorAnswer> {
        if (this.options.bounds === undefined) {
            return { kind: "invalid", message: "the settings of this deployment have no bounds for roll-outs" };
        }
        const read = await this.options.log.readBarrier(readTimeoutMs);
        if (read.isLeft()) {
            return { kind: "unavailable", message: read.extract().message };
        }
        // A copy of the order that is committed later must not act on a roll-out that began after the operator had left.
        const known = this.options.state.rollouts.find(call.service);
        if (await operator.hasLeft()) {
            this.options.events.event(EventId.OperatorCallAbandoned, { call: call.kind });
            return { kind: "unavailable", message: "the operator has left" };
        }
        switch (call.kind) {
            case "start-rollout":
                return this.logged(call, await this.start(call, this.options.bounds, known?.order ?? 0));
            case "get-rollout":
                return this.get(call.service);
            case "abort-rollout":
                return this.logged(call, await this.abort(call.service, known));
        }
    }

    private async start(call: StartCall, bounds: RolloutBounds, after: number): Promise<OperatorAnswer> {
        const { clock, state, publisher } = this.options;
        const { service, target, durationMs } = call;
        const fault = this.faultOf(call);
        if (fault !== undefined) {
            return { kind: "invalid", message: fault };
        }
        if (state.version === 0) {
            return { kind: "unavailable", message: "no configuration has been put yet" };
        }
        // Retries of an order that has been committed are answered whatever has changed since.
        const expected = state.rollouts.outcomeOf({ service, target, durationMs });
        const refusal = expected === "started" ? this.refusalOf(call) : undefined;
        if (refusal !== undefined) {
            return refusal;
        }
        const wasListed = this.versionsOf(service).has(target);
        const command = { kind: "start-rollout", service, target, durationMs, atMs: clock.wallMs(), after } as const;
        const committed = expected === "started" ? await this.commit(command) : { kind: expected } as const;
        if (committed.kind === "unavailable") {
            return committed;
        }
        const { order } = state.rollouts.find(service) ?? { order: Infinity };
        const untilMs = clock.nowMs() + freshViewMs(bounds);
        while (committed.kind === "started" && wasListed && clock.nowMs() < untilMs && !publisher.isHeldByAll(order)) {
            await clock.sleep(heldCheckMs);
        }
        switch (committed.kind) {
            case "in-progress":
                return { kind: "in-progress", message: `the roll-out of ${service} to ${target} is in progress` };
            case "conflict":
                return { kind: "invalid", message: `another roll-out of ${service} is in progress` };
            case "stale":
                return { kind: "unavailable", message: `another roll-out of ${service} was begun meanwhile` };
            default:
                return { kind: "done", version: state.version };
        }
    }

    /** Why the order can't be carried out, whatever the state; undefined when it can. */
    private faultOf({ service, target, durationMs }: StartCall): string | undefined {
        if (!versionPattern.test(target)) {
            return "the target is not a version";
        }
        if (!Number.isFinite(durationMs) || durationMs <= 0 || durationMs > maxDurationMs) {
            return "the duration is not a positive number";
        }
        const deployment = this.deployment();
        const known = deployment?.services.get(service);
        if (deployment !== undefined && known === undefined) {
            return `the configuration has no service ${service}`;
        }
        return known?.pieces === undefined ? undefined : `${service} runs pieces of stages, which have no roll-outs`;
    }

    /** Why a new order can't begin now. */
    private refusalOf({ service, target }: StartCall): OperatorAnswer | undefined {
        const old = this.options.publisher.hostsWithoutRollouts();
        if (old.length > 0) {
            return { kind: "unavailable", message: `these hosts know no roll-outs: ${old.join(", ")}` };
        }
        const versions = this.versionsOf(service);
        return versions.has(target) && versions.size === 1
            ? { kind: "invalid", message: `${service} has no endpoint of another version than ${target}` }
            : undefined;
    }

    private versionsOf(service: string): ReadonlySet<string | undefined> {
        return new Set(this.options.endpoints().filter(one => one.service === service).map(one => one.version));
    }

    private get(service: string): OperatorAnswer {
        const record = this.options.state.rollouts.find(service);
        return record === undefined
            ? { kind: "not-found", message: `there has been no roll-out of ${service}` }
            : { kind: "rollout", record };
    }

    private async abort(service: string, record: RolloutRecord | undefined): Promise<OperatorAnswer> {
        const { state, clock } = this.options;
        if (record === undefined) {
            return this.get(service);
        }
        if (record.state !== "serving") {
            return { kind: "done", version: state.version };
        }
        const verdict = plainVerdict("aborted", clock.wallMs());
        const { order } = record;
        const committed = await this.commit({
            kind: "end-rollout",
            service: record.service,
            order,
            state: "rolled_back",
            verdict,
        });
        return committed.kind === "unavailable" ? committed : { kind: "done", version: state.version };
    }

    private async commit(command: RolloutCommand) {
        const committed = await this.options.log.propose(command, commitTimeoutMs);
        return committed.caseOf({
            Left: error => ({ kind: "unavailable", message: error.message } as const),
            Right: result => ({ kind: (result as { readonly kind: string; }).kind }),
        }) as { readonly kind: "unavailable"; readonly message: string; } | {
            readonly kind: ReturnType<FleetState["rollouts"]["apply"]>;
        };
    }

    /** The configuration in force; undefined when there is none, or when this build can't decode it. */
    private deployment(): Deployment | undefined {
        const { version, text } = this.options.state;
        if (this.decoded?.version !== version) {
            this.decoded = { version, deployment: this.options.decoder.decode(text).toMaybe().extract() };
        }
        return this.decoded.deployment;
    }

    private logged(call: RolloutCall, answer: OperatorAnswer): OperatorAnswer {
        const { kind, ...fields } = call;
        this.options.events.event(EventId.RolloutOrdered, { call: kind, ...fields, outcome: answer });
        return answer;
    }
}
