/** Sums what this host has running at each endpoint. */
import type { EndpointId } from "../common/Types.js";
import type { EndpointWork } from "./Types.js";

export const noWork: EndpointWork = { running: 0, prefillTokens: 0, heldTokens: 0 };

/** Size of a request at its start, in tokens; zeros for one without a prompt. */
export type WorkSize = Omit<EndpointWork, "running">;

/** Size of work whose tokens are not known. */
export const noSize: WorkSize = { prefillTokens: 0, heldTokens: 0 };

/** A running request. Both methods may be called more than once. */
export interface RunningWork {
    /** Records the first event: the prompt has been processed. */
    begin(): void;
    end(): void;
}

/** Counts what this host sends to endpoints. */
export interface WorkRecorder {
    start(endpoint: EndpointId, size: WorkSize): RunningWork;
}

export class WorkMeter implements WorkRecorder {
    private readonly sums = new Map<EndpointId, EndpointWork>();

    public of(endpoint: EndpointId): EndpointWork {
        return this.sums.get(endpoint) ?? noWork;
    }

    /** Sums at the endpoints where something runs, as of now. */
    public all(): ReadonlyMap<EndpointId, EndpointWork> {
        return new Map(this.sums);
    }

    public start(endpoint: EndpointId, { prefillTokens, heldTokens }: WorkSize): RunningWork {
        let waitingTokens = prefillTokens;
        let hasEnded = false;
        this.add(endpoint, 1, prefillTokens, heldTokens);
        const begin = () => {
            this.add(endpoint, 0, -waitingTokens, 0);
            waitingTokens = 0;
        };
        const end = () => {
            if (!hasEnded) {
                hasEnded = true;
                begin();
                this.add(endpoint, -1, 0, -heldTokens);
            }
        };
        return { begin, end };
    }

    private add(endpoint: EndpointId, requests: number, prefillTokens: number, heldTokens: number): void {
        const before = this.of(endpoint);
        const running = before.running + requests;
        if (running === 0) {
            this.sums.delete(endpoint);
            return;
        }
        this.sums.set(endpoint, {
            running,
            prefillTokens: before.prefillTokens + prefillTokens,
            heldTokens: before.heldTokens + heldTokens,
        });
    }
}
