/** A claim that this host holds: the right to send one call that may not be repeated. */
import { type Either, Left, Right } from "purify-ts";
import type { RequestId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BodyOf, Ticket } from "./Commands.js";
import type { RecordsClient } from "./RecordsClient.js";
import type { Claim, ClaimKey, RecordedOutcome, RecordsError } from "./Types.js";

export class HeldClaim implements Claim {
    private settled = false;

    public constructor(
        private readonly client: RecordsClient,
        private readonly events: EventLog,
        public readonly key: ClaimKey,
        public readonly request: RequestId,
        private readonly ticket: Ticket,
        private readonly retentionMs: number,
    ) {
        client.hold("claim");
    }

    public async finish(outcome: RecordedOutcome, timeoutMs: number): Promise<Either<RecordsError, void>> {
        const { key, ticket, retentionMs } = this;
        const result = await this.settle({ kind: "finish", key, ticket, outcome, retentionMs }, timeoutMs);
        this.events.event(EventId.ClaimEnded, {
            ...this.labels(),
            outcome: outcome.kind,
            recorded: result.isRight(),
        });
        return result;
    }

    public async release(timeoutMs: number): Promise<Either<RecordsError, void>> {
        const result = await this.settle({ kind: "release", key: this.key, ticket: this.ticket }, timeoutMs);
        this.events.event(EventId.ClaimReleased, { ...this.labels(), recorded: result.isRight() });
        return result;
    }

    /** Sends the end of the claim; where the group doesn't answer in time, the client goes on in the background. */
    private async settle(body: BodyOf<"finish" | "release">, timeoutMs: number): Promise<Either<RecordsError, void>> {
        if (this.settled) {
            return Left({ kind: "not-recorded", message: "the claim was ended before" });
        }
        this.settled = true;
        const sent = await this.client.send(body, timeoutMs);
        this.client.drop("claim");
        return sent.caseOf<Either<RecordsError, void>>({
            Left: error => {
                this.client.settle(body);
                return Left({ kind: "unknown", message: error.message });
            },
            Right: ({ reply }) =>
                reply.kind === "refused"
                    ? Left({ kind: "not-recorded", message: reply.message })
                    : Right(undefined),
        });
    }

    private labels(): Record<string, unknown> {
        return { workspace: this.key.workspace, request: this.request };
    }
}
