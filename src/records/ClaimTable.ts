/**
 * Claims of calls that may run at most once. A key has one claim, and a claim has one ticket, whose holder is the only
 * sender. A claim is removed when its sender releases it without having sent the call, or when its outcome has been
 * kept for the retention time.
 */
import { invariant } from "../common/Invariant.js";
import type { RequestId } from "../common/Types.js";
import { type BodyOf, type ClaimReply, type CommonReply, type RawClaimKey, type SessionId } from "./Commands.js";
import { sessionText, type Ticket, ticketText } from "./Commands.js";
import { ExpiryQueue } from "./ExpiryQueue.js";
import type { SessionTable } from "./SessionTable.js";
import type { RecordedOutcome } from "./Types.js";
import { WorkspaceUsage } from "./WorkspaceUsage.js";

interface ClaimRecord {
    readonly key: RawClaimKey;
    readonly digest: string;
    readonly request: string;
    readonly ticket: Ticket;
    readonly retentionMs: number;
    /** Undefined while the claim runs. */
    readonly outcome: RecordedOutcome | undefined;
    /** True when the sender itself recorded the outcome, false when the sender was lost. */
    readonly bySender: boolean;
    /** Group time at which an ended claim is removed, in milliseconds. */
    readonly forgetAtMs: number;
}

export interface ClaimTableSnapshot {
    readonly claims: readonly ClaimRecord[];
    readonly ended: ReturnType<ExpiryQueue<RawClaimKey>["snapshot"]>;
}

/** Message of the unknown outcome that {@link ClaimTable.endSession} records. */
const lostMessage = "the host that sent the call was lost before it recorded the outcome";

export class ClaimTable {
    private readonly claims = new Map<string, Map<string, ClaimRecord>>();
    private readonly running = new Map<string, ClaimRecord>();
    private readonly usage = new WorkspaceUsage();
    private readonly ended = new ExpiryQueue<RawClaimKey>();

    public constructor(private readonly sessions: SessionTable) {}

    /** Claims a key. Any reply other than "claimed" closes the ticket, so that a repeated command can't claim later. */
    public claim(body: BodyOf<"claim">, nowMs: number): ClaimReply | CommonReply {
        const reply = this.tryClaim(body, nowMs);
        if (reply.kind !== "claimed") {
            this.sessions.close(body.ticket);
        }
        return reply;
    }

    /** Returns the state of the key's claim without changing it. */
    public lookUp(key: RawClaimKey): ClaimReply {
        const known = this.find(key);
        return known === undefined ? { kind: "none" } : this.describe(known);
    }

    /** Records the sender's outcome. It replaces the unknown outcome that was recorded when the sender was lost. */
    public finish(body: BodyOf<"finish">, nowMs: number): CommonReply {
        const known = this.find(body.key);
        if (known === undefined || ticketText(known.ticket) !== ticketText(body.ticket)) {
            return { kind: "refused", message: "the claim is not held" };
        }
        this.sessions.close(body.ticket);
        if (!known.bySender) {
            this.end({ ...known, retentionMs: body.retentionMs }, body.outcome, true, nowMs);
        }
        return { kind: "done" };
    }

    /** Removes a claim whose call was not sent. Closes the ticket even if its claim is not committed yet. */
    public release(body: BodyOf<"release">): CommonReply {
        this.sessions.close(body.ticket);
        const known = this.find(body.key);
        if (known === undefined || ticketText(known.ticket) !== ticketText(body.ticket)) {
            return { kind: "done" };
        }
        if (known.bySender) {
            return { kind: "refused", message: "the claim's outcome was recorded" };
        }
        this.remove(known);
        return { kind: "done" };
    }

    /** Records an unknown outcome for every running claim of a session. */
    public endSession(session: SessionId, nowMs: number): void {
        const name = sessionText(session);
        for (const claim of [...this.running.values()]) {
            if (sessionText(claim.ticket.session) === name) {
                this.end(claim, { kind: "unknown", message: lostMessage }, false, nowMs);
            }
        }
    }

    /** Removes claims whose retention time is over, at most `limit` of them. */
    public sweep(nowMs: number, limit: number): void {
        for (let removed = 0; removed < limit; removed++) {
            const key = this.ended.popDue(nowMs);
            if (key === undefined) {
                return;
            }
            const known = this.find(key);
            if (known?.outcome !== undefined && known.forgetAtMs <= nowMs) {
                this.remove(known);
            }
        }
    }

    public snapshot(): ClaimTableSnapshot {
        const claims = [...this.claims.values()].flatMap(one => [...one.values()]);
        return { claims, ended: this.ended.snapshot() };
    }

    public restore(snapshot: ClaimTableSnapshot): void {
        this.claims.clear();
        this.running.clear();
        this.usage.clear();
        this.ended.restore(snapshot.ended);
        for (const claim of snapshot.claims) {
            this.put(claim);
        }
    }

    private tryClaim(body: BodyOf<"claim">, nowMs: number): ClaimReply | CommonReply {
        const known = this.find(body.key);
        if (known === undefined) {
            return this.insert(body, nowMs);
        }
        if (ticketText(known.ticket) === ticketText(body.ticket) && known.outcome === undefined) {
            return { kind: "claimed" };
        }
        return known.digest === body.digest ? this.describe(known) : { kind: "key-reused" };
    }

    private insert(body: BodyOf<"claim">, nowMs: number): ClaimReply | CommonReply {
        if (!this.sessions.isOpen(body.ticket)) {
            return { kind: "ticket-closed" };
        }
        if (this.usage.isFull(body.key.workspace, body)) {
            const retryAfterMs = Math.max(minRetryAfterMs, (this.ended.nextDueMs ?? nowMs) - nowMs);
            return { kind: "full", retryAfterMs };
        }
        const { key, digest, request, ticket, retentionMs } = body;
        this.put({ key, digest, request, ticket, retentionMs, outcome: undefined, bySender: false, forgetAtMs: 0 });
        return { kind: "claimed" };
    }

    private end(claim: ClaimRecord, outcome: RecordedOutcome, bySender: boolean, nowMs: number): void {
        invariant(!claim.bySender, "a sender's outcome is recorded once", { key: claim.key });
        const forgetAtMs = nowMs + claim.retentionMs;
        this.put({ ...claim, outcome, bySender, forgetAtMs });
        this.ended.add(claim.key, forgetAtMs);
    }

    private describe(claim: ClaimRecord): ClaimReply {
        if (claim.outcome !== undefined) {
            return { kind: "recorded", outcome: claim.outcome };
        }
        const holder = this.sessions.heartbeatOf(claim.ticket.session);
        return { kind: "running", request: claim.request as RequestId, holder };
    }

    private find(key: RawClaimKey): ClaimRecord | undefined {
        return this.claims.get(key.workspace)?.get(key.key);
    }

    private put(claim: ClaimRecord): void {
        const { workspace, key } = claim.key;
        const before = this.find(claim.key);
        invariant(
            before === undefined || ticketText(before.ticket) === ticketText(claim.ticket),
            "a claim has at most one sender",
            { workspace, key },
        );
        const workspaceClaims = this.claims.get(workspace) ?? new Map<string, ClaimRecord>();
        this.claims.set(workspace, workspaceClaims.set(key, claim));
        this.usage.add(workspace, before === undefined ? 1 : 0, sizeOf(claim) - sizeOf(before));
        if (claim.outcome === undefined) {
            this.running.set(ticketText(claim.ticket), claim);
        }
        else {
            this.running.delete(ticketText(claim.ticket));
        }
    }

    private remove(claim: ClaimRecord): void {
        this.claims.get(claim.key.workspace)?.delete(claim.key.key);
        this.usage.add(claim.key.workspace, -1, -sizeOf(claim));
        this.running.delete(ticketText(claim.ticket));
    }
}

/** Size of the claim's key, digest and outcome, in characters. */
function sizeOf(claim: ClaimRecord | undefined): number {
    if (claim === undefined) {
        return 0;
    }
    const { outcome } = claim;
    const text = outcome === undefined ? "" : outcome.kind === "answered" ? outcome.answer : outcome.message;
    return claim.key.key.length + claim.digest.length + text.length;
}

/** Shortest retry delay that a caller gets when a workspace is full, in milliseconds. */
const minRetryAfterMs = 1000;
