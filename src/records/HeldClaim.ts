/** A claim that this host holds: the right to send one call that may not be repeated. */
import { type Either, Left, Right } from "purify-ts";
import type { RequestId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BodyOf, Ticket } from "./Commands.js";
import type { RecordsClient } from "./RecordsClient.js";
import type { Claim, ClaimKey, RecordedOutcome, RecordsError } from "./Types.js";

export class HeldClaim implements Claim {
    /** The command that ends the claim; it can be sent again, but not be another one. */
    private ending: BodyOf<"finish" | "release"> | undefined;
    private holding = true;

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

    /**
     * Sends the end of the claim. Where the group doesn't answer in time, the client goes on in the background, and
     * the same end may be asked for again to learn of its commit.
     */
    private async settle(body: BodyOf<"finish" | "release">, timeoutMs: number): Promise<Either<RecordsError, void>> {
        const ending = this.ending ??= body;
        if (JSON.stringify(ending) !== JSON.stringify(body)) {
            return Left({ kind: "not-recorded", message: "the claim was ended otherwise before" });
        }
        const sent = await this.client.send(ending, timeoutMs);
        this.drop();
        return sent.caseOf<Either<RecordsError, void>>({
            Left: error => {
                this.client.settle(ending);
                return Left({ kind: "unknown", message: error.message });
            },
            Right: ({ reply }) => {
                this.client.settledElsewhere(ending);
                return reply.kind === "refused"
                    ? Left({ kind: "not-recorded", message: reply.message })
                    : Right(undefined);
            },
        });
    }

    private drop(): void {
        if (this.holding) {
            this.holding = false;
            this.client.drop("claim");
        }
    }

    private labels(): Record<string, unknown> {
        return { workspace: this.key.workspace, request: this.request };
    }
}
