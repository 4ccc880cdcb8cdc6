/**
 * One attempt of a request at one endpoint: sends the request, verifies that the reply belongs to it, and reads the
 * reply completely or relays its events as they arrive. An incomplete reply closes the connection, since later bytes on
 * it could not be attributed to a request. A reply that ends with its connection is complete once that is confirmed.
 *
 * A reply belongs to the request only if it carries its id. A faulty endpoint may write an earlier reply once more on a
 * kept connection, and a refusal in it would pass for one of a request that is running. A reply in which a second one
 * begins is not known to be whole, nor which of the two a header belongs to.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply, type ReplyFault } from "../common/HttpReplies.js";
import type { Clock, Disposable, HostId } from "../common/Types.js";
import type { EndpointConnections, ReadyRequest } from "../endpoints/EndpointConnections.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import { failureMessage, inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventFields, EventLog } from "../telemetry/Types.js";
import type { AttemptReply } from "./AttemptReply.js";
import type { HeldBytes } from "./CallerMemory.js";
import type { RunningAttempt } from "./EndpointTracker.js";
import { EventSplitter, type RelayedEvent } from "./EventSplitter.js";
import type { ReplyEnds } from "./ReplyEnds.js";
import { bodyHoldsReply, eventHoldsReply, headHoldsReply } from "./SecondReply.js";
import type { AttemptOutcome, GatewayCodec, ReplyHead, RequestHead } from "./Types.js";

/** Maximum size of a reply that is not streamed. */
const maxReplyBytes = 16 * 1024 * 1024;
/** Maximum size of one event of a stream. */
const maxEventBytes = 1024 * 1024;
/**
 * A request that could not be sent once more uses only connections with less idle time than this. Some endpoints drop
 * connections after 300 ms of idle time, and after the reset it is unknown whether the request has run.
 */
const maxSafeIdleMs = 250;
const joinedHeads = "a second reply begins in the head";
const secondReply = "a second reply begins in the body";
const uncertainEnd = "the reply ended with its connection, and it is not certain that it is whole";
/** Maximum length of a foreign id in the log. */
const maxLoggedIdLength = 64;

export interface ExchangeOptions {
    readonly head: RequestHead;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly attempt: RunningAttempt;
    /** True when the endpoint has got the request before: its earlier reply, written once more, has the same id. */
    readonly isRepeat: boolean;
    readonly caller: AttemptReply;
    /** Counts the bytes of a reply that is read completely. */
    readonly held: HeldBytes;
    readonly codec: GatewayCodec;
    readonly connections: EndpointConnections;
    readonly ends: ReplyEnds;
    readonly notices: EndpointNotices;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Aborted when the caller disconnects, the deadline passes or another attempt has won. */
    readonly signal: AbortSignal;
    /** True when the request may be sent once more if this attempt breaks now. */
    readonly mayRepeat: () => boolean;
    /**
     * Time limits while the request may be repeated, undefined for none: for the first byte or event, which holds within
     * a complete reply too, and between two events.
     */
    readonly firstByteTimeoutMs: number | undefined;
    readonly gapMs: number | undefined;
    /**
     * Called when the endpoint has been silent for the time limit; true when the attempt must be given up since another
     * endpoint takes the request. `isSilent` tells whether the silence goes on.
     */
    readonly onSilence: (isSilent: () => boolean) => Promise<boolean>;
    /** Called when the body of a reply that is not streamed begins. */
    readonly onCompleteReply: (reply: ReplyHead) => void;
    /** Called for each event of a stream, before it is written to the caller; false when it must not be written. */
    readonly onEvent: () => boolean;
}

export class EndpointExchange {
    private silenceTimer: Disposable | undefined;
    private isFinished = false;
    private req: ClientRequest | undefined;
    private throughHost: HostId | undefined;
    private isReused = false;
    private confirmsEnd: ReadyRequest["confirmsEnd"];
    private res: IncomingMessage | undefined;
    private resolve: (outcome: AttemptOutcome) => void = () => undefined;

    public constructor(private readonly options: ExchangeOptions) {}

    /** The host through which the request was sent; undefined when it was sent directly, or not yet. */
    public get through(): HostId | undefined {
        return this.throughHost;
    }

    /** Runs the attempt and resolves with its outcome. */
    public async run(): Promise<AttemptOutcome> {
        const { attempt, connections, head, headers, signal, mayRepeat, isRepeat } = this.options;
        const connected = await connections.connect(attempt.record.id, {
            method: head.method,
            path: head.target,
            headers,
            fresh: isRepeat,
            signal,
            ...(mayRepeat() ? {} : { maxIdleMs: maxSafeIdleMs }),
        });
        if (connected.isLeft()) {
            const { kind, message, isConfirmed } = connected.extract();
            return kind === "aborted"
                ? { kind: "cancelled" }
                : { kind: "unsent", message, isSilent: kind === "timeout", isConfirmed };
        }
        const { req, through, reused, confirmsEnd } = connected.unsafeCoerce();
        this.throughHost = through;
        this.confirmsEnd = confirmsEnd;
        this.isReused = reused;
        if (signal.aborted) {
            // The abort came after the connection was made, and a listener would not be told of it any more.
            req.on("error", () => undefined);
            req.destroy();
            return { kind: "cancelled" };
        }
        return this.send(req);
    }

    private send(req: ClientRequest): Promise<AttemptOutcome> {
        const { body, signal, firstByteTimeoutMs } = this.options;
        this.req = req;
        return new Promise(resolve => {
            this.resolve = resolve;
            signal.addEventListener("abort", this.onAbort);
            req.on("error", err => this.fail(err.message));
            req.on("close", () => this.handleClose());
            onReply(req, {
                read: res => {
                    this.read(res).catch((err: unknown) => this.fail(failureMessage(err)));
                },
                fail: fault => this.failReply(fault),
            });
            this.restartSilenceTimer(firstByteTimeoutMs);
            req.end(body);
        });
    }

    private readonly onAbort = () => this.finish({ kind: "cancelled" });

    private async read(res: IncomingMessage): Promise<void> {
        const { codec, head, attempt, notices, caller } = this.options;
        this.res = res;
        const reply = codec.decodeReply(res);
        attempt.recordActivity();
        res.on("error", err => this.fail(err.message));
        if (reply.requestId !== head.id) {
            this.reject(
                reply,
                reply.requestId === undefined ? "the reply names no request" : "the reply belongs to another request",
            );
            return;
        }
        if (headHoldsReply(res)) {
            this.reject(reply, joinedHeads);
            return;
        }
        notices.observe(attempt.record.id, reply.status, res.headers);
        if (reply.status < 400 && !reply.isSigned) {
            this.fail("the reply is not signed");
            return;
        }
        if (reply.status === 200 && reply.isEventStream && caller.takesStreams) {
            await this.relay(res, reply);
            return;
        }
        this.options.onCompleteReply(reply);
        this.readComplete(res, reply);
    }

    /** Fails because of an earlier reply, or one that is written once more. */
    private reject({ requestId, status, isNotRun }: ReplyHead, message: string): void {
        this.logRejected(message, { status, isNotRun, replyTo: requestId?.slice(0, maxLoggedIdLength) });
        this.fail(message);
    }

    private failReply({ kind, message }: ReplyFault): void {
        if (kind === "malformed-head") {
            this.logRejected(message, {});
        }
        this.fail(message);
    }

    private logRejected(message: string, reply: EventFields): void {
        const { log, head, attempt } = this.options;
        log.event(EventId.EndpointReplyRejected, {
            request: head.id,
            endpoint: attempt.record.id,
            ...reply,
            isReused: this.isReused,
            ...(this.throughHost === undefined ? {} : { through: this.throughHost }),
            message,
        });
    }

    private readComplete(res: IncomingMessage, reply: ReplyHead): void {
        const body = new BodyCollector(maxReplyBytes);
        res.on("data", (chunk: Buffer) => {
            this.options.attempt.recordActivity();
            this.restartSilenceTimer(this.options.firstByteTimeoutMs);
            const fault = body.add(chunk);
            if (fault !== undefined) {
                this.fail(`the reply exceeds a limit: ${fault}`);
            }
            else if (!this.options.held.add(chunk.length)) {
                this.fail("this host holds as much data for callers as it may");
            }
        });
        res.on("close", () => this.handleClose());
        res.on("end", () => {
            if (res.complete) {
                inBackground(this.options.log, "end-reply", this.endComplete(reply, body.toBuffer()));
            }
        });
    }

    private async endComplete(reply: ReplyHead, body: Buffer): Promise<void> {
        if (reply.isNotRun) {
            this.finish({ kind: "not-run", status: reply.status });
        }
        else if (bodyHoldsReply(body, reply.isFramed, this.options.codec.replyHeaders)) {
            this.reject(reply, secondReply);
        }
        else if (await this.isWhole(reply)) {
            this.finish({ kind: "replied", reply, body });
        }
        else {
            this.fail(uncertainEnd);
        }
    }

    /** True when the reply that has ended is certainly whole. */
    private async isWhole({ isFramed }: ReplyHead): Promise<boolean> {
        const { ends, head, attempt, signal } = this.options;
        this.silenceTimer?.dispose();
        return isFramed || ends.isWhole({
            request: head.id,
            endpoint: attempt.record.listed,
            through: this.throughHost,
            confirmsEnd: this.confirmsEnd,
            signal,
        });
    }

    private async relay(res: IncomingMessage, reply: ReplyHead): Promise<void> {
        const { caller, attempt } = this.options;
        const splitter = new EventSplitter();
        res.on("close", () => this.handleClose());
        caller.beginStream(reply);
        try {
            for await (const chunk of res) {
                if (this.isFinished) {
                    return;
                }
                attempt.recordActivity();
                await this.relayEvents(reply, splitter.push(chunk as Buffer));
                if (splitter.remainder.length > maxEventBytes || splitter.hasTooManyParts) {
                    this.fail("an event exceeds the size limit, or comes in too many parts");
                }
                if (this.isFinished) {
                    return;
                }
            }
        }
        catch (err) {
            this.fail(err instanceof Error ? err.message : String(err));
            return;
        }
        if (res.complete && !this.isFinished) {
            if (eventHoldsReply(splitter.remainder, this.options.codec.replyHeaders)) {
                this.reject(reply, secondReply);
                return;
            }
            const fault = caller.endFault(reply, splitter.remainder)
                ?? (await this.isWhole(reply) ? undefined : uncertainEnd);
            if (fault !== undefined) {
                this.fail(fault);
            }
            if (this.isFinished) {
                return;
            }
            await caller.endStream(splitter.remainder);
            this.finish({ kind: "replied", reply, body: undefined });
        }
    }

    /**
     * Passes events on, as long as the attempt goes on. While the caller takes no data, nothing is read from the
     * endpoint, so its silence does not count.
     */
    private async relayEvents(reply: ReplyHead, events: readonly RelayedEvent[]): Promise<void> {
        const { caller, attempt, gapMs, onEvent, codec } = this.options;
        for (const event of events) {
            if (eventHoldsReply(event.bytes, codec.replyHeaders)) {
                this.reject(reply, secondReply);
            }
            const fault = caller.eventFault(event);
            if (fault !== undefined) {
                this.fail(fault);
            }
            if (this.isFinished || !onEvent()) {
                return;
            }
            this.silenceTimer?.dispose();
            this.silenceTimer = undefined;
            attempt.recordCallerWait(true);
            await caller.writeEvent(event);
            attempt.recordCallerWait(false);
        }
        this.restartSilenceTimer(gapMs);
    }

    private restartSilenceTimer(timeoutMs: number | undefined): void {
        this.silenceTimer?.dispose();
        if (timeoutMs !== undefined && !this.isFinished) {
            const { clock, log } = this.options;
            const timer = clock.setTimer(
                timeoutMs,
                () => inBackground(log, "handle-silence", this.handleSilence(timeoutMs, timer)),
            );
            this.silenceTimer = timer;
        }
    }

    /** Gives the attempt up if another endpoint takes the request; a slow answer is better than none. */
    private async handleSilence(timeoutMs: number, timer: Disposable): Promise<void> {
        const isSilent = () => !this.isFinished && this.silenceTimer === timer;
        if (await this.options.onSilence(isSilent)) {
            this.finish({ kind: "broken", message: `no data for ${Math.round(timeoutMs)} ms`, isSilent: true });
        }
        else if (isSilent()) {
            this.restartSilenceTimer(timeoutMs);
        }
    }

    /** Handles a closed connection. After a complete reply it may close while the reply is still being relayed. */
    private handleClose(): void {
        if (this.res?.complete !== true) {
            this.fail(this.res === undefined ? "the connection was closed" : "the reply was truncated");
        }
    }

    private fail(message: string): void {
        this.finish({ kind: "broken", message, isSilent: false });
    }

    private finish(outcome: AttemptOutcome): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        this.silenceTimer?.dispose();
        this.options.signal.removeEventListener("abort", this.onAbort);
        if (outcome.kind === "broken" || outcome.kind === "cancelled") {
            this.req?.destroy();
        }
        this.resolve(outcome);
    }
}
