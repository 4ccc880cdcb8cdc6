/** Tests reading cache events across restarts, and moving hot prefixes away from a leaving engine. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { FakeSlots } from "../../testing/pipeline/FakeSlots.js";
import { fakeConfig } from "../../testing/pipeline/PipelineBench.js";
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import { blockHashes } from "../endpoints/Prompt.js";
import { cacheBlockChars } from "../endpoints/Wire.js";
import { EventId } from "../telemetry/Events.js";
import { BlockPrefixIndex } from "./BlockPrefixIndex.js";
import { CacheWatcher } from "./CacheWatcher.js";
import type { CacheBatch, CacheSource } from "./Types.js";

const e1 = "e1" as EndpointId;
const e2 = "e2" as EndpointId;
const prompt = "p".repeat(4 * cacheBlockChars);
const neverAborted = new AbortController().signal;

class FakeCacheSource implements CacheSource {
    public readonly batches: CacheBatch[] = [];
    public readonly requestedAfter: number[] = [];
    public readonly moves: string[] = [];

    public async events(_endpoint: EndpointId, after: number): Promise<CacheBatch | undefined> {
        this.requestedAfter.push(after);
        return this.batches.shift();
    }

    public async export(endpoint: EndpointId, blocks: readonly string[]): Promise<readonly string[]> {
        this.moves.push(`export ${endpoint} ${blocks.length}`);
        return blocks.slice(0, 3);
    }

    public async import(endpoint: EndpointId, blocks: readonly string[]): Promise<readonly string[]> {
        this.moves.push(`import ${endpoint} ${blocks.length}`);
        return blocks;
    }
}

function createWatcher() {
    const log = new MemoryLog();
    const index = new BlockPrefixIndex(log);
    const source = new FakeCacheSource();
    const directory = new FakeSlots(new FakeClock(), [
        { id: "e1", pool: "p", limit: 4, kind: "engine" },
        { id: "e2", pool: "p", limit: 4, kind: "engine" },
        { id: "s1", pool: "p", limit: 4 },
    ]);
    const view = fakeConfig({}).current()!;
    const endpoints = Object.fromEntries(["e1", "e2", "s1"].map(id => [id, {}]));
    const config = {
        current: () => ({ ...view, settings: { ...view.settings, endpoints } }),
        onChange: fakeConfig({}).onChange,
    } as unknown as ConfigSource;
    const clock = new FakeClock();
    const watcher = new CacheWatcher({
        config,
        directory,
        source,
        index,
        dataCentre: "dc1" as DataCentreId,
        clock,
        log,
    });
    return {
        log,
        index,
        source,
        directory,
        watcher,
        visit: (id: EndpointId) => watcher.processEngine(directory.get(id)!, neverAborted),
    };
}

describe("CacheWatcher", () => {
    it("continues after the last event read, and starts from the beginning after a restart", async () => {
        const { index, source, visit } = createWatcher();
        const blocks = blockHashes(prompt);
        source.batches.push(
            { incarnation: "1", events: [{ sequence: 7, kind: "stored", blocks }] },
            { incarnation: "1", events: [] },
            { incarnation: "2", events: [{ sequence: 1, kind: "stored", blocks: blocks.slice(0, 1) }] },
            { incarnation: "2", events: [{ sequence: 1, kind: "stored", blocks: blocks.slice(0, 1) }] },
        );
        await visit(e1);
        const before = index.cachedTokens(e1, prompt);
        await visit(e1);
        await visit(e1);
        assert.equal(index.cachedTokens(e1, prompt), 0);
        await visit(e1);
        assert.deepEqual(source.requestedAfter, [0, 7, 7, 0]);
        assert.equal(index.cachedTokens(e1, prompt), before / 4);
    });

    it("moves blocks used twice to another engine, once, when an engine leaves", async () => {
        const { log, index, source, directory, visit } = createWatcher();
        index.recordPrompt(e1, prompt);
        index.recordPrompt(e1, prompt);
        index.recordPrompt(e1, "q".repeat(cacheBlockChars));
        directory.change("e1", { state: "leaving" });
        await visit(e1);
        await visit(e1);
        assert.deepEqual(source.moves, ["export e1 4", "import e2 3"]);
        assert.ok(index.cachedTokens(e2, prompt) > 0);
        assert.deepEqual(log.events.map(event => event.id), [EventId.CacheMoved]);
    });

    it("does not move blocks that were used only once", async () => {
        const { index, source, directory, visit } = createWatcher();
        index.recordPrompt(e1, prompt);
        directory.change("e1", { state: "leaving" });
        await visit(e1);
        assert.deepEqual(source.moves, []);
    });
});
