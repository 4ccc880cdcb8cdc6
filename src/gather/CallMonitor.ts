/**
 * Monitors a call to an endpoint and polls the endpoint's state once the call is overdue. An idle endpoint has ended
 * the call and its reply was lost, so it can take the next call at once. An endpoint that is still working is slow, and
 * one that does not answer may be unreachable; in both cases the pieces are also sent elsewhere.
 */
import type { Clock, Disposable } from "../common/Types.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import type { EventLog } from "../telemetry/Types.js";
import type { PieceClient } from "./Types.js";

/** The first poll is due after the expected time times this factor plus a network allowance; times vary by a fifth. */
const pollFactor = 1.5;
const pollAllowanceMs = 80;
/** Maximum age of the state that an endpoint reports; an earlier poll could return a state from before the call. */
const maxStateAgeMs = 450;
const pollIntervalMs = 150;
/** A working endpoint counts as slow after the expected time times this factor plus a network allowance. */
const slowFactor = 2;
const slowAllowanceMs = 100;

interface CallMonitorOptions {
    readonly endpoint: ListedEndpoint;
    readonly client: PieceClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly expectedMs: number;
    /** Called once, when the call is found to be late. */
    readonly onLate: (reason: "slow" | "unreachable") => void;
    /** Called when the endpoint has ended the call and its reply can no longer arrive. */
    readonly onLost: () => void;
}

export class CallMonitor implements Disposable {
    private timer: Disposable;
    private isDisposed = false;
    private isLate = false;
    private readonly startMs: number;

    public constructor(private readonly options: CallMonitorOptions) {
        const { clock, expectedMs } = options;
        this.startMs = clock.nowMs();
        this.timer = clock.setTimer(
            Math.max(maxStateAgeMs, expectedMs * pollFactor + pollAllowanceMs),
            () => this.startPoll(),
        );
    }

    public dispose(): void {
        this.isDisposed = true;
        this.timer.dispose();
    }

    private startPoll(): void {
        inBackground(this.options.log, "poll-call", this.poll());
    }

    private async poll(): Promise<void> {
        const { endpoint, client, clock, expectedMs, onLost } = this.options;
        const state = await client.state(endpoint);
        if (this.isDisposed) {
            return;
        }
        if (state !== undefined && !state.isWorking) {
            onLost();
            return;
        }
        if (state === undefined) {
            this.reportLate("unreachable");
        }
        else if (clock.nowMs() - this.startMs >= expectedMs * slowFactor + slowAllowanceMs) {
            this.reportLate("slow");
        }
        this.timer = clock.setTimer(pollIntervalMs, () => this.startPoll());
    }

    private reportLate(reason: "slow" | "unreachable"): void {
        if (!this.isLate) {
            this.isLate = true;
            this.options.onLate(reason);
        }
    }
}
