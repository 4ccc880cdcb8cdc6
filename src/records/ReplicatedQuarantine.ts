/**
 * Quarantine over the records group. Every host keeps a copy of the marks: it asks for changes when the result of any
 * command names a newer version, and from time to time when it has sent none.
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
    /** The newest version of the marks that a command's result has named. */
    private newestSeen = 0;
    private wake: (() => void) | undefined;

    public constructor(
        private readonly client: RecordsClient,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly announcer?: MarkAnnouncer,
    ) {
        announcer?.onAnnounced(mark => this.adopt(mark));
        client.onResult(result => {
            this.newestSeen = Math.max(this.newestSeen, result.marksVersion);
            if (result.marksVersion > this.version) {
                this.wake?.();
            }
        });
        client.updates?.onMarks(reply => this.learn(reply));
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

    /** All marks that this host knows, for operators. */
    public list(): readonly CrashMark[] {
        return [...this.marks.values()].filter(mark => mark.state !== "clear");
    }

    public async reportCrash(fingerprint: Fingerprint, alone: boolean): Promise<Either<RecordsError, void>> {
        this.markLocally(fingerprint, alone);
        const ticket = this.reportId();
        return this.report({ kind: "crash", ticket, fingerprint, alone, retentionMs: quarantineRetentionMs });
    }

    /** Goes on in the background: the request has its answer, which must not wait for the group. */
    public async reportNoCrash(fingerprint: Fingerprint): Promise<Either<RecordsError, void>> {
        const ticket = this.reportId();
        if (this.isSuspect(fingerprint)) {
            this.marks.delete(fingerprint);
        }
        this.client.settle({ kind: "innocent", ticket, fingerprint });
        this.events.event(EventId.CrashReported, { fingerprint, report: "innocent", recorded: false });
        return Right(undefined);
    }

    /** Lets a request run again, on an operator's order. */
    public async pardon(fingerprint: Fingerprint, timeoutMs: number): Promise<Either<RecordsError, void>> {
        const sent = await this.client.send({ kind: "pardon", fingerprint }, timeoutMs);
        await this.refresh();
        return sent.map(() => undefined);
    }

    /** Keeps the copy fresh until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await (this.client.updates === undefined ? this.refresh() : this.refreshNewer());
            const woken = new AbortController();
            const stop = () => woken.abort();
            this.wake = stop;
            signal.addEventListener("abort", stop);
            await this.clock.sleep(refreshMs, woken.signal);
            signal.removeEventListener("abort", stop);
        }
    }

    /** Asks only when a command's result has named newer marks than the news brought. */
    private async refreshNewer(): Promise<void> {
        if (this.newestSeen > this.version) {
            await this.refresh();
        }
    }

    /** Asks for the marks that have changed. */
    public async refresh(): Promise<void> {
        if (this.client.replica !== undefined) {
            this.refreshFromReplica();
            return;
        }
        const reply = await this.client.query({ kind: "marks", since: this.version }, reportMs);
        reply.ifRight(one => this.learn(one));
    }

    private refreshFromReplica(): void {
        const reply = this.client.replica?.query({ kind: "marks", since: this.version });
        this.learn(reply ?? { kind: "done" });
    }

    private learn(reply: RecordsReply): void {
        if (reply.kind !== "marks" || reply.version <= this.version) {
            return;
        }
        if (reply.reset) {
            this.marks.clear();
            this.version = 0;
        }
        reply.marks.forEach(mark => this.adopt(mark));
        this.version = reply.version;
        this.events.event(EventId.MarksRefreshed, { version: this.version, marks: this.marks.size });
    }

    /** Takes one mark over, unless a later version of the marks is known. */
    private adopt(mark: CrashMark): void {
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
        const sent = await this.client.send(body, reportMs);
        this.events.event(EventId.CrashReported, {
            fingerprint: body.fingerprint,
            report: body.kind,
            recorded: sent.isRight(),
        });
        if (sent.isLeft()) {
            this.client.settle(body);
            return sent.map(() => undefined);
        }
        const { reply } = sent.extract() as SentReply;
        if (reply.kind === "mark") {
            this.adopt(reply.mark);
            await this.announcer?.announce(reply.mark);
        }
        await this.refresh();
        return Right(undefined);
    }

    /** Names a report, so that it counts once however often it is sent. */
    private reportId(): Ticket {
        const ticket = this.client.openTicket();
        this.client.closeTicket(ticket);
        return ticket;
    }

    /** Holds on this host at once, also while the group can't be reached. */
    private markLocally(fingerprint: Fingerprint, alone: boolean): void {
        const known = this.marks.get(fingerprint);
        const state = known?.state === "quarantined" || (known !== undefined && alone) ? "quarantined" : "suspect";
        this.marks.set(fingerprint, { fingerprint, state, crashes: (known?.crashes ?? 0) + 1, version: this.version });
    }
}

/** How long a report waits for its commit before it goes on in the background, in milliseconds. */
const reportMs = 1000;
/** The copy of the marks is refreshed at least this often, in milliseconds. */
const refreshMs = 2000;
/** How long a mark is kept after the last crash, in milliseconds. */
const quarantineRetentionMs = 86_400_000;
