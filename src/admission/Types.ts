/** Types of admission control, which decides which requests begin while capacity is scarce. */
import type { RouteId, ServiceId } from "../fleet/Types.js";

/** A request that asks to begin. */
export interface AdmissionRequest {
    /** Its kind: requests of one route have the same stages and the same objective. */
    readonly route: RouteId;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Services of its stages, as far as they have pieces. */
    readonly stageServices: readonly ServiceId[];
    /** Estimated time of the stages and the reply without any wait. */
    readonly workMs: number;
    /** Time until the latency objective, and until the answer is useless. */
    readonly objectiveMs: number;
    readonly remainingMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "admitted"; }
    /** `retryAfterMs` is when the request is likely to be served; undefined when that is too late for it. */
    | { readonly kind: "refused"; readonly message: string; readonly retryAfterMs: number | undefined; };

export interface Admission {
    enter(request: AdmissionRequest): AdmissionDecision;
}
