/** Interfaces of the HTTP API for callers, operators and the balancer. */

/**
 * Whether the balancer should route callers to this host, as its health check reports it. `data-centre-out` means that
 * operators have taken the host's data centre out of service.
 */
export type Readiness =
    | { readonly ready: true; }
    | { readonly ready: false; readonly reason: "starting" | "no-config" | "data-centre-out" | "stopping"; };

export interface ReadinessSource {
    readiness(): Readiness;
}

/** An operator's route, registered by the daemon; paths start with /v1/operator/. */
export interface OperatorRoute {
    readonly method: "GET" | "POST";
    readonly path: string;
    handle(req: OperatorRequest): Promise<OperatorReply>;
}

export interface OperatorRequest {
    readonly query: URLSearchParams;
    /** Parsed JSON body; undefined for GET. */
    readonly body: unknown;
    /** Aborted when the operator disconnects. */
    readonly signal: AbortSignal;
}

export interface OperatorReply {
    readonly status: number;
    readonly body: unknown;
}
