/**
 * Quarantine over the records group. Every host keeps a copy of the crash marks. It refreshes the copy when its
 * replica, an update or the result of a command carries a newer version, and periodically if it receives no updates.
 */
import { type Either, Right } from "purify-ts";
import type { Clock } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BodyOf, CrashMark, RecordsReply, Ticket } from "./Commands.js";
import type { MarkAnnouncer } from "./PeerMarkAnnouncer.js";
import type { RecordsClient, SentReply } from "./RecordsClient.js";
import type { Fingerprint, Quarantine, RecordsError } from "./Types.js";

export class ReplicatedQuarantine implements Quarantine {
    public readonly name = "quarantine";
    private readonly marks = new Map<Fingerprint, CrashMark>();
    private version = 0;
    /** Newest version of the marks in the result of a command. */
    private newestVersion = 0;
    private wake: (() => void) | undefined;

    public constructor(
        private readonly client: RecordsClient,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly announcer?: MarkAnnouncer,
    ) {
        announcer?.onAnnounced(mark => this.applyMark(mark));
        client.onResult(result => {
            this.newestVersion = Math.max(this.newestVersion, result.marksVersion);
            if (result.marksVersion > this.version) {
                this.wake?.();
            }
        });
        client.updates?.onMarks(reply => this.applyMarks(reply));
        client.onApplied(() => {
            if ((client.replica?.marksVersion ?? 0) > this.version) {
                this.refreshFromReplica();
            }
        });
    }

    public isQuarantined(fingerprint: Fingerprint): boolean {
        return this.marks.get(fingerprint)?.state === "quarantined";
    }

    public isSuspect(fingerprint: Fingerprint): boolean {
        return this.marks.get(fingerprint)?.state === "suspect";
    }

    /** The crash marks that this host knows. */
    public list(): readonly CrashMark[] {
        return [...this.marks.values()].filter(mark => mark.state !== "clear");
    }

    public async reportCrash(fingerprint: Fingerprint, alone: boolean): Promise<Either<RecordsError, void>> {
        this.markLocally(fingerprint, alone);
        const ticket = this.newReportTicket();
        return this.report({ kind: "crash", ticket, fingerprint, alone, retentionMs: quarantineRetentionMs });
    }

    /** Reports in the background, since the answer to the request must not wait for the group. */
    public async reportNoCrash(fingerprint: Fingerprint): Promise<Either<RecordsError, void>> {
        const ticket = this.newReportTicket();
        if (this.isSuspect(fingerprint)) {
            this.marks.delete(fingerprint);
        }
        this.client.sendInBackground({ kind: "innocent", ticket, fingerprint });
        this.events.event(EventId.CrashReported, { fingerprint, report: "innocent", recorded: false });
        return Right(undefined);
    }

    /** Clears the mark of a request for an operator, so that the request may run again. */
    public async clear(fingerprint: Fingerprint, timeoutMs: number): Promise<Either<RecordsError, void>> {
        const sent = await this.client.send({ kind: "pardon", fingerprint }, timeoutMs);
        await this.refresh();
        return sent.map(() => undefined);
    }

    /** Keeps the copy up to date until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await (this.client.updates === undefined ? this.refresh() : this.refreshIfNewer());
            const woken = new AbortController();
            const stop = () => woken.abort();
            this.wake = stop;
            signal.addEventListener("abort", stop);
            await this.clock.sleep(refreshIntervalMs, woken.signal);
            signal.removeEventListener("abort", stop);
        }
    }

    /** Refreshes the copy only when a command's result carried a newer version than the updates. */
    private async refreshIfNewer(): Promise<void> {
        if (this.newestVersion > this.version) {
            await this.refresh();
        }
    }

    /** Fetches the marks that have changed. */
    public async refresh(): Promise<void> {
        if (this.client.replica !== undefined) {
            this.refreshFromReplica();
            return;
        }
        const reply = await this.client.query({ kind: "marks", since: this.version }, reportTimeoutMs);
        reply.ifRight(one => this.applyMarks(one));
    }

    private refreshFromReplica(): void {
        const reply = this.client.replica?.query({ kind: "marks", since: this.version });
        this.applyMarks(reply ?? { kind: "done" });
    }

    private applyMarks(reply: RecordsReply): void {
        if (reply.kind !== "marks" || reply.version <= this.version) {
            return;
        }
        if (reply.reset) {
            this.marks.clear();
            this.version = 0;
        }
        reply.marks.forEach(mark => this.applyMark(mark));
        this.version = reply.version;
        this.events.event(EventId.MarksRefreshed, { version: this.version, marks: this.marks.size });
    }

    /** Applies one mark, unless the copy is at its version or a later one. */
    private applyMark(mark: CrashMark): void {
        if (mark.version <= this.version) {
            return;
        }
        if (mark.state === "clear") {
            this.marks.delete(mark.fingerprint);
        }
        else {
            this.marks.set(mark.fingerprint, mark);
        }
    }

    private async report(body: BodyOf<"crash">): Promise<Either<RecordsError, void>> {
        const sent = await this.client.send(body, reportTimeoutMs);
        this.events.event(EventId.CrashReported, {
            fingerprint: body.fingerprint,
            report: body.kind,
            recorded: sent.isRight(),
        });
        if (sent.isLeft()) {
            this.client.sendInBackground(body);
            return sent.map(() => undefined);
        }
        const { reply } = sent.extract() as SentReply;
        if (reply.kind === "mark") {
            this.applyMark(reply.mark);
            await this.announcer?.announce(reply.mark);
        }
        await this.refresh();
        return Right(undefined);
    }

    /** Returns a unique id for a report, so that a repeated report is counted once. */
    private newReportTicket(): Ticket {
        const ticket = this.client.openTicket();
        this.client.closeTicket(ticket);
        return ticket;
    }

    /** Counts the crash in the local copy at once, even while the group can't be reached. */
    private markLocally(fingerprint: Fingerprint, alone: boolean): void {
        const known = this.marks.get(fingerprint);
        const state = known?.state === "quarantined" || (known !== undefined && alone) ? "quarantined" : "suspect";
        this.marks.set(fingerprint, { fingerprint, state, crashes: (known?.crashes ?? 0) + 1, version: this.version });
    }
}

/** How long a report waits for its commit before it continues in the background, in milliseconds. */
const reportTimeoutMs = 1000;
/** Longest time between two refreshes of the copy, in milliseconds. */
const refreshIntervalMs = 2000;
/** How long a mark is kept after the last crash, in milliseconds. */
const quarantineRetentionMs = 86_400_000;
