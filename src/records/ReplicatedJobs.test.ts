/** Checks jobs on several hosts: leases, journals, cancellation and quotas, and takes whose replies are lost. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LogFault } from "../../testing/FakeGroup.js";
import { leaseMs, newJob, type RecordsHost, RecordsHosts, testLimits } from "../../testing/RecordsHosts.js";
import type { JobLease, JobRecord } from "./Types.js";

const timeoutMs = 1000;

async function submitJob(cluster: RecordsHosts, host: RecordsHost, id: string, workspace?: string): Promise<JobRecord> {
    return (await cluster.settle(host.jobs.submit(newJob(id, workspace), timeoutMs))).unsafeCoerce();
}

async function takeJob(cluster: RecordsHosts, host: RecordsHost, waitMs: number = timeoutMs): Promise<JobLease> {
    const lease = await cluster.settle(host.jobs.take(waitMs));
    assert.ok(lease !== undefined, "no job was available");
    return lease;
}

async function getJob(cluster: RecordsHosts, host: RecordsHost, id: string): Promise<JobRecord> {
    const job = (await cluster.settle(host.jobs.get(newJob(id).id, timeoutMs))).unsafeCoerce();
    assert.ok(job !== undefined);
    return job;
}

for (const replica of [false, true]) {
    test(`a job runs through its stages, replica ${replica}`, async () => {
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a", replica), cluster.start("b", replica)];
        await submitJob(cluster, a, "j1");
        assert.equal((await submitJob(cluster, b, "j1")).state, "queued");
        const lease = await takeJob(cluster, b);
        assert.ok((await cluster.settle(lease.journal("encode", "e"))).isRight());
        assert.ok((await cluster.settle(lease.journal("generate", "g"))).isRight());
        await cluster.clock.advance(leaseMs * 5);
        assert.equal(lease.live, true);
        assert.ok((await cluster.settle(lease.finish("answered", "done"))).isRight());
        const job = await getJob(cluster, a, "j1");
        assert.deepEqual([job.state, job.answer, job.stages], ["answered", "done", { encode: "e", generate: "g" }]);
        assert.equal(await cluster.settle(a.jobs.take(500)), undefined);
        const listed = (await cluster.settle(a.jobs.list(undefined, timeoutMs))).unsafeCoerce();
        assert.deepEqual(listed.map(one => [one.id, one.state, one.input]), [["j1", "answered", null]]);
        cluster.group.checkReplicas();
        cluster.stop();
    });

    test(`another host continues the job of a crashed host from its journal, replica ${replica}`, async () => {
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a", replica), cluster.start("b", replica)];
        await submitJob(cluster, a, "j1");
        const lease = await takeJob(cluster, a);
        await cluster.settle(lease.journal("encode", "e"));
        a.kill();
        const next = await takeJob(cluster, b, leaseMs * 5);
        assert.deepEqual([next.job.run, next.job.stages], [2, { encode: "e" }]);
        cluster.stop();
    });
}

test("a partitioned host's lease ends before another host takes the job, and its later writes are refused", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await submitJob(cluster, a, "j1");
    const old = await takeJob(cluster, a);
    cluster.group.cut(a.id);
    const next = await takeJob(cluster, b, leaseMs * 5);
    assert.equal(old.live, false);
    assert.equal(old.signal.aborted, true);
    assert.ok((await cluster.settle(old.journal("encode", "old"))).isLeft());
    assert.ok((await cluster.settle(next.journal("encode", "new"))).isRight());
    cluster.group.heal();
    await cluster.clock.advance(5000);
    assert.equal(next.live, true);
    assert.deepEqual((await getJob(cluster, b, "j1")).stages, { encode: "new" });
    cluster.stop();
});

test("a job whose lease expired on a live host is queued again", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    await submitJob(cluster, a, "j1");
    const lease = await takeJob(cluster, a);
    cluster.group.cut(a.id);
    await cluster.clock.advance(leaseMs + 10);
    assert.equal(lease.live, false);
    cluster.group.heal();
    assert.equal((await takeJob(cluster, a, leaseMs * 3)).job.run, 2);
    cluster.stop();
});

test("a job that is handed back can be taken by another host at once", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await submitJob(cluster, a, "j1");
    const lease = await takeJob(cluster, a);
    await cluster.settle(lease.handBack());
    assert.equal(lease.signal.aborted, true);
    assert.equal((await takeJob(cluster, b)).job.run, 2);
    cluster.stop();
});

for (const through of ["a", "b"] as const) {
    test(`cancelling a running job through host ${through} aborts it`, async () => {
        const cluster = new RecordsHosts();
        const hosts = { a: cluster.start("a"), b: cluster.start("b") };
        await submitJob(cluster, hosts.a, "j1");
        const lease = await takeJob(cluster, hosts.a);
        const cancelled = await cluster.settle(hosts[through].jobs.cancel(lease.job.id, timeoutMs));
        assert.equal(cancelled.unsafeCoerce()?.state, "cancelled");
        await cluster.clock.advance(leaseMs);
        assert.equal(lease.signal.aborted, true);
        assert.ok((await cluster.settle(lease.finish("answered", "late"))).isLeft());
        assert.equal((await getJob(cluster, hosts.b, "j1")).state, "cancelled");
        cluster.stop();
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
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a"), cluster.start("b")];
        await submitJob(cluster, a, "j1");
        await cluster.clock.advance(10);
        cluster.group.script.push(...faults);
        const lease = await cluster.settle(a.jobs.take(600));
        cluster.group.script.length = 0;
        await cluster.clock.advance(5000);
        const runner = lease ?? await takeJob(cluster, b, leaseMs * 5);
        assert.ok((await cluster.settle(runner.finish("answered", "done"))).isRight());
        cluster.stop();
    });
}

test("a job taken by a duplicated command is handed back", async () => {
    const cluster = new RecordsHosts({ lateMs: 1 });
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await submitJob(cluster, a, "j1");
    const running = await takeJob(cluster, a);
    await submitJob(cluster, a, "j2");
    cluster.group.script.push("doubled");
    const lease = await takeJob(cluster, a);
    assert.notEqual(lease.job.id, running.job.id);
    await submitJob(cluster, a, "j3");
    await cluster.clock.advance(3000);
    assert.equal((await takeJob(cluster, b)).job.id, "j3");
    cluster.stop();
});

test("a workspace with many jobs does not delay the jobs of another", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    for (const [id, workspace] of [["l1", "large"], ["l2", "large"], ["l3", "large"], ["s1", "small"]] as const) {
        await submitJob(cluster, a, id, workspace);
    }
    const order = [await takeJob(cluster, a), await takeJob(cluster, a), await takeJob(cluster, a)].map(one =>
        one.job.id
    );
    assert.deepEqual(order, ["l1", "s1", "l2"]);
    cluster.stop();
});

test("an id of another workspace is refused, jobs are bounded, and ended jobs are removed after the retention time", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    await submitJob(cluster, a, "j0");
    const other = await cluster.settle(a.jobs.submit(newJob("j0", "other"), timeoutMs));
    assert.ok(other.isLeft());
    for (let i = 1; i < testLimits.jobsPerWorkspace; i++) {
        await submitJob(cluster, a, `j${i}`);
    }
    const full = await cluster.settle(a.jobs.submit(newJob("more"), timeoutMs));
    assert.equal(full.swap().unsafeCoerce().kind, "full");
    const lease = await takeJob(cluster, a);
    await cluster.settle(lease.finish("failed", "bad notes"));
    assert.equal((await getJob(cluster, a, "j0")).message, "bad notes");
    await cluster.clock.advance(testLimits.jobRetentionMs + 10);
    await submitJob(cluster, a, "more");
    assert.equal((await cluster.settle(a.jobs.get(newJob("j0").id, timeoutMs))).unsafeCoerce(), undefined);
    cluster.group.checkReplicas();
    cluster.stop();
});
