/** Checks what a leader knows of a follower's log. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { ListMachine, testTiming } from "../../testing/RaftCluster.js";
import type { HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { GroupStorage } from "./GroupStorage.js";
import { type FollowerReply, GroupMethods } from "./Messages.js";
import { PeerReplicator } from "./PeerReplicator.js";
import { Replica } from "./Replica.js";

// A replica on an emptied disk could count as caught up, by what the replica before it had acknowledged.
test("an emptied follower has acknowledged nothing until it matches entries again", async () => {
    const clock = new FakeClock();
    const storage = new GroupStorage(new FakeDisk(), "data");
    const limits = { compactEntries: 100, keepEntries: 10 };
    const replica = new Replica("a" as HostId, storage, new ListMachine(), limits, clock);
    await replica.open(() => "replica-a");
    await replica.appendEntries(1, [{ kind: "noop", term: 1 }, { kind: "command", term: 1, command: "x" }]);
    const replies: FollowerReply[] = [
        { kind: "matched", term: 1, replica: "first" },
        { kind: "mismatch", term: 1, replica: "second", nextIndex: 1 },
    ];
    const transport = { call: async () => Right(replies.shift()) } as unknown as PeerTransport;
    const replicator = new PeerReplicator("b" as HostId, {
        term: 1,
        replica,
        methods: new GroupMethods("test"),
        transport,
        clock,
        timing: testTiming,
        onReply: () => undefined,
        onHigherTerm: () => assert.fail(),
    });
    const stop = new AbortController();
    void replicator.run(stop.signal);
    await clock.advance(1);
    assert.deepEqual([replicator.replicaId, replicator.matchIndex], ["first", 2]);
    replicator.sendNow();
    await clock.advance(1);
    assert.deepEqual([replicator.replicaId, replicator.matchIndex], ["second", 0]);
    stop.abort();
});
