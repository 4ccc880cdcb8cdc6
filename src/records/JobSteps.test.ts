/**
 * Checks that a job is continued from its journal when its host crashes before any step, and that it ends once under
 * random faults.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { JobExecutor, JobRun, jobStages, jobStep } from "../../testing/JobRun.js";
import { leaseMs, newJob, RecordsHosts } from "../../testing/RecordsHosts.js";

const timeoutMs = 1000;

const steps = ["run encode", "journal encode", "run rerank", "journal rerank", "run generate", "journal generate"];

for (const step of [...steps, "finish"]) {
    test(`host crashes before "${step}": another host continues the job from its journal`, async () => {
        const cluster = new RecordsHosts({ seed: 3 });
        const [a, b] = [cluster.start("a"), cluster.start("b", true)];
        const jobs = new JobExecutor(cluster);
        await cluster.settle(a.jobs.submit(newJob("j"), timeoutMs));
        const first = await cluster.settle(a.jobs.take(timeoutMs));
        const crashed = jobs.work(first!, a, at => {
            if (at === step) {
                a.kill();
                throw new Error("the process ended");
            }
        }).catch(() => undefined);
        await cluster.settle(crashed);
        const second = await cluster.settle(b.jobs.take(leaseMs * 10));
        assert.equal(second?.job.run, 2);
        await cluster.settle(jobs.work(second, b, () => undefined));
        const job = (await cluster.settle(b.jobs.get(newJob("j").id, timeoutMs))).unsafeCoerce();
        assert.equal(job?.state, "answered");
        const repeated = step.startsWith("journal") ? 1 : 0;
        assert.equal(jobs.runs.length, jobStages.length + repeated);
        assert.equal(job.answer, jobStages.map(stage => job.stages[stage]).join(","));
        cluster.group.checkReplicas();
        cluster.stop();
    });
}

test("random jobs, crashes, partitions and lost replies: every accepted job ends once with its own results", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.nat({ max: 1 << 30 }),
            fc.array(jobStep, { minLength: 5, maxLength: 40 }),
            async (seed, all) => new JobRun(seed).run(all),
        ),
        { seed: 20261203, numRuns: 30, endOnFailure: false },
    );
});
