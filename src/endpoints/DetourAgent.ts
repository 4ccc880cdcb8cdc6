/** An HTTP agent that makes its connections to an endpoint through other hosts. */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Either } from "purify-ts";
import type { EndpointId, HostId } from "../common/Types.js";
import type { TunnelError } from "../peer/TunnelClient.js";
import { failureMessage } from "../telemetry/BackgroundTask.js";
import type { ConnectError } from "./EndpointConnections.js";

/** Time limit for a connection through another host, several of which may be asked. */
export const detourMs = 500;

/** Connections to endpoints through other hosts. */
export interface EndpointDetours {
    /** True when there is another host. */
    readonly isAvailable: boolean;
    /** True when an endpoint should be connected to through another host first. */
    isPreferred(endpoint: EndpointId): boolean;
    open(endpoint: EndpointId, signal: AbortSignal): Promise<Either<TunnelError, Socket>>;
    /** The host through which a connection goes; undefined for a direct one. */
    throughOf(socket: Socket): HostId | undefined;
    /** True when the host through which an ended connection went states that the endpoint has ended it in order. */
    confirmsEnd(socket: Socket, signal: AbortSignal): Promise<boolean>;
    /** Records that a new direct connection was made. */
    recordConnected(endpoint: EndpointId): void;
    /** Records that a detour led to an endpoint that could not be connected to directly. */
    recordDetour(endpoint: EndpointId, error: ConnectError, through: HostId | undefined): void;
}

/** The error of a connection through another host. */
export class DetourError extends Error {
    public constructor(public readonly error: TunnelError) {
        super(error.message);
    }
}

export class DetourAgent extends http.Agent {
    public constructor(
        private readonly endpoint: EndpointId,
        private readonly detours: EndpointDetours,
        options: http.AgentOptions,
    ) {
        super(options);
    }

    /** An agent that makes the same connections and keeps none. */
    public unpooled(): DetourAgent {
        return new DetourAgent(this.endpoint, this.detours, {});
    }

    public override createConnection(
        _: http.ClientRequestArgs,
        callback?: (err: Error | null, socket: Duplex) => void,
    ): undefined {
        // Independent of the request, since the agent gives the connection to the next one when that is aborted.
        const fail = (error: TunnelError) => callback?.(new DetourError(error), undefined as never);
        this.detours.open(this.endpoint, AbortSignal.timeout(detourMs)).then(
            opened => opened.caseOf({ Left: fail, Right: socket => callback?.(null, socket) }),
            (err: unknown) => fail({ kind: "unavailable", message: failureMessage(err) }),
        );
        return undefined;
    }
}
