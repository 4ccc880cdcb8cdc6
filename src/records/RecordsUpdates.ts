/**
 * Updates about queued jobs, job holders and crash marks for hosts without a replica, by long polling from a host with
 * one. Updates don't go through the log, so that the group commits nothing while it is idle.
 */
import * as z from "zod";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event, HostId } from "../common/Types.js";
import { definePeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import type { HolderHeartbeat, RecordsReply } from "./Commands.js";
import type { RecordsReplica } from "./RecordsClient.js";

/** How long a request waits for an update, and the extra time that the caller allows for the reply, in milliseconds. */
const updateWaitMs = 5000;
const replyMarginMs = 1000;
/** Pause after a source that did not reply, and pause between two updates while jobs are queued, in milliseconds. */
const retryPauseMs = 500;
const queuedPauseMs = 200;
/** Longest wait for an update while jobs are held, as the caller needs their holders' heartbeats, in milliseconds. */
const holderRefreshMs = 1000;

interface RecordsUpdateRequest {
    /** Version of the caller's crash marks. */
    readonly marksVersion: number;
    readonly waitMs: number;
}

interface RecordsUpdate {
    readonly queuedJobs: number;
    readonly jobHolders: readonly HolderHeartbeat[];
    /** Changes of the crash marks since the caller's version; undefined if there are none. */
    readonly marks: RecordsReply | undefined;
}

/** The long poll for updates, `records.news` on the wire. */
const updateMethod = definePeerMethod<RecordsUpdateRequest, RecordsUpdate>(
    "records.news",
    z.object({ marksVersion: z.number().int(), waitMs: z.number().min(0) }),
);

/** Serves updates from the local replica. */
export class RecordsUpdateServer {
    private readonly applied = new Emitter<number>();

    public constructor(
        private readonly replica: RecordsReplica,
        onApplied: Event<number>,
        private readonly clock: Clock,
    ) {
        onApplied(index => this.applied.fire(index));
    }

    public register(registry: PeerRegistry): void {
        registry.handle(updateMethod, req => this.handleRequest(req));
    }

    private async handleRequest(req: RecordsUpdateRequest): Promise<RecordsUpdate> {
        const hasHolders = this.replica.jobHolders.length > 0;
        const maxWaitMs = hasHolders ? Math.min(req.waitMs, holderRefreshMs) : req.waitMs;
        const deadlineMs = this.clock.nowMs() + maxWaitMs;
        while (!this.hasUpdate(req) && this.clock.nowMs() < deadlineMs) {
            await this.nextApplied(deadlineMs - this.clock.nowMs());
        }
        const { queuedJobs, jobHolders, marksVersion } = this.replica;
        const marks = marksVersion > req.marksVersion
            ? this.replica.query({ kind: "marks", since: req.marksVersion })
            : undefined;
        return { queuedJobs, jobHolders, marks };
    }

    private hasUpdate(req: RecordsUpdateRequest): boolean {
        return this.replica.queuedJobs > 0 || this.replica.marksVersion > req.marksVersion;
    }

    private async nextApplied(timeoutMs: number): Promise<void> {
        const woken = new AbortController();
        const listener = this.applied.event(() => woken.abort());
        await this.clock.sleep(timeoutMs, woken.signal);
        listener.dispose();
    }
}

export interface RecordsUpdateClientOptions {
    /** Hosts with a replica, those of this data centre first. */
    readonly sources: () => readonly HostId[];
    readonly transport: PeerTransport;
    readonly clock: Clock;
}

/** Receives updates from a host with a replica. */
export class RecordsUpdateClient {
    public readonly name = "records news";
    private readonly marksEmitter = new Emitter<RecordsReply>();
    private readonly jobsEmitter = new Emitter<number>();
    private latest: RecordsUpdate = { queuedJobs: 0, jobHolders: [], marks: undefined };
    private marksVersion = 0;

    public constructor(private readonly options: RecordsUpdateClientOptions) {}

    /** Fires with each change of the crash marks. */
    public readonly onMarks: Event<RecordsReply> = this.marksEmitter.event;
    /** Fires with the number of queued jobs at each update that has any. */
    public readonly onQueuedJobs: Event<number> = this.jobsEmitter.event;

    public get queuedJobs(): number {
        return this.latest.queuedJobs;
    }

    public get jobHolders(): readonly HolderHeartbeat[] {
        return this.latest.jobHolders;
    }

    /** Polls one source, and the next one when it does not reply, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { sources, clock } = this.options;
        let sourceNumber = 0;
        while (!signal.aborted) {
            const hosts = sources();
            const source = hosts[sourceNumber % Math.max(1, hosts.length)];
            const hasReply = source !== undefined && await this.poll(source, signal);
            if (!hasReply) {
                sourceNumber += 1;
                await clock.sleep(retryPauseMs, signal);
            }
            else if (this.latest.queuedJobs > 0) {
                await clock.sleep(queuedPauseMs, signal);
            }
        }
    }

    private async poll(source: HostId, signal: AbortSignal): Promise<boolean> {
        const req = { marksVersion: this.marksVersion, waitMs: updateWaitMs };
        const options = { timeoutMs: updateWaitMs + replyMarginMs, signal };
        const reply = await this.options.transport.call(source, updateMethod, req, options);
        reply.ifRight(update => this.applyUpdate(update));
        return reply.isRight();
    }

    private applyUpdate(update: RecordsUpdate): void {
        this.latest = update;
        if (update.marks?.kind === "marks") {
            this.marksVersion = update.marks.version;
            this.marksEmitter.fire(update.marks);
        }
        if (update.queuedJobs > 0) {
            this.jobsEmitter.fire(update.queuedJobs);
        }
    }
}
