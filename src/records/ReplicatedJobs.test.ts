/** Checks jobs on several hosts: leases, journals, cancellation and quotas, and takes whose replies are lost. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LogFault } from "../../testing/FakeGroup.js";
import { leaseMs, newJob, type RecordsHost, RecordsHosts, testLimits } from "../../testing/RecordsHosts.js";
import type { JobLease, JobRecord } from "./Types.js";

const timeoutMs = 1000;

async function submitJob(site: RecordsHosts, host: RecordsHost, id: string, workspace?: string): Promise<JobRecord> {
    return (await site.settle(host.jobs.submit(newJob(id, workspace), timeoutMs))).unsafeCoerce();
}

async function takeJob(site: RecordsHosts, host: RecordsHost, waitMs: number = timeoutMs): Promise<JobLease> {
    const lease = await site.settle(host.jobs.take(waitMs));
    assert.ok(lease !== undefined, "no job was available");
    return lease;
}

async function getJob(site: RecordsHosts, host: RecordsHost, id: string): Promise<JobRecord> {
    const job = (await site.settle(host.jobs.get(newJob(id).id, timeoutMs))).unsafeCoerce();
    assert.ok(job !== undefined);
    return job;
}

for (const replica of [false, true]) {
    test(`a job runs through its stages, replica ${replica}`, async () => {
        const site = new RecordsHosts();
        const [a, b] = [site.start("a", replica), site.start("b", replica)];
        await submitJob(site, a, "j1");
        assert.equal((await submitJob(site, b, "j1")).state, "queued");
        const lease = await takeJob(site, b);
        assert.ok((await site.settle(lease.journal("encode", "e"))).isRight());
        assert.ok((await site.settle(lease.journal("generate", "g"))).isRight());
        await site.clock.advance(leaseMs * 5);
        assert.equal(lease.live, true);
        assert.ok((await site.settle(lease.finish("answered", "done"))).isRight());
        const job = await getJob(site, a, "j1");
        assert.deepEqual([job.state, job.answer, job.stages], ["answered", "done", { encode: "e", generate: "g" }]);
        assert.equal(await site.settle(a.jobs.take(500)), undefined);
        const listed = (await site.settle(a.jobs.list(undefined, timeoutMs))).unsafeCoerce();
        assert.deepEqual(listed.map(one => [one.id, one.state, one.input]), [["j1", "answered", null]]);
        site.group.checkReplicas();
        site.stop();
    });

    test(`another host continues the job of a crashed host from its journal, replica ${replica}`, async () => {
        const site = new RecordsHosts();
        const [a, b] = [site.start("a", replica), site.start("b", replica)];
        await submitJob(site, a, "j1");
        const lease = await takeJob(site, a);
        await site.settle(lease.journal("encode", "e"));
        a.kill();
        const next = await takeJob(site, b, leaseMs * 5);
        assert.deepEqual([next.job.run, next.job.stages], [2, { encode: "e" }]);
        site.stop();
    });
}

test("a partitioned host's lease ends before another host takes the job, and its later writes are refused", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    await submitJob(site, a, "j1");
    const old = await takeJob(site, a);
    site.group.cut(a.id);
    const next = await takeJob(site, b, leaseMs * 5);
    assert.equal(old.live, false);
    assert.equal(old.signal.aborted, true);
    assert.ok((await site.settle(old.journal("encode", "old"))).isLeft());
    assert.ok((await site.settle(next.journal("encode", "new"))).isRight());
    site.group.heal();
    await site.clock.advance(5000);
    assert.equal(next.live, true);
    assert.deepEqual((await getJob(site, b, "j1")).stages, { encode: "new" });
    site.stop();
});

test("a job whose lease expired on a live host is queued again", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    await submitJob(site, a, "j1");
    const lease = await takeJob(site, a);
    site.group.cut(a.id);
    await site.clock.advance(leaseMs + 10);
    assert.equal(lease.live, false);
    site.group.heal();
    assert.equal((await takeJob(site, a, leaseMs * 3)).job.run, 2);
    site.stop();
});

test("a job that is handed back can be taken by another host at once", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    await submitJob(site, a, "j1");
    const lease = await takeJob(site, a);
    await site.settle(lease.handBack());
    assert.equal(lease.signal.aborted, true);
    assert.equal((await takeJob(site, b)).job.run, 2);
    site.stop();
});

for (const through of ["a", "b"] as const) {
    test(`cancelling a running job through host ${through} aborts it`, async () => {
        const site = new RecordsHosts();
        const hosts = { a: site.start("a"), b: site.start("b") };
        await submitJob(site, hosts.a, "j1");
        const lease = await takeJob(site, hosts.a);
        const cancelled = await site.settle(hosts[through].jobs.cancel(lease.job.id, timeoutMs));
        assert.equal(cancelled.unsafeCoerce()?.state, "cancelled");
        await site.clock.advance(leaseMs);
        assert.equal(lease.signal.aborted, true);
        assert.ok((await site.settle(lease.finish("answered", "late"))).isLeft());
        assert.equal((await getJob(site, hosts.b, "j1")).state, "cancelled");
        site.stop();
    });
}

const takeFaults: LogFault[][] = [
    ["lost-answer"],
    ["lost-answer", "lost-answer", "lost-answer"],
    ["late-commit", "late-commit", "late-commit"],
    ["doubled"],
];

for (const faults of takeFaults) {
    test(`a job is not lost when taking it fails with ${faults.join(", ")}`, async () => {
        const site = new RecordsHosts();
        const [a, b] = [site.start("a"), site.start("b")];
        await submitJob(site, a, "j1");
        await site.clock.advance(10);
        site.group.script.push(...faults);
        const lease = await site.settle(a.jobs.take(600));
        site.group.script.length = 0;
        await site.clock.advance(5000);
        const runner = lease ?? await takeJob(site, b, leaseMs * 5);
        assert.ok((await site.settle(runner.finish("answered", "done"))).isRight());
        site.stop();
    });
}

test("a job taken by a duplicated command is handed back", async () => {
    const site = new RecordsHosts({ lateMs: 1 });
    const [a, b] = [site.start("a"), site.start("b")];
    await submitJob(site, a, "j1");
    const running = await takeJob(site, a);
    await submitJob(site, a, "j2");
    site.group.script.push("doubled");
    const lease = await takeJob(site, a);
    assert.notEqual(lease.job.id, running.job.id);
    await submitJob(site, a, "j3");
    await site.clock.advance(3000);
    assert.equal((await takeJob(site, b)).job.id, "j3");
    site.stop();
});

test("a workspace with many jobs does not delay the jobs of another", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    for (const [id, workspace] of [["l1", "large"], ["l2", "large"], ["l3", "large"], ["s1", "small"]] as const) {
        await submitJob(site, a, id, workspace);
    }
    const order = [await takeJob(site, a), await takeJob(site, a), await takeJob(site, a)].map(one => one.job.id);
    assert.deepEqual(order, ["l1", "s1", "l2"]);
    site.stop();
});

test("an id of another workspace is refused, jobs are bounded, and ended jobs are removed after the retention time", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    await submitJob(site, a, "j0");
    const other = await site.settle(a.jobs.submit(newJob("j0", "other"), timeoutMs));
    assert.ok(other.isLeft());
    for (let i = 1; i < testLimits.jobsPerWorkspace; i++) {
        await submitJob(site, a, `j${i}`);
    }
    const full = await site.settle(a.jobs.submit(newJob("more"), timeoutMs));
    assert.equal(full.swap().unsafeCoerce().kind, "full");
    const lease = await takeJob(site, a);
    await site.settle(lease.finish("failed", "bad notes"));
    assert.equal((await getJob(site, a, "j0")).message, "bad notes");
    await site.clock.advance(testLimits.jobRetentionMs + 10);
    await submitJob(site, a, "more");
    assert.equal((await site.settle(a.jobs.get(newJob("j0").id, timeoutMs))).unsafeCoerce(), undefined);
    site.group.checkReplicas();
    site.stop();
});
