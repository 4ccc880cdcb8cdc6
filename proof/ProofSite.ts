/**
 * Simulates a site of complete hosts and endpoints in one process, on a fake clock, network and disks, and records a
 * history of what callers, operators and endpoints observe. All random choices derive from one seed.
 */
import type { Outcome } from "../src/common/Outcome.js";
import type { ChangeId, EndpointId, HostId, Incarnation, JobId, PipelineId, RequestId } from "../src/common/Types.js";
import type { WorkspaceId } from "../src/common/Types.js";
import type { ConfigChange, ConfigChangeResult, ConfigView } from "../src/config/Types.js";
import type { PipelineAnswer } from "../src/pipeline/Types.js";
import { EventId } from "../src/telemetry/Events.js";
import type { EventLog } from "../src/telemetry/Types.js";
import { FakeClock } from "../testing/FakeClock.js";
import { FakeDisk } from "../testing/FakeDisk.js";
import { FakeNetwork } from "../testing/FakeNetwork.js";
import { type LoggedEvent, MemoryLog } from "../testing/MemoryLog.js";
import { History, type RequestKind, type SeenRequest } from "./History.js";
import { proofHosts, proofSettings } from "./ProofDocuments.js";
import { ProofEndpoint } from "./ProofEndpoint.js";
import { ProofEngineLink } from "./ProofEngineLink.js";
import { ProofHost } from "./ProofHost.js";
import { ProofStageClient } from "./ProofStageClient.js";

/** An observed step; `place` is the host or endpoint where it happened. */
export interface Step {
    readonly name: string;
    readonly place: string;
}

export class ProofSite {
    public readonly clock = new FakeClock();
    public readonly network: FakeNetwork;
    public readonly history = new History();
    public readonly hosts = new Map<string, ProofHost>();
    public readonly endpoints = new Map<string, ProofEndpoint>();
    /** Fatal errors and unexpected rejections on live hosts. */
    public readonly failures: string[] = [];
    /** Log events of all hosts, in order. */
    public readonly events: LoggedEvent[] = [];
    /** Called for each step of a host, an endpoint or an operation. */
    public onStep: (step: Step) => void = () => undefined;
    private readonly disks = new Map<string, FakeDisk>();
    private readonly partitionedDataCentres = new Set<string>();
    private startCount = 0;
    private requestCount = 0;

    public constructor(public readonly seed: number) {
        this.network = new FakeNetwork(this.clock, seed);
        Object.assign(this.network.faults, { minDelayMs: 0.4, maxDelayMs: 0.8 });
        const { endpoints } = proofSettings("north");
        for (const [id, settings] of Object.entries(endpoints)) {
            const endpoint = new ProofEndpoint(id, settings, this.clock, this.history);
            endpoint.onOrder = () => this.onStep({ name: "received order", place: id });
            endpoint.onStep = (step, call) => this.onStep({ name: `${step} ${call.stage}`, place: id });
            this.endpoints.set(id, endpoint);
        }
    }

    /** Starts every host and waits until each has a committed configuration in force. */
    public async start(): Promise<void> {
        for (const id of proofHosts) {
            this.startHost(id);
        }
        await this.advanceUntil(() => this.live.every(host => host.config.current() !== undefined), settleMs);
        await this.clock.advance(warmUpMs);
    }

    /** Starts a new process of a host, with its previous disk by default. */
    public startHost(name: string, disk: FakeDisk = this.disks.get(name) ?? new FakeDisk()): ProofHost {
        const id = name as HostId;
        this.startCount += 1;
        this.disks.set(name, disk);
        const incarnation = this.startCount as Incarnation;
        const context = {
            endpoint: (endpoint: EndpointId) => this.endpoints.get(endpoint)!,
            isReachable: (endpoint: EndpointId) => this.isReachable(name, endpoint),
            get isDead() {
                return host.isDead;
            },
        };
        const host: ProofHost = new ProofHost({
            id,
            incarnation,
            seed: this.seed,
            settings: proofSettings(name.slice(0, -2)),
            clock: this.clock,
            log: this.createLog(name, incarnation),
            peers: this.network.addHost(id),
            disk,
            stageClient: new ProofStageClient(context, this.clock),
            link: new ProofEngineLink(context, this.clock),
            loads: {
                fetch: async endpoint => {
                    await this.clock.sleep(1);
                    return context.isReachable(endpoint) ? this.endpoints.get(endpoint)?.report() : undefined;
                },
            },
            onFatal: err => this.recordFailure(host, err),
        });
        this.hosts.set(name, host);
        host.config.onChange(view => this.recordVersion(host, incarnation, view));
        host.start();
        return host;
    }

    public get live(): readonly ProofHost[] {
        return [...this.hosts.values()].filter(host => !host.isDead);
    }

    public host(name: string): ProofHost {
        return this.hosts.get(name)!;
    }

    /** The live host that leads the group with a quorum; undefined if there is none. */
    public leader(group: "config" | "records"): ProofHost | undefined {
        const at = group === "config" ? 0 : 1;
        return this.live.find(host => host.replicas[at]?.status().hasQuorum === true);
    }

    /** Kills a host's process. Its disk keeps only synced data. */
    public kill(name: string): void {
        const host = this.host(name);
        if (host.isDead) {
            return;
        }
        host.die();
        this.network.kill(name as HostId);
        this.disks.set(name, this.disks.get(name)!.crash());
        this.history.unreachable.push({ host: name, fromMs: this.clock.nowMs(), toMs: Number.POSITIVE_INFINITY });
    }

    /** Restarts a dead host, with its disk or an empty one. */
    public restart(name: string, emptyDisk: boolean = false): void {
        if (this.host(name).isDead) {
            this.endUnreachable(name);
            this.startHost(name, emptyDisk ? new FakeDisk() : this.disks.get(name));
        }
    }

    /** Performs a planned stop of a host. */
    public async stop(name: string): Promise<void> {
        const host = this.host(name);
        await host.stop();
        if (
            this.hosts.get(name) !== host
            || this.history.unreachable.some(one => one.host === name && one.toMs === Number.POSITIVE_INFINITY)
        ) {
            return; // The process died before its planned stop was complete.
        }
        this.network.kill(name as HostId);
        this.disks.set(name, this.disks.get(name)!.crash());
        this.history.unreachable.push({ host: name, fromMs: this.clock.nowMs(), toMs: Number.POSITIVE_INFINITY });
    }

    public diskOf(name: string): FakeDisk {
        return this.disks.get(name)!;
    }

    /** Partitions one host from all other hosts, without resetting connections. */
    public isolate(name: string): void {
        this.network.isolate(name as HostId);
        this.history.unreachable.push({ host: name, fromMs: this.clock.nowMs(), toMs: Number.POSITIVE_INFINITY });
    }

    /** Partitions a data centre: its hosts and endpoints reach only each other. Connections are not reset. */
    public partitionDataCentre(centre: string): void {
        this.partitionedDataCentres.add(centre);
        for (const inside of proofHosts.filter(host => host.startsWith(centre))) {
            for (const outside of proofHosts.filter(host => !host.startsWith(centre))) {
                this.network.cut(inside as HostId, outside as HostId);
            }
            this.history.unreachable.push({ host: inside, fromMs: this.clock.nowMs(), toMs: Number.POSITIVE_INFINITY });
        }
    }

    /** Ends all partitions. */
    public heal(): void {
        this.network.heal();
        this.partitionedDataCentres.clear();
        for (const host of this.live) {
            this.endUnreachable(host.id);
        }
    }

    /** Sends a request to a host, as a caller does, and records its outcome in the history. */
    public async send(
        kind: RequestKind,
        through: string,
        input: unknown,
        key?: string,
        workspace: string = "shelter",
    ): Promise<SeenRequest> {
        const host = this.host(through);
        const { pipelines } = host.config.current()?.settings ?? proofSettings("north");
        const seen: SeenRequest = {
            id: `r${++this.requestCount}`,
            kind,
            input,
            key,
            host: through,
            sentAtMs: this.clock.nowMs(),
            deadlineMs: this.clock.nowMs() + pipelines[kind as PipelineId]!.deadlineMs,
            outcome: undefined,
            endedAtMs: undefined,
        };
        this.history.requests.push(seen);
        if (host.isDead) {
            return seen;
        }
        const outcome = await this.run(host, seen, workspace);
        if (!host.isDead && outcome !== undefined) {
            seen.outcome = outcome.kind === "answered" ? { kind: "answered", text: outcome.answer.output } : outcome;
            seen.endedAtMs = this.clock.nowMs();
            this.onStep({ name: "answered", place: through });
        }
        return seen;
    }

    /** Submits a job, as a caller does; resolves to true if it was accepted now or earlier. */
    public async submit(id: string, through: string, input: unknown): Promise<boolean> {
        const host = this.host(through);
        const known = this.history.jobs.find(job => job.id === id);
        const seen = known
            ?? { id, input, accepted: false, cancelled: false, state: undefined, answer: undefined };
        if (known === undefined) {
            this.history.jobs.push(seen);
        }
        const job = { id: id as JobId, workspace: "shelter" as WorkspaceId, pipeline: "profile" as PipelineId, input };
        const result = await host.jobs.submit(job, jobTimeoutMs);
        seen.accepted = seen.accepted || (result.isRight() && !host.isDead);
        return seen.accepted;
    }

    /** Reads the state and answer of every submitted job into the history. */
    public async readJobs(through: string): Promise<void> {
        for (const seen of this.history.jobs) {
            const job = (await this.host(through).jobs.get(seen.id as JobId, jobTimeoutMs)).toMaybe().extract();
            seen.state = job?.state;
            seen.answer = job?.answer;
        }
    }

    /** Changes the configuration through a host, as an operator does; "error" if the host died or the change failed. */
    public async change(through: string, change: ConfigChange): Promise<ConfigChangeResult["kind"] | "error"> {
        const host = this.host(through);
        const result = await host.config.change(change, changeTimeoutMs);
        if (host.isDead || result.isLeft()) {
            return "error";
        }
        const reply = result.extract() as ConfigChangeResult;
        const known = this.history.accepted.some(one => reply.kind === "accepted" && one.version === reply.version);
        if (reply.kind === "accepted" && !known) {
            const atMs = this.clock.nowMs();
            this.history.accepted.push({ version: reply.version, what: `${change.kind} ${change.id}`, atMs });
        }
        return reply.kind;
    }

    /** Advances the clock until the condition holds; false if it does not hold in time. */
    public async advanceUntil(condition: () => boolean, withinMs: number): Promise<boolean> {
        for (let passedMs = 0; !condition() && passedMs < withinMs; passedMs += stepMs) {
            await this.clock.advance(stepMs);
        }
        return condition();
    }

    /** Advances the clock until the promise is fulfilled and returns its value; undefined if that takes too long. */
    public async advanceUntilSettled<T>(promise: Promise<T>, withinMs: number): Promise<T | undefined> {
        let value: T | undefined;
        let done = false;
        void promise.then(result => {
            value = result;
            done = true;
        });
        await this.advanceUntil(() => done, withinMs);
        return value;
    }

    public async stopAll(): Promise<void> {
        this.live.forEach(host => host.die());
        await this.clock.advance(stepMs);
    }

    private async run(
        host: ProofHost,
        seen: SeenRequest,
        workspace: string,
    ): Promise<Outcome<PipelineAnswer> | undefined> {
        const req = {
            id: seen.id as RequestId,
            workspace: workspace as WorkspaceId,
            pipeline: seen.kind as PipelineId,
            input: seen.input,
            idempotencyKey: seen.key,
            deadlineMs: seen.deadlineMs,
            priority: seen.kind === "hold" ? 0 as const : 1 as const,
        };
        try {
            return await host.runner.run(req, new AbortController().signal);
        }
        catch (err) {
            this.recordFailure(host, err);
            return undefined;
        }
    }

    private recordFailure(host: ProofHost, err: unknown): void {
        if (!host.isDead) {
            this.failures.push(`${host.id}: ${err instanceof Error ? err.message : String(err)}`);
        }
    }

    private isReachable(host: string, endpoint: string): boolean {
        const [from, to] = [host.split("-")[0]!, endpoint.split("-")[0]!];
        return from === to || (!this.partitionedDataCentres.has(from) && !this.partitionedDataCentres.has(to));
    }

    private endUnreachable(name: string): void {
        for (const period of this.history.unreachable.filter(one => one.host === name)) {
            period.toMs = Math.min(period.toMs, this.clock.nowMs());
        }
    }

    private recordVersion(host: ProofHost, incarnation: number, view: ConfigView): void {
        const text = JSON.stringify([
            view.settings.limits.claimsPerWorkspace,
            [...view.outDataCentres].sort(),
            [...view.leavingEndpoints].sort(),
        ]);
        if (!host.isDead) {
            const atMs = this.clock.nowMs();
            this.history.versions.push({ host: host.id, incarnation, version: view.version, text, atMs });
        }
    }

    private createLog(name: string, incarnation: number): EventLog {
        const log = new MemoryLog(this.events, { host: name, incarnation });
        const wrap = (inner: EventLog): EventLog => ({
            event: (id, fields) => {
                if (this.hosts.get(name)?.isDead === true) {
                    return;
                }
                inner.event(id, fields);
                this.onStep({ name: EventId[id], place: name });
            },
            with: fields => wrap(inner.with(fields)),
        });
        return wrap(log);
    }
}

export function changeId(text: string): ChangeId {
    return text as ChangeId;
}

const stepMs = 5;
const settleMs = 30_000;
/** Time after the start for slot owners to learn the state of their endpoints, in milliseconds. */
const warmUpMs = 3000;
const jobTimeoutMs = 3000;
const changeTimeoutMs = 5000;
