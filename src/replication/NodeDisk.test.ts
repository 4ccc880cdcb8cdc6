/** Checks the disk over node:fs against a real directory. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { GroupStorage } from "./GroupStorage.js";
import { NodeDisk } from "./NodeDisk.js";

test("a group's files on a real disk are read back as they were written", async () => {
    const dir = mkdtempSync(join(tmpdir(), "node-disk-"));
    const disk = new NodeDisk();
    const storage = new GroupStorage(disk, join(dir, "group"));
    assert.ok((await storage.open(() => "replica-1")).isRight());
    assert.ok((await storage.saveVote({ term: 1, votedFor: undefined })).isRight());
    for (let index = 1; index <= 20; index++) {
        const entry = { kind: "command", term: 1, command: { index } } as const;
        assert.ok((await storage.append(index, [entry], index - 1)).isRight());
    }
    await disk.close();
    const reopened = await new GroupStorage(new NodeDisk(), join(dir, "group")).open(() => "other");
    const state = reopened.unsafeCoerce();
    assert.equal(state.replica, "replica-1");
    assert.deepEqual(state.log.entries.at(-1), { kind: "command", term: 1, command: { index: 20 } });
    assert.equal(state.log.commitIndex, 19);
    rmSync(dir, { recursive: true, force: true });
});

test("a failing operation returns an error, and a missing file is not an error", async () => {
    const dir = mkdtempSync(join(tmpdir(), "node-disk-"));
    const disk = new NodeDisk();
    assert.equal((await disk.read(join(dir, "none"))).extract(), undefined);
    const failed = await disk.append(join(dir, "no-folder", "file"), Uint8Array.of(1));
    assert.equal(failed.swap().unsafeCoerce().kind, "failed");
    rmSync(dir, { recursive: true, force: true });
});
