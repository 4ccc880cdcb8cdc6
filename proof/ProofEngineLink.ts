/** Delivers orders from one host to the simulated engines. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId } from "../src/common/Types.js";
import type { EngineLink } from "../src/endpoints/EngineLink.js";
import type { OrderError } from "../src/endpoints/Types.js";
import type { EngineStateMessage, OrderMessage } from "../src/endpoints/Wire.js";
import type { HostContext } from "./ProofStageClient.js";

/** One-way network delay, in milliseconds. */
const oneWayDelayMs = 1;

export class ProofEngineLink implements EngineLink {
    public constructor(private readonly context: HostContext, private readonly clock: Clock) {}

    public async order(
        endpoint: EndpointId,
        message: OrderMessage,
        timeoutMs: number,
        mayWrite: () => boolean,
    ): Promise<Either<OrderError, void>> {
        await this.clock.sleep(oneWayDelayMs);
        if (this.context.isDead || !this.context.isReachable(endpoint) || !mayWrite()) {
            return Left({ kind: "refused", message: "no connection" });
        }
        await this.clock.sleep(oneWayDelayMs);
        if (!this.context.isReachable(endpoint)) {
            await this.clock.sleep(timeoutMs);
            return Left({ kind: "unknown", message: "no answer" });
        }
        this.context.endpoint(endpoint).order(message);
        await this.clock.sleep(oneWayDelayMs);
        return this.context.isReachable(endpoint) ? Right(undefined) : Left({ kind: "unknown", message: "no answer" });
    }

    public async state(endpoint: EndpointId): Promise<EngineStateMessage | undefined> {
        await this.clock.sleep(oneWayDelayMs);
        return this.context.isReachable(endpoint) ? this.context.endpoint(endpoint).state() : undefined;
    }
}
