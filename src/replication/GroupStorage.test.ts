/** Checks that stored state survives crashes at any step, and that damaged or missing files are detected. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeDisk } from "../../testing/FakeDisk.js";
import type { HostId } from "../common/Types.js";
import { encodeFrame, parseFrames } from "./Frame.js";
import { GroupStorage, type StoredState } from "./GroupStorage.js";
import type { LogEntry, StorageError } from "./Types.js";

const entry = (command: string): LogEntry => ({ kind: "command", term: 1, command });
const makeReplica = () => "replica-1";

async function open(disk: FakeDisk) {
    const storage = new GroupStorage(disk, "data");
    return { storage, opened: await storage.open(makeReplica) };
}

/** A disk with a vote, a snapshot at index 2 and the entries 1 to 3. */
async function makeUsedDisk(): Promise<{ disk: FakeDisk; storage: GroupStorage; }> {
    const disk = new FakeDisk();
    const { storage } = await open(disk);
    await storage.saveVote({ term: 1, votedFor: "a" as HostId });
    await storage.append(1, [entry("one"), entry("two")], 0);
    await storage.saveSnapshot({ index: 2, term: 1, members: [], state: ["one", "two"] });
    await storage.append(3, [entry("three")], 2);
    return { disk, storage };
}

function commands(state: StoredState): unknown[] {
    return state.log.entries.map(one => one.kind === "command" ? one.command : one.kind);
}

function errorOf(opened: { swap(): { unsafeCoerce(): StorageError; }; }): StorageError {
    return opened.swap().unsafeCoerce();
}

// The name of the group's directory was never synced, so that a power loss could take all of its files.
test("synced state survives a crash", async () => {
    const { disk } = await makeUsedDisk();
    const { opened } = await open(disk.crash());
    const state = opened.unsafeCoerce();
    assert.deepEqual(commands(state), ["one", "two", "three"]);
    assert.deepEqual(state.vote, { term: 1, votedFor: "a" });
    assert.equal(state.snapshot?.index, 2);
    assert.equal(state.replica, "replica-1");
    assert.equal(state.log.commitIndex, 2);
});

test("a last write torn at any byte keeps all entries acknowledged before it", async () => {
    const { disk, storage } = await makeUsedDisk();
    const path = disk.paths().find(one => /log-\d+$/.test(one))!;
    const before = disk.content(path)!.length;
    disk.failSync = true;
    await storage.append(4, [entry("four")], 3);
    const length = disk.content(path)!.length - before;
    assert.ok(length > 20);
    for (const zeros of [false, true]) {
        for (let bytes = 0; bytes <= length; bytes++) {
            const { opened } = await open(disk.crash({ kind: "keep", bytes, zeros }));
            const kept = commands(opened.unsafeCoerce());
            const expected = ["one", "two", "three", ...bytes === length ? ["four"] : []];
            assert.deepEqual(kept, expected, `torn at byte ${bytes}, zeros ${zeros}`);
        }
    }
});

test("a flipped bit in any file makes opening fail with that file's name", async () => {
    const { disk } = await makeUsedDisk();
    const kinds = new Set<string>();
    for (const path of disk.paths()) {
        kinds.add(path.replace(/\d+/, "N"));
        const bits = disk.content(path)!.length * 8;
        for (let bit = 0; bit < bits; bit++) {
            const damaged = disk.crash();
            damaged.flipBit(path, bit);
            const { opened } = await open(damaged);
            const error = errorOf(opened);
            assert.ok(
                error.kind === "damaged" && error.file === path,
                `bit ${bit} of ${path}: ${JSON.stringify(error)}`,
            );
        }
    }
    assert.deepEqual([...kinds].sort(), ["data/identity", "data/log-N", "data/snapshot-N", "data/vote"]);
});

const missing = [
    { pattern: /identity$/, file: "data/identity" },
    { pattern: /vote$/, file: "data/vote" },
    { pattern: /log-\d+$/, file: "data/log" },
];

for (const { pattern, file } of missing) {
    test(`opening fails when a file is missing: ${file}`, async () => {
        const { disk } = await makeUsedDisk();
        await disk.remove(disk.paths().find(path => pattern.test(path))!);
        await disk.syncDir("data");
        const { opened } = await open(disk.crash());
        const error = errorOf(opened);
        assert.ok(error.kind === "damaged" && error.file === file, JSON.stringify(error));
    });
}

test("opening fails when the snapshot is missing after a compaction", async () => {
    const { disk, storage } = await makeUsedDisk();
    await storage.rewriteLog({ index: 2, term: 1, members: [], entries: [entry("three")], commitIndex: 2 });
    await disk.remove("data/snapshot-2");
    await disk.syncDir("data");
    const { opened } = await open(disk.crash());
    assert.equal(errorOf(opened).kind, "damaged");
});

test("a crash at any step of a compaction loses no entries", async () => {
    let steps = 0;
    for (let stopAt = 0; stopAt <= steps; stopAt++) {
        const { disk, storage } = await makeUsedDisk();
        let done = 0;
        disk.gate = () => done++ < stopAt;
        const compaction = (async () => {
            await storage.saveSnapshot({ index: 3, term: 1, members: [], state: ["one", "two", "three"] });
            await storage.rewriteLog({ index: 3, term: 1, members: [], entries: [], commitIndex: 3 });
            await storage.removeOld(3);
        })();
        await Promise.race([compaction, new Promise(resolve => setImmediate(resolve))]);
        steps = Math.max(steps, done);
        const { opened } = await open(disk.crash());
        const state = opened.unsafeCoerce();
        const skipped = (state.snapshot?.index ?? 0) - state.log.index;
        const all = [...state.snapshot?.state as string[], ...commands(state).slice(skipped)];
        assert.deepEqual(all, ["one", "two", "three"], `stopped at step ${stopAt}`);
    }
    assert.ok(steps > 8);
});

test("an overwritten entry stays overwritten, and a log that a leader's snapshot replaces is dropped", async () => {
    const { disk, storage } = await makeUsedDisk();
    await storage.saveVote({ term: 2, votedFor: undefined });
    await storage.append(3, [{ kind: "command", term: 2, command: "other" }], 2);
    const next = disk.crash();
    const { opened, storage: reopened } = await open(next);
    assert.deepEqual(commands(opened.unsafeCoerce()), ["one", "two", "other"]);
    await reopened.saveSnapshot({ index: 3, term: 3, members: [], state: [] });
    await reopened.saveVote({ term: 3, votedFor: undefined });
    const replaced = await open(next.crash());
    const state = replaced.opened.unsafeCoerce();
    assert.deepEqual([state.log.index, state.log.entries.length], [3, 0]);
});

test("frames are read back as they were written", () => {
    const payloads = [[], [0], [0, 0, 0], [1, 2, 3], new Array<number>(300).fill(7)].map(one => Uint8Array.from(one));
    const file = Buffer.concat(payloads.map(encodeFrame));
    const parsed = parseFrames(file).unsafeCoerce();
    assert.deepEqual(parsed.payloads.map(one => [...one]), payloads.map(one => [...one]));
    assert.equal(parsed.wholeBytes, file.length);
});
