/** Checks the updates for hosts without a replica: when they arrive, and how many messages they take. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { Emitter } from "../common/Emitter.js";
import { parseHostId } from "../common/Ids.js";
import type { RecordsReplica } from "./RecordsClient.js";
import { RecordsUpdateClient, RecordsUpdateServer } from "./RecordsUpdates.js";

const [near, far, polling] = ["near", "far", "asking"].map(id => parseHostId(id).unsafeCoerce());

interface FakeReplica extends RecordsReplica {
    queuedJobs: number;
    marksVersion: number;
}

function setUp() {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const applied = new Emitter<number>();
    const replica: FakeReplica = {
        queuedJobs: 0,
        marksVersion: 0,
        jobHolders: [],
        query: () => ({ kind: "marks", version: replica.marksVersion, reset: false, marks: [] }),
    };
    for (const host of [near!, far!]) {
        new RecordsUpdateServer(replica, applied.event, clock).register(network.addHost(host));
    }
    const transport = network.addHost(polling!);
    const client = new RecordsUpdateClient({ sources: () => [near!, far!], transport, clock });
    const abort = new AbortController();
    const ended = client.run(abort.signal);
    const stop = async () => {
        abort.abort();
        await ended;
    };
    return { clock, network, applied, replica, client, stop };
}

const changes: { name: string; change: (replica: FakeReplica) => void; jobs: number; marks: number; }[] = [
    { name: "a queued job", change: replica => replica.queuedJobs = 2, jobs: 2, marks: 0 },
    { name: "a newer crash mark", change: replica => replica.marksVersion = 7, jobs: 0, marks: 1 },
];

for (const row of changes) {
    test(`${row.name} is received at once, with at most two polls`, async () => {
        const { clock, network, applied, replica, client, stop } = setUp();
        let marks = 0;
        client.onMarks(() => marks += 1);
        await clock.advance(2000);
        row.change(replica);
        applied.fire(1);
        await clock.advance(1);
        assert.equal(client.queuedJobs, row.jobs);
        assert.equal(marks, row.marks);
        assert.ok((network.delivered.get("records.news") ?? 0) <= 2);
        await stop();
    });
}

test("an idle client polls at most 13 times in a minute", async () => {
    const { clock, network, stop } = setUp();
    await clock.advance(60_000);
    assert.ok((network.delivered.get("records.news") ?? 0) <= 13);
    await stop();
});

test("the next source is polled when the current one is gone", async () => {
    const { clock, network, applied, replica, client, stop } = setUp();
    await clock.advance(100);
    network.kill(near!);
    await clock.advance(10_000);
    replica.queuedJobs = 1;
    applied.fire(1);
    await clock.advance(1);
    assert.equal(client.queuedJobs, 1);
    await stop();
});
