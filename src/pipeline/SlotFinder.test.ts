/** Slot search: other endpoints, maximum waits, and overnight calls during a steady stream of quick ones. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { type EndpointSpec, FakeSlots } from "../../testing/pipeline/FakeSlots.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { Priority } from "../endpoints/Types.js";
import { BlockPrefixIndex } from "../routing/BlockPrefixIndex.js";
import { CostRouter } from "../routing/CostRouter.js";
import { type FoundSlot, SlotFinder, type SlotSearch } from "./SlotFinder.js";

function finderOver(endpoints: readonly EndpointSpec[]) {
    const clock = new FakeClock();
    const slots = new FakeSlots(clock, endpoints);
    const router = new CostRouter({
        directory: slots,
        prefixes: new BlockPrefixIndex(new MemoryLog()),
        dataCentre: "dc1" as DataCentreId,
    });
    const finder = new SlotFinder({ router, directory: slots, slots, clock, random: new SeededRandom(1) });
    const search = (priority: Priority, leftMs: number): SlotSearch => ({
        stage: {
            name: "generate",
            pool: "p",
            idempotent: true,
            stream: false,
            hedge: false,
        } as unknown as StageSettings,
        prompt: "",
        priority,
        avoid: new Set(),
        sinceMs: clock.nowMs(),
        startByMs: clock.nowMs() + leftMs,
        alone: false,
        signal: new AbortController().signal,
    });
    return { clock, slots, finder, search };
}

describe("SlotFinder", () => {
    it("finds a slot for an overnight call while quick calls of other hosts wait all the time", async () => {
        const { clock, slots, finder, search } = finderOver([{ id: "a", pool: "p", limit: 1, recentMs: 100 }]);
        const stop = new AbortController();
        const quickCaller = async () => {
            while (!stop.signal.aborted) {
                const granted = await slots.acquire("a" as EndpointId, {
                    priority: 0,
                    deadlineMs: clock.nowMs() + 400,
                });
                await clock.sleep(granted.isRight() ? 100 : 1);
                granted.ifRight(slot => slot.release("succeeded"));
            }
        };
        for (let index = 0; index < 6; index++) {
            void quickCaller();
        }
        await clock.advance(1000);
        const startMs = clock.nowMs();
        let foundMs: number | undefined;
        const found = finder.find(search(2, 60_000)).then(result => {
            foundMs = clock.nowMs() - startMs;
            return result;
        });
        await clock.advance(5000);
        assert.ok(foundMs !== undefined && foundMs <= 4000, `found after ${foundMs} ms`);
        (await found).ifRight(one => one.slot.release("succeeded"));
        stop.abort();
        await clock.advance(1000);
    });

    it("tries another endpoint when the best one takes longer than expected", async () => {
        const { clock, slots, finder, search } = finderOver([
            { id: "a", pool: "p", limit: 1, recentMs: 20 },
            { id: "b", pool: "p", limit: 1, recentMs: 500 },
        ]);
        const first = (await finder.find(search(1, 5000))).extract() as FoundSlot;
        assert.equal(first.slot.endpoint, "a");
        const second = finder.find(search(1, 5000));
        await clock.advance(200);
        assert.equal(((await second).extract() as FoundSlot).slot.endpoint, "b");
        assert.equal(slots.mostOverLimit, 0);
    });

    it("gives up when no slot can become free in time", async () => {
        const { clock, finder, search } = finderOver([{ id: "a", pool: "p", limit: 1, recentMs: 20 }]);
        await finder.find(search(1, 5000));
        const startMs = clock.nowMs();
        const second = finder.find(search(1, 80));
        await clock.advance(100);
        const result = await second;
        assert.equal(result.isLeft(), true);
        assert.ok(clock.nowMs() - startMs <= 100);
    });
});
