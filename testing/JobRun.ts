/** Random sequences of jobs, workers and faults over three hosts, for property tests of jobs. */
import fc from "fast-check";
import assert from "node:assert/strict";
import type { JobLease } from "../src/records/Types.js";
import type { LogFault } from "./FakeGroup.js";
import { newJob, type RecordsHost, RecordsHosts } from "./RecordsHosts.js";

const timeoutMs = 1000;
export const jobStages = ["encode", "rerank", "generate"];

/** Runs the stages of jobs and records which stages ran and which jobs finished. */
export class JobExecutor {
    public readonly runs: string[] = [];
    public readonly finished: string[] = [];

    public constructor(public readonly site: RecordsHosts) {}

    /** Runs the stages that a job's journal does not hold yet; `before` may end the process before any step. */
    public async work(lease: JobLease, host: RecordsHost, beforeStep: (step: string) => void): Promise<void> {
        const done = new Map(Object.entries(lease.job.stages));
        for (const stage of jobStages) {
            if (done.has(stage)) {
                continue;
            }
            beforeStep(`run ${stage}`);
            if (!lease.live) {
                return;
            }
            const output = `${lease.job.id}/${stage}/${host.id}/${lease.job.run}`;
            this.runs.push(`${lease.job.id}/${stage}`);
            await this.site.clock.sleep(30);
            beforeStep(`journal ${stage}`);
            if ((await lease.journal(stage, output)).isLeft()) {
                return;
            }
            done.set(stage, output);
        }
        beforeStep("finish");
        const finished = await lease.finish("answered", jobStages.map(stage => done.get(stage)).join(","));
        if (finished.isRight()) {
            this.finished.push(lease.job.id);
        }
    }
}

export type JobStep =
    | { readonly kind: "submit"; readonly host: number; readonly job: number; }
    | { readonly kind: "work" | "restart" | "cut" | "hand-back"; readonly host: number; }
    | { readonly kind: "cancel"; readonly host: number; readonly job: number; }
    | { readonly kind: "heal"; }
    | { readonly kind: "advance"; readonly ms: number; };

const host = fc.nat({ max: 2 });
const job = fc.nat({ max: 3 });
export const jobStep: fc.Arbitrary<JobStep> = fc.oneof(
    { weight: 5, arbitrary: fc.record({ kind: fc.constant("submit" as const), host, job }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("work" as const), host }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cancel" as const), host, job }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constantFrom("restart" as const, "cut" as const, "hand-back" as const),
            host,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("heal" as const) }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.nat({ max: 2500 }) }) },
);

/** Runs a sequence of steps over three hosts and checks how the jobs end. */
export class JobRun {
    private readonly site: RecordsHosts;
    private readonly executor: JobExecutor;
    private readonly hosts: RecordsHost[];
    private readonly accepted = new Set<string>();
    private readonly cancelled = new Set<string>();
    private readonly leases = new Map<string, JobLease>();
    private readonly allLeases: { readonly lease: JobLease; readonly host: RecordsHost; }[] = [];
    /** True once two running hosts held a live lease of one job at the same time. */
    private doubled = false;

    public constructor(seed: number) {
        this.site = new RecordsHosts({ seed, lateMs: 3000 });
        Object.assign(this.site.group.chances, {
            "lost-answer": 0.06,
            "late-commit": 0.05,
            "not-accepted": 0.05,
            doubled: 0.1,
        });
        this.executor = new JobExecutor(this.site);
        this.hosts = ["a", "b", "c"].map((name, at) => this.site.start(name, at === 0));
    }

    public async run(steps: readonly JobStep[]): Promise<void> {
        for (const one of steps) {
            await this.step(one);
            await this.site.clock.advance(1);
        }
        await this.checkEnd();
        this.site.stop();
    }

    private async step(one: JobStep): Promise<void> {
        switch (one.kind) {
            case "submit":
                void this.submit(one.host, `j${one.job}`);
                return;
            case "work":
                void this.work(this.hosts[one.host]!, 800);
                return;
            case "cancel":
                void this.cancel(one.host, `j${one.job}`);
                return;
            case "hand-back":
                await Promise.race([this.leases.get(this.hosts[one.host]!.id)?.handBack(), Promise.resolve()]);
                return;
            case "restart":
                this.hosts[one.host]!.kill();
                this.hosts[one.host] = this.site.start(this.hosts[one.host]!.id, one.host === 0);
                return;
            case "cut":
                this.site.group.cut(this.hosts[one.host]!.id);
                return;
            case "heal":
                this.site.group.heal();
                return;
            case "advance":
                await this.site.clock.advance(one.ms);
                return;
        }
    }

    private async submit(hostIndex: number, id: string): Promise<void> {
        const result = await this.hosts[hostIndex]!.jobs.submit(newJob(id), timeoutMs);
        result.ifRight(() => this.accepted.add(id));
    }

    private async cancel(hostIndex: number, id: string): Promise<void> {
        this.cancelled.add(id);
        await this.hosts[hostIndex]!.jobs.cancel(newJob(id).id, timeoutMs);
    }

    private async work(chosen: RecordsHost, waitMs: number): Promise<void> {
        const lease = await chosen.jobs.take(waitMs);
        if (lease === undefined) {
            return;
        }
        const others = this.allLeases.filter(one => one.lease.job.id === lease.job.id && one.lease.live);
        // A lease held by a process that was replaced does not count, since that process runs nothing.
        this.doubled = this.doubled || others.some(one => this.hosts.includes(one.host));
        this.allLeases.push({ lease, host: chosen });
        this.leases.set(chosen.id, lease);
        await this.executor.work(lease, chosen, () => undefined);
    }

    /** Checks, after the faults have ended, that every accepted job ends once and only with its own results. */
    private async checkEnd(): Promise<void> {
        this.site.group.heal();
        for (const fault of Object.keys(this.site.group.chances) as LogFault[]) {
            this.site.group.chances[fault] = 0;
        }
        await this.site.clock.advance(6000);
        for (let turn = 0; turn < 6; turn++) {
            await this.site.settle(this.work(this.hosts[turn % 3]!, 4000));
        }
        await this.site.clock.advance(3000);
        for (const id of this.accepted) {
            const found = (await this.site.settle(this.hosts[1]!.jobs.get(newJob(id).id, timeoutMs))).unsafeCoerce();
            assert.ok(found !== undefined, `${id} was lost`);
            assert.ok(found.state === "answered" || this.cancelled.has(id), `${id} is ${found.state}`);
            for (const [stage, output] of Object.entries(found.stages)) {
                assert.ok(output.startsWith(`${id}/${stage}/`), `${id} has a result of another job: ${output}`);
            }
            if (found.state === "answered") {
                assert.equal(found.answer, jobStages.map(stage => found.stages[stage]).join(","));
            }
        }
        assert.equal(this.doubled, false, "two live leases of one job");
        const twice = this.executor.finished.filter((id, at) => this.executor.finished.indexOf(id) !== at);
        assert.deepEqual(twice, [], "a job finished twice");
        this.site.group.checkReplicas();
    }
}
