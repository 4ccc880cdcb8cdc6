/** The records components of several hosts over one {@link FakeGroup}, for tests. */
import type { HostId, Incarnation, JobId, PipelineId, RequestId, WorkspaceId } from "../src/common/Types.js";
import type { MarkAnnouncer } from "../src/records/PeerMarkAnnouncer.js";
import { RecordsClient } from "../src/records/RecordsClient.js";
import { RecordsState } from "../src/records/RecordsState.js";
import { ReplicatedClaims } from "../src/records/ReplicatedClaims.js";
import { ReplicatedJobs } from "../src/records/ReplicatedJobs.js";
import { ReplicatedQuarantine } from "../src/records/ReplicatedQuarantine.js";
import type { ClaimKey, JobRecord } from "../src/records/Types.js";
import { FakeClock } from "./FakeClock.js";
import { FakeGroup, type FakeGroupOptions } from "./FakeGroup.js";
import { MemoryLog } from "./MemoryLog.js";

export const testLimits = {
    claimsPerWorkspace: 100,
    claimRetentionMs: 60_000,
    jobsPerWorkspace: 100,
    jobRetentionMs: 60_000,
};
export const leaseMs = 1000;

export interface RecordsHost {
    readonly id: HostId;
    readonly client: RecordsClient;
    readonly claims: ReplicatedClaims;
    readonly jobs: ReplicatedJobs;
    readonly quarantine: ReplicatedQuarantine;
    /** Ends the process: nothing that it does from now on reaches the group. */
    kill(): void;
}

export class RecordsHosts {
    public readonly clock = new FakeClock();
    public readonly events = new MemoryLog();
    public readonly group: FakeGroup<RecordsState>;
    private incarnations = 0;
    private readonly aborts: AbortController[] = [];

    public constructor(
        options: FakeGroupOptions = {},
        private readonly announcerOf: (id: HostId) => MarkAnnouncer | undefined = () => undefined,
    ) {
        this.group = new FakeGroup(this.clock, () => new RecordsState(), options);
    }

    /** Starts a host, or starts it again with a higher incarnation. With `replica`, it has the group's state. */
    public start(name: string, replica: boolean = false): RecordsHost {
        const id = name as HostId;
        const incarnation = ++this.incarnations as Incarnation;
        const log = this.group.log(id);
        const options = { host: id, incarnation, leaseMs };
        const state = replica ? this.group.state : undefined;
        const client = new RecordsClient(log, this.clock, this.events, options, state);
        const claims = new ReplicatedClaims(client, this.clock, this.events, () => testLimits);
        const jobs = new ReplicatedJobs(client, this.clock, this.events, () => testLimits);
        const quarantine = new ReplicatedQuarantine(client, this.clock, this.events, this.announcerOf(id));
        const abort = new AbortController();
        this.aborts.push(abort);
        void client.run(abort.signal);
        void quarantine.run(abort.signal);
        const kill = () => {
            log.kill();
            abort.abort();
        };
        return { id, client, claims, jobs, quarantine, kill };
    }

    /** Stops all hosts that were started. */
    public stop(): void {
        for (const abort of this.aborts) {
            abort.abort();
        }
    }

    /** Advances the clock until the promise is settled; throws if it is not within `limitMs`. */
    public async settle<T>(promise: Promise<T>, limitMs: number = 60_000): Promise<T> {
        let settled = false;
        const watched = promise.finally(() => {
            settled = true;
        });
        for (let passedMs = 0; !settled && passedMs < limitMs; passedMs += 5) {
            await this.clock.advance(5);
        }
        if (!settled) {
            throw new Error(`the promise was not settled within ${limitMs} ms`);
        }
        return watched;
    }
}

export function claimKey(key: string, workspace: string = "shelter"): ClaimKey {
    return { workspace: workspace as WorkspaceId, key };
}

export function requestId(text: string): RequestId {
    return text as RequestId;
}

export function newJob(id: string, workspace: string = "shelter"): Pick<
    JobRecord,
    "id" | "workspace" | "pipeline" | "input"
> {
    return {
        id: id as JobId,
        workspace: workspace as WorkspaceId,
        pipeline: "profile" as PipelineId,
        input: { notes: id },
    };
}
