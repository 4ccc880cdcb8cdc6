/** Checks that a follower keeps what it has acknowledged, whatever a leader sends afterwards. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { ListMachine } from "../../testing/RaftCluster.js";
import type { HostId } from "../common/Types.js";
import { Follower } from "./Follower.js";
import { GroupStorage } from "./GroupStorage.js";
import { Replica } from "./Replica.js";
import type { LogEntry } from "./Types.js";

const entriesOf = (term: number, commands: readonly string[]) =>
    commands.map((command): LogEntry => ({ kind: "command", term, command }));

async function openReplica(disk: FakeDisk, clock: FakeClock): Promise<Replica> {
    const limits = { compactEntries: 100, keepEntries: 10 };
    const replica = new Replica("a" as HostId, new GroupStorage(disk, "data"), new ListMachine(), limits, clock);
    assert.ok((await replica.open(() => "replica-1")).isRight());
    return replica;
}

const snapshots: readonly { readonly name: string; readonly snapshotTerm: number; readonly last: number; }[] = [
    { name: "covers entries that it has: the later ones stay", snapshotTerm: 1, last: 5 },
    { name: "differs from its entries: its log is dropped", snapshotTerm: 2, last: 3 },
];

// A snapshot of a new leader removed entries that a majority had acknowledged with this follower's copy.
for (const { name, snapshotTerm, last } of snapshots) {
    test(`a follower whose leader's snapshot ${name}`, async () => {
        const clock = new FakeClock();
        const disk = new FakeDisk();
        const replica = await openReplica(disk, clock);
        const follower = new Follower(replica, clock);
        const entries = entriesOf(1, ["one", "two", "three", "four", "five"]);
        const append = { leader: "b" as HostId, term: 1, prevIndex: 0, prevTerm: 0, entries, commit: 1 };
        assert.equal((await follower.handleAppend(append)).kind, "matched");
        const text = JSON.stringify(["one", "two", "three"]);
        const head = { leader: "c" as HostId, term: 3, index: 3, snapshotTerm, members: [] };
        const reply = await follower.handleSnapshotPart({ ...head, offset: 0, text, isLast: true });
        assert.equal(reply.kind, "matched");
        const reopened = await openReplica(disk.crash(), clock);
        for (const one of [replica, reopened]) {
            assert.deepEqual([one.log.lastIndex, one.commitIndex], [last, 3]);
        }
    });
}
