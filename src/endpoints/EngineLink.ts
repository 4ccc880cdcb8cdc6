/** Sends orders to engines and reads engines' states, over HTTP. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointConnections } from "./EndpointConnections.js";
import { requestText } from "./RequestText.js";
import type { OrderError } from "./Types.js";
import { type EngineStateMessage, engineStateSchema, type OrderMessage } from "./Wire.js";

/** Timeout for reading an engine's state. */
const stateTimeoutMs = 1000;
const statusDone = 200;
const statusFenced = 409;

export interface EngineLink {
    /**
     * Sends one order; an engine that has not answered within `timeoutMs` may still carry it out. `mayWrite` is called
     * right before the order is written; false cancels the order.
     */
    order(
        endpoint: EndpointId,
        message: OrderMessage,
        timeoutMs: number,
        mayWrite: () => boolean,
    ): Promise<Either<OrderError, void>>;
    /** Returns the engine's state; undefined when the engine did not answer. */
    state(endpoint: EndpointId): Promise<EngineStateMessage | undefined>;
}

export class HttpEngineLink implements EngineLink {
    public constructor(
        private readonly connections: EndpointConnections,
        private readonly clock: Clock,
        private readonly signal: AbortSignal,
    ) {}

    public async order(
        endpoint: EndpointId,
        message: OrderMessage,
        timeoutMs: number,
        mayWrite: () => boolean,
    ): Promise<Either<OrderError, void>> {
        const { clock, signal } = this;
        const body = JSON.stringify(message);
        const base = { fresh: true, timeoutMs, clock, signal, mayWrite };
        const reply = await requestText(this.connections, endpoint, {
            ...base,
            method: "POST",
            path: "/v1/order",
            body,
        });
        return reply.caseOf<Either<OrderError, void>>({
            Left: ({ kind, message: text }) => {
                return Left({ kind: kind === "broken" ? "unknown" : "refused", message: text });
            },
            Right: ({ status, text }) => {
                if (status === statusDone) {
                    return Right(undefined);
                }
                return Left({ kind: status === statusFenced ? "fenced" : "refused", message: text });
            },
        });
    }

    public async state(endpoint: EndpointId): Promise<EngineStateMessage | undefined> {
        const { clock, signal } = this;
        const reply = await requestText(this.connections, endpoint, {
            method: "GET",
            path: "/v1/state",
            fresh: true,
            timeoutMs: stateTimeoutMs,
            clock,
            signal,
        });
        return reply.caseOf({
            Left: () => undefined,
            Right: ({ status, text }) => (status === statusDone ? parseState(text) : undefined),
        });
    }
}

function parseState(text: string): EngineStateMessage | undefined {
    try {
        const parsed = engineStateSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
