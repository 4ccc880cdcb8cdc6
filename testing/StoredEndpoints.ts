/**
 * Simulated endpoints of stages that share a record of their results: results occupy storage until they are freed or
 * expire, a piece needs the results that it names, and it is counted which results are ever read. An endpoint runs one
 * call and queues two.
 */
import type { Clock, EndpointId } from "../src/common/Types.js";
import type { BatchTraits, ListedEndpoint } from "../src/fleet/Types.js";
import type { CallOutcome, PieceCall, PieceClient, PieceOutcome, WorkState } from "../src/gather/Types.js";

const maxQueuedCalls = 3;
/** One way, between a gatherer and an endpoint. */
const networkMs = 2;
const bytesPerMb = 1_000_000;

interface Stored {
    readonly bytes: number;
    readonly untilMs: number;
    readonly endpoint: EndpointId;
}

/** The results of the endpoints of all services. */
export class ResultRecord {
    public made = 0;
    private readonly unread = new Set<string>();
    private readonly stored = new Map<string, Stored>();
    private readonly byEndpoint = new Map<EndpointId, Set<string>>();

    public constructor(private readonly clock: Clock) {}

    /** Results made so far that no piece and no reader has fetched. */
    public get neverRead(): number {
        return this.unread.size;
    }

    public add(endpoint: EndpointId, bytes: number, keptMs: number): string {
        this.made += 1;
        const handle = `${endpoint}/${this.made}`;
        this.stored.set(handle, { bytes, untilMs: this.clock.nowMs() + keptMs, endpoint });
        this.unread.add(handle);
        const handles = this.byEndpoint.get(endpoint) ?? new Set();
        this.byEndpoint.set(endpoint, handles.add(handle));
        return handle;
    }

    /** True when the result exists. */
    public read(handle: string): boolean {
        const found = this.stored.get(handle);
        if (found === undefined || found.untilMs < this.clock.nowMs()) {
            return false;
        }
        this.unread.delete(handle);
        return true;
    }

    public remove(handle: string): void {
        const endpoint = this.stored.get(handle)?.endpoint;
        this.stored.delete(handle);
        if (endpoint !== undefined) {
            this.byEndpoint.get(endpoint)?.delete(handle);
        }
    }

    public usedBytes(endpoint: EndpointId): number {
        let bytes = 0;
        for (const handle of this.byEndpoint.get(endpoint) ?? []) {
            const one = this.stored.get(handle);
            if (one === undefined || one.untilMs < this.clock.nowMs()) {
                this.remove(handle);
            }
            else {
                bytes += one.bytes;
            }
        }
        return bytes;
    }

    /** Empties the storage of an endpoint, as when its process starts again. */
    public clear(endpoint: EndpointId): void {
        [...this.byEndpoint.get(endpoint) ?? []].forEach(handle => this.remove(handle));
    }
}

/** One call that an endpoint has taken. */
export interface TimedCall {
    readonly endpoint: EndpointId;
    readonly atMs: number;
    readonly pieces: number;
    readonly bytes: number;
}

export class StoredEndpoints implements PieceClient {
    public readonly calls: TimedCall[] = [];
    public readonly faults = { late: 0, gone: 0, room: 0, error: 0 };
    /** Endpoints whose connections are reset while they run a call. */
    public readonly breaking = new Set<string>();
    /** Endpoints that have ended. */
    public readonly broken = new Set<string>();
    public stateQueries = 0;
    private readonly busyUntilMs = new Map<EndpointId, number>();
    private readonly queued = new Map<EndpointId, number>();

    public constructor(
        private readonly clock: Clock,
        private readonly traits: BatchTraits,
        private readonly results: ResultRecord,
        private readonly bytesOf: (call: PieceCall) => number,
    ) {}

    public async run(
        endpoint: ListedEndpoint,
        pieces: readonly PieceCall[],
        _timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const { id } = endpoint;
        await this.clock.sleep(networkMs);
        if (this.broken.has(id)) {
            return { kind: "broken", message: "refused" };
        }
        const queued = this.queued.get(id) ?? 0;
        if (queued >= maxQueuedCalls) {
            return { kind: "full", message: "full" };
        }
        this.queued.set(id, queued + 1);
        const bytes = pieces.reduce((sum, piece) => sum + this.bytesOf(piece), 0);
        this.calls.push({ endpoint: id, atMs: this.clock.nowMs(), pieces: pieces.length, bytes });
        if (this.breaking.has(id)) {
            void this.runCall(id, pieces);
            return { kind: "broken", message: "reset" };
        }
        const outcomes = await this.runCall(id, pieces);
        await this.clock.sleep(networkMs);
        return signal.aborted || this.broken.has(id)
            ? { kind: "broken", message: "aborted" }
            : { kind: "replied", outcomes };
    }

    public async free(_endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        await this.clock.sleep(networkMs);
        handles.forEach(handle => this.results.remove(handle));
        await this.clock.sleep(networkMs);
        return undefined;
    }

    public async state({ id }: ListedEndpoint): Promise<WorkState | undefined> {
        this.stateQueries += 1;
        await this.clock.sleep(2 * networkMs);
        const freeBytes = this.traits.resultRoomBytes - this.results.usedBytes(id);
        // Reports state megabytes with one decimal.
        return {
            isWorking: (this.busyUntilMs.get(id) ?? 0) > this.clock.nowMs(),
            freeBytes: Math.round(freeBytes / bytesPerMb * 10) / 10 * bytesPerMb,
        };
    }

    private async runCall(id: EndpointId, pieces: readonly PieceCall[]): Promise<readonly PieceOutcome[]> {
        const arrivedMs = this.clock.nowMs();
        const startMs = Math.max(arrivedMs, this.busyUntilMs.get(id) ?? 0);
        this.busyUntilMs.set(id, startMs + this.traits.callMs + pieces.length * this.traits.pieceMs);
        await this.clock.sleep(startMs - arrivedMs);
        const begun = pieces.map((piece): PieceOutcome => this.begin(piece, startMs - arrivedMs));
        const live = begun.filter(one => one.kind === "made").length;
        const endMs = startMs + (live === 0 ? 0 : this.traits.callMs + live * this.traits.pieceMs);
        this.busyUntilMs.set(
            id,
            Math.max(
                endMs,
                (this.busyUntilMs.get(id) ?? 0)
                    - (pieces.length - live) * this.traits.pieceMs,
            ),
        );
        await this.clock.sleep(endMs - startMs);
        this.queued.set(id, (this.queued.get(id) ?? 1) - 1);
        return begun.map((one, at) => {
            const piece = pieces[at];
            return one.kind === "fault" || piece === undefined ? one : this.store(id, piece);
        });
    }

    private begin({ source, remainingMs }: PieceCall, waitedMs: number): PieceOutcome {
        if (remainingMs < waitedMs) {
            return this.fault("late");
        }
        const found = source.kind === "key" || source.handles.map(one => this.results.read(one)).every(Boolean);
        return found ? { kind: "made", handle: "" } : this.fault("gone");
    }

    private store(id: EndpointId, piece: PieceCall): PieceOutcome {
        const bytes = this.bytesOf(piece);
        return this.results.usedBytes(id) + bytes > this.traits.resultRoomBytes
            ? this.fault("room")
            : { kind: "made", handle: this.results.add(id, bytes, this.traits.resultKeptMs) };
    }

    private fault(fault: "late" | "gone" | "room"): PieceOutcome {
        this.faults[fault] += 1;
        return { kind: "fault", fault };
    }
}
