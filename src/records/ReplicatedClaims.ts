/**
 * Claims over the records group. Every attempt has its own ticket. An attempt whose reply was lost is withdrawn: its
 * ticket is closed in the log, so that its claim is removed if it was committed, and refused if it is committed later.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId, RequestId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { RecordsReply, Ticket } from "./Commands.js";
import { HeldClaim } from "./HeldClaim.js";
import type { RecordsClient, SentReply } from "./RecordsClient.js";
import type { ClaimKey, ClaimResult, Claims, RecordedOutcome, RecordsError } from "./Types.js";

export interface ClaimLimits {
    /** Bound on the claims of a workspace within the retention time. */
    readonly claimsPerWorkspace: number;
    /** How long outcomes are kept, in milliseconds. */
    readonly claimRetentionMs: number;
}

export class ReplicatedClaims implements Claims {
    public constructor(
        private readonly client: RecordsClient,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly limits: () => ClaimLimits,
    ) {}

    public async claim(
        key: ClaimKey,
        bodyDigest: string,
        request: RequestId,
        timeoutMs: number,
    ): Promise<Either<RecordsError, ClaimResult>> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        for (let attempts = 0; attempts < maxAttempts; attempts++) {
            const remainingMs = deadlineMs - this.clock.nowMs();
            const ticket = this.client.openTicket();
            const sent = await this.send(key, bodyDigest, request, ticket, remainingMs);
            if (sent.isLeft()) {
                return Left(sent.extract());
            }
            const { reply, repeated } = sent.extract() as SentReply;
            await this.closeTicket(key, ticket, reply, repeated, deadlineMs);
            if (reply.kind !== "session-ended" && reply.kind !== "ticket-closed") {
                return this.toResult(key, request, ticket, reply);
            }
        }
        return Left({ kind: "not-recorded", message: "the host's session ended in every attempt" });
    }

    public confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>> {
        return this.client.confirmReachable(timeoutMs);
    }

    /** Also resolves with undefined as soon as the claim was released unsent, so that the caller may claim again. */
    public async wait(key: ClaimKey, timeoutMs: number, signal: AbortSignal): Promise<RecordedOutcome | undefined> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        let pauseMs = initialPollMs;
        while (!signal.aborted) {
            const remainingMs = deadlineMs - this.clock.nowMs();
            if (remainingMs <= 0) {
                return undefined;
            }
            const queried = await this.client.query({ kind: "look", key }, remainingMs);
            const reply = queried.orDefault({ kind: "done" });
            if (reply.kind === "recorded") {
                return reply.outcome;
            }
            if (reply.kind === "none") {
                return undefined;
            }
            if (reply.kind === "running" && await this.client.expireIfStale(reply.holder, remainingMs)) {
                continue;
            }
            await this.clock.sleep(Math.min(pauseMs, Math.max(0, deadlineMs - this.clock.nowMs())), signal);
            pauseMs = Math.min(pauseMs * 2, maxPollMs);
        }
        return undefined;
    }

    private async send(
        key: ClaimKey,
        digest: string,
        request: RequestId,
        ticket: Ticket,
        timeoutMs: number,
    ): Promise<Either<RecordsError, SentReply>> {
        const { claimsPerWorkspace: limit, claimRetentionMs: retentionMs } = this.limits();
        const sent = await this.client.send(
            { kind: "claim", ticket, key, digest, request, limit, sizeLimit: claimSizeLimit, retentionMs },
            timeoutMs,
        );
        sent.ifLeft(error => {
            if (error.kind === "unknown") {
                this.client.sendInBackground({ kind: "release", ticket, key });
                this.events.event(EventId.ClaimUnanswered, { workspace: key.workspace, request });
            }
            else {
                this.client.closeTicket(ticket);
            }
        });
        return sent;
    }

    /** Closes the ticket. If the session ended between two sends of the command, the first may have left a claim. */
    private async closeTicket(
        key: ClaimKey,
        ticket: Ticket,
        reply: RecordsReply,
        repeated: boolean,
        deadlineMs: number,
    ): Promise<void> {
        this.client.closeTicket(ticket);
        if (!repeated || (reply.kind !== "session-ended" && reply.kind !== "ticket-closed")) {
            return;
        }
        const release = { kind: "release", ticket, key } as const;
        const released = await this.client.send(release, deadlineMs - this.clock.nowMs());
        released.ifLeft(() => this.client.sendInBackground(release));
    }

    private toResult(
        key: ClaimKey,
        request: RequestId,
        ticket: Ticket,
        reply: RecordsReply,
    ): Either<RecordsError, ClaimResult> {
        switch (reply.kind) {
            case "claimed": {
                const { claimRetentionMs } = this.limits();
                const claim = new HeldClaim(this.client, this.events, key, request, ticket, claimRetentionMs);
                this.events.event(EventId.ClaimMade, { workspace: key.workspace, request });
                return Right({ kind: "claimed", claim });
            }
            case "recorded":
                return Right({ kind: "recorded", outcome: reply.outcome });
            case "running":
                return Right({
                    kind: "running",
                    host: reply.holder.session.host as HostId,
                    request: reply.request,
                });
            case "key-reused":
                return Right({ kind: "key-reused" });
            case "full": {
                const message = `workspace ${key.workspace} has too many claims`;
                return Left({ kind: "full", message, retryAfterMs: reply.retryAfterMs });
            }
            default:
                return Left({ kind: "not-recorded", message: `unexpected reply: ${reply.kind}` });
        }
    }
}

/** Bound on the size of a workspace's claims including outcomes, in characters. */
const claimSizeLimit = 32_000_000;
/** Bound on attempts to claim when the session ends in the meantime, each with its own ticket. */
const maxAttempts = 3;
/** First and longest pause between two queries of a claim that another host holds, in milliseconds. */
const initialPollMs = 25;
const maxPollMs = 400;
