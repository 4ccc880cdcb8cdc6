/**
 * Claims over the records group. Every try has a ticket of its own. A try whose answer was lost is withdrawn: its
 * ticket is closed in the log, so that the claim is removed when it was committed and refused when it commits later.
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
    /** Claims that a workspace may have within the retention time. */
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
        const untilMs = this.clock.nowMs() + timeoutMs;
        for (let tries = 0; tries < mostTickets; tries++) {
            const leftMs = untilMs - this.clock.nowMs();
            const ticket = this.client.openTicket();
            const sent = await this.send(key, bodyDigest, request, ticket, leftMs);
            if (sent.isLeft()) {
                return Left(sent.extract());
            }
            const { reply, repeated } = sent.extract() as SentReply;
            await this.decide(key, ticket, reply, repeated, untilMs);
            if (reply.kind !== "session-ended" && reply.kind !== "ticket-closed") {
                return this.toResult(key, request, ticket, reply);
            }
        }
        return Left({ kind: "not-recorded", message: "the host's session was ended again and again" });
    }

    public confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>> {
        return this.client.confirmReachable(timeoutMs);
    }

    /** Also resolves with undefined as soon as the claim was given up unsent, so that the caller may claim again. */
    public async wait(key: ClaimKey, timeoutMs: number, signal: AbortSignal): Promise<RecordedOutcome | undefined> {
        const untilMs = this.clock.nowMs() + timeoutMs;
        let pauseMs = firstPollMs;
        while (!signal.aborted) {
            const leftMs = untilMs - this.clock.nowMs();
            if (leftMs <= 0) {
                return undefined;
            }
            const looked = await this.client.query({ kind: "look", key }, leftMs);
            const reply = looked.orDefault({ kind: "done" });
            if (reply.kind === "recorded") {
                return reply.outcome;
            }
            if (reply.kind === "none") {
                return undefined;
            }
            if (reply.kind === "running" && await this.client.watch(reply.holder, leftMs)) {
                continue;
            }
            await this.clock.sleep(Math.min(pauseMs, Math.max(0, untilMs - this.clock.nowMs())), signal);
            pauseMs = Math.min(pauseMs * 2, mostPollMs);
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
                this.client.settle({ kind: "release", ticket, key });
                this.events.event(EventId.ClaimUnanswered, { workspace: key.workspace, request });
            }
            else {
                this.client.closeTicket(ticket);
            }
        });
        return sent;
    }

    /** Closes the ticket. Where the session ended between two attempts, the first may have left a claim behind. */
    private async decide(
        key: ClaimKey,
        ticket: Ticket,
        reply: RecordsReply,
        repeated: boolean,
        untilMs: number,
    ): Promise<void> {
        this.client.closeTicket(ticket);
        if (!repeated || (reply.kind !== "session-ended" && reply.kind !== "ticket-closed")) {
            return;
        }
        const release = { kind: "release", ticket, key } as const;
        const released = await this.client.send(release, untilMs - this.clock.nowMs());
        released.ifLeft(() => this.client.settle(release));
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

/** Characters that the claims of a workspace may take, outcomes included. */
const claimSizeLimit = 32_000_000;
/** Tickets tried for one claim when the session ends meanwhile. */
const mostTickets = 3;
/** Pauses between two looks at a claim that runs elsewhere, in milliseconds. */
const firstPollMs = 25;
const mostPollMs = 400;
