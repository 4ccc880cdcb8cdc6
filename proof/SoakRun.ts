/**
 * Long randomised runs of a simulated site with callers, operators and faults, all derived from one seed. Phases of
 * mixed faults alternate with calm phases, by whose end the site must have recovered. The same seed gives the same run.
 */
import { createHash } from "node:crypto";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { DataCentreId, EndpointId, JobId, ModelId } from "../src/common/Types.js";
import type { ConfigChange } from "../src/config/Types.js";
import { findViolations } from "./HistoryChecks.js";
import { documentVersion } from "./Operations.js";
import { proofDocument, proofHosts } from "./ProofDocuments.js";
import { changeId, ProofSite } from "./ProofSite.js";

export interface SoakResult {
    readonly seed: number;
    readonly broken: readonly string[];
    /** Digest of the history as seen by callers, operators and endpoints; equal for equal runs. */
    readonly digest: string;
    /** Number of actions by kind. */
    readonly counts: Readonly<Record<string, number>>;
    readonly lastEvents: readonly string[];
}

/** Duration of a phase of mixed faults, and of the calm phase after it, in milliseconds. */
const faultPhaseMs = 20_000;
const calmPhaseMs = 25_000;
const maxPauseMs = 300;
const probeTimeoutMs = 8000;
const maxShownEvents = 100;

type Action = readonly [weight: number, run: () => void];

export class Soak {
    private readonly site: ProofSite;
    private readonly random: SeededRandom;
    private readonly counts = new Map<string, number>();
    /** Idempotency keys of all holds sent so far. */
    private readonly holdKeys: string[] = [];
    private readonly broken: string[] = [];
    /** True while a voter recovers from a lost disk; no other voter may be killed or lose its disk then. */
    private isRepairing = false;
    private lastId = 0;

    public constructor(private readonly seed: number) {
        this.site = new ProofSite(seed);
        this.random = new SeededRandom(seed * 7919 + 1);
    }

    /** Runs for at least the given number of simulated seconds, and until the end of a calm phase. */
    public async run(seconds: number): Promise<SoakResult> {
        const { site } = this;
        await site.start();
        const untilMs = site.clock.nowMs() + seconds * 1000;
        while (site.clock.nowMs() < untilMs) {
            await this.runFaultPhase();
            await this.runCalmPhase();
        }
        this.broken.push(...site.failures, ...findViolations(site.history));
        await site.stopAll();
        return {
            seed: this.seed,
            broken: this.broken,
            digest: digestOf(site),
            counts: Object.fromEntries([...this.counts].sort()),
            lastEvents: site.events.slice(-maxShownEvents).map(event => JSON.stringify(event)),
        };
    }

    private async runFaultPhase(): Promise<void> {
        const { site } = this;
        const fromMs = site.clock.nowMs();
        site.history.disrupted.push({ fromMs, toMs: Number.POSITIVE_INFINITY });
        Object.assign(site.network.faults, { loseRequest: 0.01, loseReply: 0.01, doubleRequest: 0.02 });
        while (site.clock.nowMs() < fromMs + faultPhaseMs) {
            this.runRandomAction();
            await site.clock.advance(1 + this.random.below(maxPauseMs));
        }
    }

    private async runCalmPhase(): Promise<void> {
        const { site } = this;
        Object.assign(site.network.faults, { loseRequest: 0, loseReply: 0, doubleRequest: 0 });
        site.heal();
        for (const endpoint of site.endpoints.values()) {
            endpoint.durationFactor = 1;
            endpoint.remainingFailures = 0;
        }
        for (const host of proofHosts) {
            site.diskOf(host).isFull = false;
            site.restart(host);
        }
        this.endClosedPeriods();
        await site.clock.advance(calmPhaseMs / 2);
        // Reopens every closed endpoint and data centre, so that the next fault phase starts from an intact site.
        await this.reopenAll();
        site.history.disrupted.forEach(time => time.toMs = Math.min(time.toMs, site.clock.nowMs()));
        await site.clock.advance(calmPhaseMs / 2);
        this.isRepairing = false;
        await this.probe();
    }

    private runRandomAction(): void {
        const actions: readonly Action[] = [
            [12, () => this.sendProfile()],
            [10, () => this.sendHold()],
            [8, () => this.resendHold()],
            [3, () => this.submitJob()],
            [1, () => this.cancelJob()],
            [1, () => this.sendCrashingRequest()],
            [1, () => this.sendBurst()],
            [2, () => this.putDocument()],
            [1, () => this.putConcurrentDocuments()],
            [2, () => this.setEndpoint()],
            [1, () => this.setDataCentre()],
            [2, () => this.kill()],
            [2, () => this.restart()],
            [1, () => this.loseDisk()],
            [1, () => this.site.isolate(this.anyHost())],
            [1, () => this.site.partitionDataCentre(this.pick(["north", "south", "east"]))],
            [2, () => this.site.heal()],
            [1, () => this.makeEndpointSlow()],
            [1, () => this.makeEndpointFail()],
            [2, () => this.makeEndpointCold()],
            [2, () => this.pick([...this.site.endpoints.values()]).silence()],
            [1, () => this.fillDisk()],
            [3, () => this.issueOrder()],
        ];
        const sum = actions.reduce((total, [weight]) => total + weight, 0);
        let draw = this.random.below(sum);
        for (const [weight, run] of actions) {
            draw -= weight;
            if (draw < 0) {
                run();
                return;
            }
        }
    }

    private sendProfile(): void {
        void this.site.send("profile", this.liveHost(), { profile: this.nextId("profile") });
    }

    private sendHold(): void {
        const key = `k${this.nextId("hold")}`;
        this.holdKeys.push(key);
        void this.site.send("hold", this.liveHost(), { hold: key }, key);
    }

    /** Resends one of the latest holds, sometimes twice concurrently. */
    private resendHold(): void {
        const key = this.holdKeys[Math.max(0, this.holdKeys.length - 1 - this.random.below(6))];
        if (key === undefined) {
            return;
        }
        this.nextId("resend");
        for (let at = 0; at <= this.random.below(2); at++) {
            void this.site.send("hold", this.liveHost(), { hold: key }, key);
        }
    }

    private submitJob(): void {
        const id = `job-${this.nextId("job")}`;
        void this.site.submit(id, this.liveHost(), { job: id });
    }

    private cancelJob(): void {
        const job = this.site.history.jobs.at(-1);
        if (job !== undefined) {
            this.nextId("cancel");
            job.cancelled = true;
            void this.site.host(this.liveHost()).jobs.cancel(job.id as JobId, 2000);
        }
    }

    private sendCrashingRequest(): void {
        const input = { crashes: this.pick(["encoders", "writers"]), id: this.nextId("poison") };
        void this.site.send("profile", this.liveHost(), input);
    }

    private sendBurst(): void {
        const size = 20 + this.random.below(40);
        const id = this.nextId("burst");
        for (let at = 0; at < size; at++) {
            void this.site.send("profile", this.liveHost(), { burst: id, at }, undefined, "library");
        }
    }

    private putDocument(): void {
        const id = this.nextId("document");
        const baseVersion = documentVersion(this.site);
        this.change({
            kind: "put-document",
            id: changeId(`put-${id}`),
            document: "base",
            baseVersion,
            text: proofDocument(id),
        });
    }

    private putConcurrentDocuments(): void {
        this.putDocument();
        this.putDocument();
    }

    private setEndpoint(): void {
        const endpoint = this.pick(["north-encoder", "south-writer", "south-holds"]);
        const id = changeId(`endpoint-${this.nextId("endpoint")}`);
        const leaving = this.random.below(2) === 0;
        const change = { kind: "set-endpoint" as const, id, endpoint: endpoint as EndpointId, leaving };
        this.change(change);
        if (this.random.below(2) === 0) {
            this.change(change);
        }
    }

    private setDataCentre(): void {
        const id = changeId(`centre-${this.nextId("centre")}`);
        const out = this.random.below(2) === 0;
        this.change({ kind: "set-data-centre", id, dataCentre: "south" as DataCentreId, out });
    }

    private change(change: ConfigChange): void {
        void this.site.change(this.liveHost(), change);
    }

    private kill(): void {
        const host = this.anyHost();
        if (!this.isRepairing || host === "north-2") {
            this.nextId("kill");
            this.site.kill(host);
        }
    }

    private restart(): void {
        for (const host of proofHosts.filter(one => this.site.host(one).isDead)) {
            this.nextId("restart");
            this.site.restart(host);
        }
    }

    /** Restarts one voter with an empty disk, if all are intact; no voter is killed from then until the calm phase. */
    private loseDisk(): void {
        const voters = ["north-1", "south-1", "east-1"];
        const areIntact = voters.every(host => !this.site.host(host).isDead && !this.site.diskOf(host).isFull);
        if (this.isRepairing || !areIntact) {
            return;
        }
        this.isRepairing = true;
        this.nextId("lost disk");
        const host = this.pick(voters);
        this.site.kill(host);
        this.site.restart(host, true);
    }

    private makeEndpointSlow(): void {
        this.nextId("slow");
        this.pick([...this.site.endpoints.values()]).durationFactor = 10 + this.random.below(40);
    }

    private makeEndpointFail(): void {
        this.nextId("fail");
        this.pick([...this.site.endpoints.values()]).remainingFailures = 1 + this.random.below(5);
    }

    private makeEndpointCold(): void {
        const endpoint = this.pick([...this.site.endpoints.values()]);
        this.nextId("cold");
        if (this.random.below(2) === 0) {
            endpoint.restart();
        }
        else {
            endpoint.turnCold();
        }
    }

    private fillDisk(): void {
        if (!this.isRepairing) {
            this.nextId("full disk");
            this.site.diskOf(this.pick(["north-1", "south-1", "east-1"])).isFull = true;
        }
    }

    /** Asks every live host of a data centre to issue the same order. */
    private issueOrder(): void {
        const centre = this.pick(["north", "south"]);
        const order = { kind: "load-model" as const, model: "m" as ModelId, version: `v${this.nextId("order")}` };
        for (const host of this.site.live.filter(one => one.id.startsWith(centre))) {
            void host.issuer.issue(`${centre}-writer` as EndpointId, order, 2000);
        }
    }

    private async reopenAll(): Promise<void> {
        const { site } = this;
        const changes: ConfigChange[] = [
            ...["north-encoder", "south-writer", "south-holds"].map(endpoint => ({
                kind: "set-endpoint" as const,
                id: changeId(`open-${this.nextId("open")}`),
                endpoint: endpoint as EndpointId,
                leaving: false,
            })),
            {
                kind: "set-data-centre",
                id: changeId(`open-${this.nextId("open")}`),
                dataCentre: "south" as DataCentreId,
                out: false,
            },
        ];
        for (const change of changes) {
            if (await site.advanceUntilSettled(site.change("east-1", change), probeTimeoutMs) !== "accepted") {
                this.broken.push(`${change.kind} was not accepted during a calm phase`);
            }
        }
    }

    private endClosedPeriods(): void {
        this.site.history.closed.forEach(closed => closed.toMs = Math.min(closed.toMs, this.site.clock.nowMs()));
    }

    private async probe(): Promise<void> {
        const { site } = this;
        const probeId = this.nextId("probe");
        const sent = proofHosts.flatMap(host => [
            site.send("profile", host, { probe: probeId, host }),
            site.send("hold", host, { probe: probeId, host, hold: true }, `probe-${probeId}-${host}`),
        ]);
        const seen = await site.advanceUntilSettled(Promise.all(sent), probeTimeoutMs) ?? [];
        for (const req of seen.filter(one => one.outcome?.kind !== "answered")) {
            this.broken.push(`${req.host} did not serve a ${req.kind}: ${JSON.stringify(req.outcome)}`);
        }
        if (seen.length === 0) {
            this.broken.push("the probe requests did not all end in time");
        }
        await site.advanceUntilSettled(site.readJobs("east-1"), probeTimeoutMs);
        const versions = new Set(site.live.map(host => host.config.current()?.version));
        if (versions.size !== 1) {
            this.broken.push(`hosts are at versions ${[...versions].join(", ")}`);
        }
    }

    private anyHost(): string {
        return this.pick<string>(proofHosts);
    }

    private liveHost(): string {
        const live: readonly string[] = this.site.live.map(host => host.id);
        return this.pick(live.length === 0 ? proofHosts : live);
    }

    private pick<T>(from: readonly T[]): T {
        return from[this.random.below(from.length)]!;
    }

    /** Counts an action of the given kind, and returns a number that is unique in this run. */
    private nextId(what: string): number {
        this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
        this.lastId += 1;
        return this.lastId;
    }
}

function digestOf(site: ProofSite): string {
    const { requests, jobs, calls, versions, accepted } = site.history;
    const seen = requests.map(({ outcome, ...req }) => ({ ...req, outcome: outcome?.kind }));
    return createHash("sha256").update(JSON.stringify([seen, jobs, calls, versions, accepted])).digest("hex");
}
