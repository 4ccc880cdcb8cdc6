/**
 * Records requests and replies as seen by callers, calls as seen by endpoints, and configuration versions in force on
 * hosts. The checks use nothing else: no logs, ledgers or state machines of the program under test.
 */
import type { Failure } from "../src/common/Outcome.js";

/** Pipeline of a request: all stages of "profile" are idempotent; the last of "hold", which places a hold, is not. */
export type RequestKind = "profile" | "hold";

/** A request as seen by its caller. */
export interface SeenRequest {
    readonly id: string;
    readonly kind: RequestKind;
    readonly input: unknown;
    /** Idempotency key, shared by resends. */
    readonly key: string | undefined;
    readonly host: string;
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    /** Undefined until the caller gets a reply, which it never does if its host dies. */
    outcome: { readonly kind: "answered"; readonly text: string; } | Failure | undefined;
    endedAtMs: number | undefined;
}

/** A job as seen by its caller. */
export interface SeenJob {
    readonly id: string;
    readonly input: unknown;
    accepted: boolean;
    cancelled: boolean;
    state: string | undefined;
    answer: string | undefined;
}

/** One stage call as seen by an endpoint. */
export interface SeenCall {
    readonly endpoint: string;
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
    readonly input: unknown;
    readonly idempotent: boolean;
    readonly atMs: number;
    /** Calls in flight on the endpoint, including this one. */
    readonly inFlight: number;
    /** Number of concurrent calls that the endpoint could handle at that time. */
    readonly bearable: number;
    /** Time since the endpoint last restarted or turned cold, in milliseconds. */
    readonly sinceColdMs: number;
    /** Result on the endpoint, whether or not the reply arrived; undefined while the call runs or if it was lost. */
    end: "done" | "failed" | undefined;
}

/** A configuration version that came into force on a host. */
export interface SeenVersion {
    readonly host: string;
    readonly incarnation: number;
    readonly version: number;
    readonly text: string;
    readonly atMs: number;
}

/** A configuration change that was acknowledged to an operator as accepted. */
export interface AcceptedChange {
    readonly version: number;
    readonly what: string;
    readonly atMs: number;
}

/** A period in which the endpoints should get no new work, because they or their data centre were closed. */
export interface ClosedPeriod {
    readonly endpoints: readonly string[];
    readonly fromMs: number;
    toMs: number;
}

/** An order that an engine executed. */
export interface SeenOrder {
    readonly endpoint: string;
    readonly fencing: number;
    readonly orderId: string;
    readonly atMs: number;
}

export class History {
    public readonly orders: SeenOrder[] = [];
    public readonly requests: SeenRequest[] = [];
    public readonly jobs: SeenJob[] = [];
    public readonly calls: SeenCall[] = [];
    public readonly versions: SeenVersion[] = [];
    public readonly accepted: AcceptedChange[] = [];
    public readonly closed: ClosedPeriod[] = [];
    /** Periods in which a host was down or partitioned. */
    public readonly unreachable: { readonly host: string; readonly fromMs: number; toMs: number; }[] = [];
    /** Periods of mixed faults, which don't count towards time limits. */
    public readonly disrupted: { readonly fromMs: number; toMs: number; }[] = [];
    /** Number of endpoints crashed by each crashing request, by input as JSON. */
    public readonly crashes = new Map<string, number>();
}

/** The answer expected from a pipeline, computed independently of the program under test. */
export function expectedAnswer(kind: RequestKind, input: unknown): string {
    const stages = kind === "profile" ? ["encode", "write"] : ["check", "place"];
    return stages.reduce<string>((before, stage) => stageOutput(stage, input, before), "");
}

/** An endpoint's output for a stage, given the output of the previous stage. */
export function stageOutput(stage: string, input: unknown, before: string): string {
    return `${stage}[${JSON.stringify(input)}${before === "" ? "" : ` after ${before}`}]`;
}
