/**
 * Sends stage calls to endpoints over HTTP. A call is written only to a connected socket and with a live slot, and the
 * slot is kept until the call must have ended on the endpoint: by its reply, a confirmed cancel, a refused connection,
 * or its deadline.
 */
import { type Either, Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { DispatchLedger } from "../common/Outcome.js";
import type { Clock, Disposable } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import { ConfiguredAddresses, type ConnectError, EndpointConnections } from "./EndpointConnections.js";
import { requestText } from "./RequestText.js";
import { type ExchangeEnd, StageExchange } from "./StageExchange.js";
import type { CallEnd, CallEvidence, Slot, StageCall, StageCallError, StageClient, StageReply } from "./Types.js";
import type { StageCallMessage } from "./Wire.js";

/** Interval between two attempts to cancel a call that may still be running. */
const cancelIntervalMs = 500;

export interface HttpStageClientOptions {
    readonly config: ConfigSource;
    readonly clock: Clock;
    readonly connections?: EndpointConnections;
}

export class HttpStageClient implements StageClient, Disposable {
    private readonly connections: EndpointConnections;
    private readonly disposal = new AbortController();

    public constructor(private readonly options: HttpStageClientOptions) {
        this.connections = options.connections
            ?? new EndpointConnections(new ConfiguredAddresses(options.config), options.clock);
    }

    public dispose(): void {
        this.disposal.abort();
        this.connections.dispose();
    }

    public async call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Either<StageCallError, StageReply>> {
        const startMs = this.options.clock.nowMs();
        const settings = this.options.config.current()?.settings;
        const isEngine = settings?.endpoints[slot.endpoint]?.kind === "engine";
        const streams = isEngine || onOutput !== undefined || call.resumeFrom !== undefined;
        const body = JSON.stringify(messageOf(call, startMs));
        const ready = await this.connections.connect(slot.endpoint, {
            method: "POST",
            path: "/v1/stage",
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                ...(streams ? { accept: "text/event-stream" } : {}),
            },
            // A device on the network path may have dropped an idle connection; a call that can't be repeated must
            // not be written to one.
            fresh: !call.idempotent,
            signal,
        });
        if (ready.isLeft()) {
            return this.failConnect(slot, ready.extract());
        }
        const { req, reused } = ready.unsafeCoerce();
        const sendError = this.checkBeforeSend(call, slot, ledger, signal);
        if (sendError !== undefined) {
            req.on("error", () => undefined);
            req.destroy();
            slot.release("never-sent");
            return Left(sendError);
        }
        ledger.markSent(call.idempotent);
        const timing = settings?.timing;
        const bounds = {
            firstByteMs: timing?.firstByteMs ?? 0,
            gapMs: timing?.gapMs ?? 0,
            deadlineMs: call.deadlineMs,
        };
        const { clock } = this.options;
        const end = await new StageExchange({ call, req, reused, body, bounds, clock, signal, onOutput }).run();
        return this.finishCall(call, slot, end, clock.nowMs() - startMs, streams || !isEngine);
    }

    /** Last check before the first byte is written; returns the error when the call must not be sent. */
    private checkBeforeSend(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
    ): StageCallError | undefined {
        if (signal.aborted || ledger.isSealed) {
            return { kind: "cancelled", message: "the call was cancelled before it was sent" };
        }
        const nowMs = this.options.clock.nowMs();
        if (nowMs >= call.deadlineMs) {
            return { kind: "never-sent", message: "the deadline passed before the call was sent" };
        }
        if (!slot.begin()) {
            return { kind: "never-sent", message: "the slot was no longer valid before the call was sent" };
        }
        return undefined;
    }

    private failConnect(slot: Slot, error: ConnectError): Either<StageCallError, StageReply> {
        const isTried = error.kind === "refused" || error.kind === "timeout";
        slot.release(isTried ? "refused" : "never-sent");
        if (error.kind === "aborted") {
            return Left({ kind: "cancelled", message: error.message });
        }
        return Left({ kind: "never-sent", message: error.message });
    }

    private finishCall(
        call: StageCall,
        slot: Slot,
        end: ExchangeEnd,
        totalMs: number,
        firstByteCounts: boolean,
    ): Either<StageCallError, StageReply> {
        const evidence: CallEvidence = {
            firstByteMs: firstByteCounts && "whole" in end.result ? end.firstByteMs : undefined,
            totalMs,
            endpointIncarnation: end.incarnation,
        };
        if ("whole" in end.result) {
            slot.release("succeeded", evidence);
            const { output, usage } = end.result.whole;
            return Right({ output, usage, evidence });
        }
        const { error } = end.result;
        if (end.silent) {
            this.connections.closeIdleConnections(slot.endpoint);
        }
        const mayStillRun = error.kind === "cancelled" || error.kind === "lost" || error.kind === "bad-reply";
        if (mayStillRun) {
            void this.releaseOnceEnded(call, slot, callEndOf(error, end.silent), evidence);
        }
        else {
            slot.release(callEndOf(error, end.silent), evidence);
        }
        return Left(error);
    }

    /** Keeps the slot while the call may still be running on the endpoint. */
    private async releaseOnceEnded(call: StageCall, slot: Slot, end: CallEnd, evidence: CallEvidence): Promise<void> {
        const { clock } = this.options;
        const { signal } = this.disposal;
        while (!signal.aborted && clock.nowMs() < call.deadlineMs && !await this.cancel(call, slot)) {
            await clock.sleep(Math.min(cancelIntervalMs, Math.max(1, call.deadlineMs - clock.nowMs())), signal);
        }
        slot.release(end, evidence);
    }

    /** @returns true when the call is known to have ended. */
    private async cancel(call: StageCall, slot: Slot): Promise<boolean> {
        const { request, stage, attempt } = call;
        const timing = this.options.config.current()?.settings.timing;
        const reply = await requestText(this.connections, slot.endpoint, {
            method: "POST",
            path: "/v1/cancel",
            body: JSON.stringify({ request, stage, attempt }),
            fresh: true,
            timeoutMs: timing?.connectMs ?? 1,
            clock: this.options.clock,
            signal: this.disposal.signal,
        });
        return reply.caseOf({
            Left: error => error.kind === "refused" || error.kind === "no-address",
            Right: ({ status }) => status < 500,
        });
    }
}

function messageOf(call: StageCall, nowMs: number): StageCallMessage {
    const { request, stage, attempt, workspace, pipeline, priority } = call;
    invariant(call.resumeFrom?.offset === call.resumeFrom?.received.length, "a stream goes on where it broke", {});
    return {
        request,
        stage,
        attempt,
        workspace,
        pipeline,
        priority,
        ...(call.model === undefined ? {} : { model: call.model }),
        remainingMs: Math.max(0, call.deadlineMs - nowMs),
        input: call.body.input,
        previous: { ...call.body.previous },
        ...(call.resumeFrom === undefined
            ? {}
            : { resume: { attempt: call.resumeFrom.attempt, offset: call.resumeFrom.offset } }),
    };
}

function callEndOf(error: StageCallError, silent: boolean): CallEnd {
    switch (error.kind) {
        case "never-sent":
            return "never-sent";
        case "refused":
            return error.state === "other" ? "failed" : error.state;
        case "stage-error":
            return "failed";
        case "bad-reply":
            return "failed";
        case "lost":
            // A call ended by its own deadline is no evidence against the endpoint.
            return error.crashed ? "crashed" : silent ? "lost" : "cancelled";
        case "cancelled":
            return "cancelled";
    }
}
