/** Tests which blocks the index expects an engine to hold, given prompts and cache events with gaps. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryLog } from "../../testing/MemoryLog.js";
import type { EndpointId } from "../common/Types.js";
import { blockHashes } from "../endpoints/Prompt.js";
import { cacheBlockChars, charsPerToken } from "../endpoints/Wire.js";
import { EventId } from "../telemetry/Events.js";
import { BlockPrefixIndex } from "./BlockPrefixIndex.js";
import type { CacheEvent } from "./Types.js";

const engine = "e1" as EndpointId;
const tokensPerBlock = cacheBlockChars / charsPerToken;
const prompt = Array.from({ length: 5 }, (_, n) => String(n).repeat(cacheBlockChars)).join("");
const blocks = blockHashes(prompt);

describe("BlockPrefixIndex", () => {
    const stored = (sequence: number, from: number, to: number): CacheEvent => ({
        sequence,
        kind: "stored",
        blocks: blocks.slice(from, to),
    });
    const cases: { name: string; events: CacheEvent[]; blocks: number; trust: number; }[] = [
        { name: "stored blocks", events: [stored(1, 0, 3)], blocks: 3, trust: 1 },
        {
            name: "only the blocks before a missing block",
            events: [stored(1, 0, 2), stored(2, 3, 5)],
            blocks: 2,
            trust: 1,
        },
        {
            name: "no evicted block",
            events: [stored(1, 0, 5), { sequence: 2, kind: "evicted", blocks: blocks.slice(1, 2) }],
            blocks: 1,
            trust: 1,
        },
        {
            name: "no block after the cache was cleared",
            events: [stored(1, 0, 5), { sequence: 2, kind: "cleared", blocks: [] }],
            blocks: 0,
            trust: 1,
        },
        { name: "fewer tokens after a gap", events: [stored(1, 0, 2), stored(5, 2, 4)], blocks: 4, trust: 0.5 },
        { name: "nothing from an outdated event", events: [stored(2, 0, 2), stored(1, 2, 5)], blocks: 2, trust: 1 },
    ];
    for (const one of cases) {
        it(`expects ${one.name}`, () => {
            const index = new BlockPrefixIndex(new MemoryLog());
            index.recordEvents(engine, one.events);
            assert.equal(index.cachedTokens(engine, prompt), one.blocks * tokensPerBlock * one.trust);
        });
    }

    it("regains trust while events arrive without gaps", () => {
        const log = new MemoryLog();
        const index = new BlockPrefixIndex(log);
        index.recordEvents(engine, [stored(1, 0, 1), stored(9, 0, 1)]);
        const low = index.trust(engine);
        index.recordEvents(engine, Array.from({ length: 50 }, (_, n) => stored(10 + n, 0, 1)));
        assert.ok(low < 0.6);
        assert.equal(index.trust(engine), 1);
        assert.deepEqual(log.events.map(event => event.id), [EventId.PrefixIndexGap]);
    });

    it("evicts the least recently used blocks beyond its size, and drops all blocks of a forgotten engine", () => {
        const index = new BlockPrefixIndex(new MemoryLog(), 3);
        index.recordPrompt(engine, prompt.slice(0, 2 * cacheBlockChars));
        index.recordPrompt(engine, "z".repeat(2 * cacheBlockChars));
        assert.equal(index.cachedTokens(engine, prompt), 0);
        assert.equal(index.cachedTokens(engine, "z".repeat(2 * cacheBlockChars)), 2 * tokensPerBlock);
        index.forget(engine);
        assert.equal(index.cachedTokens(engine, "z".repeat(2 * cacheBlockChars)), 0);
    });

    it("prefers the same engine on every host, uses all engines over many prefixes, and none for a short prompt", () => {
        const engines = ["e1", "e2", "e3", "e4"] as EndpointId[];
        const preferred = new Set<EndpointId | undefined>();
        for (let text = 0; text < 40; text++) {
            const prefix = `${text} `.repeat(cacheBlockChars);
            const one = new BlockPrefixIndex(new MemoryLog()).preferredEndpoint(`${prefix} question`, engines);
            const other = new BlockPrefixIndex(new MemoryLog()).preferredEndpoint(
                `${prefix} another`,
                [...engines].reverse(),
            );
            assert.equal(one, other);
            preferred.add(one);
        }
        assert.deepEqual([...preferred].sort(), engines);
        assert.equal(new BlockPrefixIndex(new MemoryLog()).preferredEndpoint("short", engines), undefined);
    });
});
