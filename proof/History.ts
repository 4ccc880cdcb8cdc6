/**
 * What callers sent and got, what endpoints ran, and what hosts had in force. The checks look at nothing else: not at
 * logs, ledgers or state machines of the program.
 */
import type { Failure } from "../src/common/Outcome.js";

export type RequestKind = "profile" | "hold";

/** A request as its caller saw it. */
export interface SeenRequest {
    readonly id: string;
    readonly kind: RequestKind;
    readonly input: unknown;
    /** Idempotency key; resends share it. */
    readonly key: string | undefined;
    readonly host: string;
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    /** Undefined while there is no answer; a caller whose host died never gets one. */
    outcome: { readonly kind: "answered"; readonly text: string; } | Failure | undefined;
    endedAtMs: number | undefined;
}

/** A job as its caller saw it. */
export interface SeenJob {
    readonly id: string;
    readonly input: unknown;
    accepted: boolean;
    cancelled: boolean;
    state: string | undefined;
    answer: string | undefined;
}

/** One call as an endpoint saw it. */
export interface SeenCall {
    readonly endpoint: string;
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
    readonly input: unknown;
    readonly idempotent: boolean;
    readonly atMs: number;
    /** Calls in flight on the endpoint, this one included, and what it could bear. */
    readonly inFlight: number;
    readonly bearable: number;
    /** Time since the endpoint last turned cold unannounced, in milliseconds. */
    readonly sinceColdMs: number;
    /** How the endpoint's work ended, whether its reply arrived or not; undefined while it runs or when it was lost. */
    end: "done" | "failed" | undefined;
}

/** The configuration in force on one host at one time. */
export interface SeenVersion {
    readonly host: string;
    readonly incarnation: number;
    readonly version: number;
    readonly text: string;
    readonly atMs: number;
}

/** A change that an operator was told is accepted. */
export interface AcceptedChange {
    readonly version: number;
    readonly what: string;
    readonly atMs: number;
}

/** A time in which an endpoint or a data centre was to get no new work. */
export interface ClosedTime {
    readonly endpoints: readonly string[];
    readonly fromMs: number;
    toMs: number;
}

/** An order that an engine carried out. */
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
    public readonly closed: ClosedTime[] = [];
    /** Times in which a host was down or cut off. */
    public readonly away: { readonly host: string; readonly fromMs: number; toMs: number; }[] = [];
    /** Times of mixed faults, in which nothing is said about how quickly anything gets anywhere. */
    public readonly disturbed: { readonly fromMs: number; toMs: number; }[] = [];
    /** Endpoints crashed by a request that crashes each one, by its input. */
    public readonly crashes = new Map<string, number>();
}

/** The answer that a pipeline gives for an input, computed apart from the program. */
export function expectedAnswer(kind: RequestKind, input: unknown): string {
    const stages = kind === "profile" ? ["encode", "write"] : ["check", "place"];
    return stages.reduce<string>((before, stage) => stageOutput(stage, input, before), "");
}

/** What an endpoint gives for a stage, after the output of the stage before. */
export function stageOutput(stage: string, input: unknown, before: string): string {
    return `${stage}[${JSON.stringify(input)}${before === "" ? "" : ` after ${before}`}]`;
}
