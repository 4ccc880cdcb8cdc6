/**
 * Watches a call to an endpoint that takes longer than expected, by asking the endpoint whether it still works on it. An
 * endpoint that works on nothing has ended the call, and its reply was lost on the way: it may be given the next call at
 * once. One that still works is slow, and one that can't be asked may be cut off: the pieces then go elsewhere too.
 */
import type { Clock, Disposable } from "../common/Types.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import type { PieceClient } from "./Types.js";

/** The endpoint is asked at this many times the expected time and a constant for the ways; calls vary by a fifth. */
const askFactor = 1.5;
const askExtraMs = 80;
/** What an endpoint tells of itself may be this old; asked sooner, it might tell of the time before the call. */
const stateAgeMs = 450;
const askAgainMs = 150;
/** An endpoint that still works is called slow at this many times the expected time and a constant for the ways. */
const slowFactor = 2;
const slowExtraMs = 100;

interface CallWatchOptions {
    readonly endpoint: ListedEndpoint;
    readonly client: PieceClient;
    readonly clock: Clock;
    readonly expectedMs: number;
    /** The call is late; told once. */
    readonly onLate: (reason: "slow" | "unreachable") => void;
    /** The endpoint has ended the call, and its reply will not come. */
    readonly onLost: () => void;
}

export class CallMonitor implements Disposable {
    private timer: Disposable;
    private isDisposed = false;
    private isLate = false;
    private readonly startMs: number;

    public constructor(private readonly options: CallWatchOptions) {
        const { clock, expectedMs } = options;
        this.startMs = clock.nowMs();
        this.timer = clock.setTimer(Math.max(stateAgeMs, expectedMs * askFactor + askExtraMs), () => void this.ask());
    }

    public dispose(): void {
        this.isDisposed = true;
        this.timer.dispose();
    }

    private async ask(): Promise<void> {
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
            this.late("unreachable");
        }
        else if (clock.nowMs() - this.startMs >= expectedMs * slowFactor + slowExtraMs) {
            this.late("slow");
        }
        this.timer = clock.setTimer(askAgainMs, () => void this.ask());
    }

    private late(reason: "slow" | "unreachable"): void {
        if (!this.isLate) {
            this.isLate = true;
            this.options.onLate(reason);
        }
    }
}
