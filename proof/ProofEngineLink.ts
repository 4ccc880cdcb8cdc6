/** Carries orders from one host to the proofs' engines. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId } from "../src/common/Types.js";
import type { EngineLink } from "../src/endpoints/EngineLink.js";
import type { OrderError } from "../src/endpoints/Types.js";
import type { EngineStateMessage, OrderMessage } from "../src/endpoints/Wire.js";
import type { Wire } from "./ProofStageClient.js";

/** Time of one way, in milliseconds. */
const wayMs = 1;

export class ProofEngineLink implements EngineLink {
    public constructor(private readonly wire: Wire, private readonly clock: Clock) {}

    public async order(
        endpoint: EndpointId,
        message: OrderMessage,
        timeoutMs: number,
        mayWrite: () => boolean,
    ): Promise<Either<OrderError, void>> {
        await this.clock.sleep(wayMs);
        if (this.wire.isDead || !this.wire.isReachable(endpoint) || !mayWrite()) {
            return Left({ kind: "refused", message: "no connection" });
        }
        await this.clock.sleep(wayMs);
        if (!this.wire.isReachable(endpoint)) {
            await this.clock.sleep(timeoutMs);
            return Left({ kind: "unknown", message: "no answer" });
        }
        this.wire.endpoint(endpoint).order(message);
        await this.clock.sleep(wayMs);
        return this.wire.isReachable(endpoint) ? Right(undefined) : Left({ kind: "unknown", message: "no answer" });
    }

    public async state(endpoint: EndpointId): Promise<EngineStateMessage | undefined> {
        await this.clock.sleep(wayMs);
        return this.wire.isReachable(endpoint) ? this.wire.endpoint(endpoint).state() : undefined;
    }
}
