/**
 * Handles operator calls on a control host: putting a configuration, reading the latest one, taking data centres out of
 * use and back, and roll-outs. A change is acknowledged once it is committed. Reads are linearizable.
 *
 * An operator who gets no answer gives the order to another host, and newer orders after it. A copy that this host still
 * has must not take effect behind them: an order without a version is bound to the state that was confirmed while the
 * operator was there, and is refused when that has changed.
 */
import type { Clock, DataCentreId, HostId, ServiceId } from "../common/Types.js";
import type { RaftLog } from "../replication/RaftLog.js";
import type { Json } from "../replication/Types.js";
import type { RolloutRecord } from "../rollouts/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { FleetCommand, FleetState } from "./FleetState.js";
import type { RolloutCalls } from "./RolloutCalls.js";
import type { DeploymentDecoder } from "./Types.js";

/** Time limit for committing a change; operators retry after a second or more without an answer. */
const commitTimeoutMs = 2500;
/**
 * Time limit for confirming the latest state, for a read and for the state to which an order is bound. Operators turn to
 * another host after a second.
 */
const readTimeoutMs = 900;

/** An operator's request, as the adapter has decoded it. */
export type OperatorCall =
    | { readonly kind: "put-config"; readonly text: string; }
    | { readonly kind: "get-config"; }
    | { readonly kind: "set-data-centre"; readonly dataCentre: DataCentreId; readonly isOut: boolean; }
    | {
        readonly kind: "start-rollout";
        readonly service: ServiceId;
        readonly target: string;
        readonly durationMs: number;
    }
    | { readonly kind: "get-rollout"; readonly service: ServiceId; }
    | { readonly kind: "abort-rollout"; readonly service: ServiceId; }
    /** A known call whose body or path can't be decoded. */
    | { readonly kind: "malformed"; readonly message: string; };

export type OperatorAnswer =
    /** The change is committed, or superseded by a later configuration; `version` is the latest one. */
    | { readonly kind: "done"; readonly version: number; }
    | { readonly kind: "config"; readonly text: string; }
    | { readonly kind: "rollout"; readonly record: RolloutRecord; }
    /** The same order is in progress. */
    | { readonly kind: "in-progress"; readonly message: string; }
    | { readonly kind: "not-found"; readonly message: string; }
    /** The call can never succeed. */
    | { readonly kind: "invalid"; readonly message: string; }
    /** The outcome is unknown or the call failed; it may be retried at any control host. */
    | { readonly kind: "unavailable"; readonly message: string; };

/** The operator who has made a call. */
export interface OperatorPresence {
    /** True when the operator has closed the connection, and may have given other orders elsewhere. */
    hasLeft(): Promise<boolean>;
}

/** An operator who waits for the answer however long it takes. */
const patientOperator: OperatorPresence = { hasLeft: async () => false };

interface OperatorCallHandlerOptions {
    readonly self: HostId;
    readonly log: Pick<RaftLog, "propose" | "readBarrier">;
    readonly state: FleetState;
    readonly decoder: DeploymentDecoder;
    readonly rollouts: Pick<RolloutCalls, "execute">;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}

export class OperatorCallHandler {
    public constructor(private readonly options: OperatorCallHandlerOptions) {
        const { state, events } = options;
        state.onStaleOrder(({ order, newer }) => {
            const { dataCentre, isOut, seen, by } = order;
            events.event(EventId.DataCentreOrderStale, { dataCentre, isOut, seen, by, newer });
        });
    }

    /** Executes a call and logs it. */
    public async handle(call: OperatorCall, operator: OperatorPresence = patientOperator): Promise<OperatorAnswer> {
        const { clock, events, metrics } = this.options;
        const startMs = clock.nowMs();
        const answer = await this.execute(call, operator);
        const durationMs = Math.round(clock.nowMs() - startMs);
        metrics.count("operator_calls", { call: call.kind, outcome: answer.kind });
        events.event(EventId.DeploymentChangeEnded, {
            ...callSummary(call),
            outcome: answerSummary(answer),
            durationMs,
        });
        return answer;
    }

    private async execute(call: OperatorCall, operator: OperatorPresence): Promise<OperatorAnswer> {
        switch (call.kind) {
            case "put-config":
                return this.putConfig(call.text);
            case "get-config":
                return this.getConfig();
            case "set-data-centre":
                return this.setDataCentre(call, operator);
            case "start-rollout":
            case "get-rollout":
            case "abort-rollout":
                return this.options.rollouts.execute(call, operator);
            case "malformed":
                return { kind: "invalid", message: call.message };
        }
    }

    private async putConfig(text: string): Promise<OperatorAnswer> {
        const decoded = this.options.decoder.decode(text);
        if (decoded.isLeft()) {
            return { kind: "invalid", message: decoded.extract().message };
        }
        const { version } = decoded.unsafeCoerce();
        if (version <= this.options.state.version) {
            // Applied state is committed, so the newer version supersedes this one for good.
            return { kind: "done", version: this.options.state.version };
        }
        const command = { kind: "put-config", version, text } as const;
        return (await this.commit(command)) ?? unavailable("the configuration was not applied");
    }

    /** Binds the order to the latest state, anew if another operator's order comes between. */
    private async setDataCentre(
        { kind, dataCentre, isOut }: Extract<OperatorCall, { readonly kind: "set-data-centre"; }>,
        operator: OperatorPresence,
    ): Promise<OperatorAnswer> {
        const { log, clock, events, self } = this.options;
        const bindUntilMs = clock.nowMs() + readTimeoutMs;
        while (clock.nowMs() < bindUntilMs) {
            const read = await log.readBarrier(bindUntilMs - clock.nowMs());
            if (read.isLeft()) {
                return unavailable(read.extract().message);
            }
            if (await operator.hasLeft()) {
                events.event(EventId.OperatorCallAbandoned, { call: kind });
                return unavailable("the operator has left");
            }
            const seen = read.unsafeCoerce();
            const answer = await this.commit({ kind, dataCentre, isOut, seen, by: self });
            if (answer !== undefined) {
                return answer;
            }
        }
        return unavailable("other orders were committed meanwhile");
    }

    private async getConfig(): Promise<OperatorAnswer> {
        const { log, state } = this.options;
        const barrier = await log.readBarrier(readTimeoutMs);
        if (barrier.isLeft()) {
            return unavailable(barrier.extract().message);
        }
        return state.version > 0
            ? { kind: "config", text: state.text }
            : unavailable("no configuration has been put yet");
    }

    /** Undefined when the command is stale and has changed nothing. */
    private async commit(command: FleetCommand): Promise<OperatorAnswer | undefined> {
        const { log, state } = this.options;
        const committed = await log.propose(command, commitTimeoutMs);
        return committed.caseOf<OperatorAnswer | undefined>({
            Left: error => unavailable(error.message),
            Right: result => isStale(result) ? undefined : { kind: "done", version: state.version },
        });
    }
}

function unavailable(message: string): OperatorAnswer {
    return { kind: "unavailable", message };
}

function isStale(result: Json): boolean {
    return (result as { readonly kind?: string; } | null)?.kind === "stale";
}

function callSummary(call: OperatorCall): Readonly<Record<string, unknown>> {
    return call.kind === "put-config" ? { call: call.kind, chars: call.text.length } : { call: call.kind, ...call };
}

function answerSummary(answer: OperatorAnswer): unknown {
    return answer.kind === "config" ? { kind: answer.kind, chars: answer.text.length } : answer;
}
