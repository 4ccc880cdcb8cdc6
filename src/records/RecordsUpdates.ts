/**
 * How a host without a replica hears of queued jobs, job holders and crash marks: it waits at a host with a replica
 * until there is something new. Nothing of this goes through the log, so an idle site commits nothing.
 */
import { z } from "zod";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event, HostId } from "../common/Types.js";
import { definePeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import type { HolderBeat, RecordsReply } from "./Commands.js";
import type { RecordsReplica } from "./RecordsClient.js";

/** How long a request waits for news, and by how much the caller's patience exceeds that, in milliseconds. */
const waitMs = 5000;
const replyMarginMs = 1000;
/** Pauses after a source that did not answer, and between two news while jobs are queued, in milliseconds. */
const retryMs = 500;
const busyPauseMs = 200;
/** Holders are looked at again after this long, since their beats change without other news, in milliseconds. */
const holderLookMs = 1000;

interface NewsRequest {
    /** Version of the crash marks that the caller has. */
    readonly marksVersion: number;
    readonly waitMs: number;
}

interface News {
    readonly queuedJobs: number;
    readonly jobHolders: readonly HolderBeat[];
    /** Changes of the crash marks since the caller's version; undefined when there are none. */
    readonly marks: RecordsReply | undefined;
}

const newsMethod = definePeerMethod<NewsRequest, News>(
    "records.news",
    z.object({ marksVersion: z.number().int(), waitMs: z.number().min(0) }),
);

/** Serves news from the local replica. */
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
        registry.handle(newsMethod, req => this.answer(req));
    }

    private async answer(req: NewsRequest): Promise<News> {
        const holdersKnown = this.replica.jobHolders.length > 0;
        const mostMs = holdersKnown ? Math.min(req.waitMs, holderLookMs) : req.waitMs;
        const untilMs = this.clock.nowMs() + mostMs;
        while (!this.hasNews(req) && this.clock.nowMs() < untilMs) {
            await this.nextApplied(untilMs - this.clock.nowMs());
        }
        const { queuedJobs, jobHolders, marksVersion } = this.replica;
        const marks = marksVersion > req.marksVersion
            ? this.replica.query({ kind: "marks", since: req.marksVersion })
            : undefined;
        return { queuedJobs, jobHolders, marks };
    }

    private hasNews(req: NewsRequest): boolean {
        return this.replica.queuedJobs > 0 || this.replica.marksVersion > req.marksVersion;
    }

    private async nextApplied(mostMs: number): Promise<void> {
        const woken = new AbortController();
        const listener = this.applied.event(() => woken.abort());
        await this.clock.sleep(mostMs, woken.signal);
        listener.dispose();
    }
}

export interface RecordsUpdateClientOptions {
    /** Hosts with a replica, those of this data centre first. */
    readonly sources: () => readonly HostId[];
    readonly transport: PeerTransport;
    readonly clock: Clock;
}

/** Follows the news of a host with a replica. */
export class RecordsUpdateClient {
    public readonly name = "records news";
    private readonly marksEmitter = new Emitter<RecordsReply>();
    private readonly jobsEmitter = new Emitter<number>();
    private latest: News = { queuedJobs: 0, jobHolders: [], marks: undefined };
    private marksVersion = 0;

    public constructor(private readonly options: RecordsUpdateClientOptions) {}

    /** Fires with each change of the crash marks. */
    public readonly onMarks: Event<RecordsReply> = this.marksEmitter.event;
    /** Fires with the number of queued jobs when there are any. */
    public readonly onQueuedJobs: Event<number> = this.jobsEmitter.event;

    public get queuedJobs(): number {
        return this.latest.queuedJobs;
    }

    public get jobHolders(): readonly HolderBeat[] {
        return this.latest.jobHolders;
    }

    /** Follows one source after the other until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { sources, clock } = this.options;
        let turn = 0;
        while (!signal.aborted) {
            const hosts = sources();
            const source = hosts[turn % Math.max(1, hosts.length)];
            const isAnswered = source !== undefined && await this.ask(source, signal);
            if (!isAnswered) {
                turn += 1;
                await clock.sleep(retryMs, signal);
            }
            else if (this.latest.queuedJobs > 0) {
                await clock.sleep(busyPauseMs, signal);
            }
        }
    }

    private async ask(source: HostId, signal: AbortSignal): Promise<boolean> {
        const req = { marksVersion: this.marksVersion, waitMs };
        const options = { timeoutMs: waitMs + replyMarginMs, signal };
        const reply = await this.options.transport.call(source, newsMethod, req, options);
        reply.ifRight(news => this.take(news));
        return reply.isRight();
    }

    private take(news: News): void {
        this.latest = news;
        if (news.marks?.kind === "marks") {
            this.marksVersion = news.marks.version;
            this.marksEmitter.fire(news.marks);
        }
        if (news.queuedJobs > 0) {
            this.jobsEmitter.fire(news.queuedJobs);
        }
    }
}
