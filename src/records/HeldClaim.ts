/** A claim held by this host: the right to send one call that must not be repeated. */
import { type Either, Left, Right } from "purify-ts";
import type { RequestId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BodyOf, Ticket } from "./Commands.js";
import type { RecordsClient } from "./RecordsClient.js";
import type { Claim, ClaimKey, RecordedOutcome, RecordsError } from "./Types.js";

export class HeldClaim implements Claim {
    /** The command that ends the claim. It may be sent again, but not be replaced by another. */
    private endCommand: BodyOf<"finish" | "release"> | undefined;
    private isHeld = true;

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
        const result = await this.commitEnd({ kind: "finish", key, ticket, outcome, retentionMs }, timeoutMs);
        this.events.event(EventId.ClaimEnded, {
            ...this.eventFields(),
            outcome: outcome.kind,
            recorded: result.isRight(),
        });
        return result;
    }

    public async release(timeoutMs: number): Promise<Either<RecordsError, void>> {
        const result = await this.commitEnd({ kind: "release", key: this.key, ticket: this.ticket }, timeoutMs);
        this.events.event(EventId.ClaimReleased, { ...this.eventFields(), recorded: result.isRight() });
        return result;
    }

    /**
     * Sends the command that ends the claim. If the group doesn't reply in time, the client keeps sending it in the
     * background, and the same call may be repeated to wait for the commit.
     */
    private async commitEnd(
        body: BodyOf<"finish" | "release">,
        timeoutMs: number,
    ): Promise<Either<RecordsError, void>> {
        const endCommand = this.endCommand ??= body;
        if (JSON.stringify(endCommand) !== JSON.stringify(body)) {
            return Left({ kind: "not-recorded", message: "the claim was already ended in another way" });
        }
        const sent = await this.client.send(endCommand, timeoutMs);
        this.dropHold();
        return sent.caseOf<Either<RecordsError, void>>({
            Left: error => {
                this.client.sendInBackground(endCommand);
                return Left({ kind: "unknown", message: error.message });
            },
            Right: ({ reply }) => {
                this.client.cancelBackgroundSend(endCommand);
                return reply.kind === "refused"
                    ? Left({ kind: "not-recorded", message: reply.message })
                    : Right(undefined);
            },
        });
    }

    private dropHold(): void {
        if (this.isHeld) {
            this.isHeld = false;
            this.client.drop("claim");
        }
    }

    private eventFields(): Record<string, unknown> {
        return { workspace: this.key.workspace, request: this.request };
    }
}
