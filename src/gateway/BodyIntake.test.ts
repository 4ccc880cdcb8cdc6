/** Guards against memory that bodies use up which do not end, and against ordinary bodies that are given up for them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { noMetrics, silentLog } from "../../testing/FleetFixtures.js";
import { BodyIntake, type IncomingBody } from "./BodyIntake.js";
import { CallerMemory } from "./CallerMemory.js";

const kib = 1024;
const maxHeldBytes = 1024 * kib;

function newIntake() {
    const clock = new FakeClock();
    const settings = () => ({ maxHeldBytes, maxStallMs: Infinity });
    const memory = new CallerMemory({ settings, clock, log: silentLog, metrics: noMetrics });
    const intake = new BodyIntake({ memory, clock, metrics: noMetrics });
    const ends: string[] = [];
    const open = (name: string, forMs = 60_000): IncomingBody =>
        intake.open(clock.nowMs() + forMs, reason => ends.push(`${name}: ${reason}`));
    return { clock, memory, intake, ends, open };
}

type Site = ReturnType<typeof newIntake>;

const cases: readonly {
    readonly name: string;
    readonly run: (site: Site) => Promise<void> | void;
    /** Bodies that are given up, in order, and why. */
    readonly ends: readonly string[];
    readonly held: number;
}[] = [
    {
        name: "large bodies leave a quarter of the room to small ones",
        run: ({ open }) => {
            ["a", "b", "c", "d"].forEach(one => open(one).grow(256 * kib, 256 * kib));
            open("small").grow(64 * kib, 64 * kib);
        },
        ends: ["d: memory"],
        held: (3 * 256 + 64) * kib,
    },
    {
        name: "a body that has stopped gives way to one that grows, the one that stopped first before the others",
        run: async ({ open, clock }) => {
            const [first, second] = ["first", "second", "third"].map(one => {
                const body = open(one);
                body.grow(256 * kib, 256 * kib);
                return body;
            });
            await clock.advance(400);
            first!.grow(17 * kib, 0);
            await clock.advance(400);
            open("new").grow(200 * kib, 200 * kib);
            assert.equal(second!.counted, 0);
        },
        ends: ["second: memory"],
        held: (2 * 256 + 200) * kib,
    },
    {
        name: "one that gets a byte now and then has stopped as well",
        run: async ({ open, clock }) => {
            const drip = open("drip");
            drip.grow(700 * kib, 700 * kib);
            for (let at = 0; at < 20; at++) {
                await clock.advance(100);
                drip.grow(1, 0);
            }
            open("new").grow(200 * kib, 200 * kib);
        },
        ends: ["drip: memory"],
        held: 200 * kib,
    },
    {
        name: "bodies that grow do not give way to others that are being read",
        run: async ({ open, clock }) => {
            const body = open("grows");
            body.grow(700 * kib, 700 * kib);
            await clock.advance(400);
            open("new").grow(200 * kib, 200 * kib);
        },
        ends: ["new: memory"],
        held: 700 * kib,
    },
    {
        name: "nobody is given up for a body that would find no room even so",
        run: async ({ open, clock }) => {
            const body = open("grows");
            open("stopped").grow(100 * kib, 100 * kib);
            body.grow(600 * kib, 600 * kib);
            await clock.advance(600);
            body.grow(60 * kib, 0);
            open("new").grow(300 * kib, 300 * kib);
        },
        ends: ["new: memory"],
        held: 700 * kib,
    },
    {
        name: "bodies that grow give way to requests that run",
        run: async ({ open, memory, clock }) => {
            open("older").grow(350 * kib, 350 * kib);
            await clock.advance(100);
            open("newer").grow(350 * kib, 350 * kib);
            assert.equal(memory.account().add(600 * kib), true);
        },
        ends: ["older: memory"],
        held: 950 * kib,
    },
    {
        name: "a body that is whole gives way to none, and its copy finds room before others that are being read",
        run: async ({ open, clock }) => {
            const whole = open("whole");
            whole.grow(350 * kib, 350 * kib);
            open("other").grow(400 * kib, 400 * kib);
            await clock.advance(600);
            assert.ok(whole.complete(350 * kib) !== undefined);
        },
        ends: ["other: memory"],
        held: 350 * kib,
    },
    {
        name: "a slow body ends within its time and is given up after it",
        run: async ({ open, clock }) => {
            const [slow, late] = [open("slow", 10_000), open("late", 10_000)];
            for (let at = 0; at < 9; at++) {
                await clock.advance(1000);
                slow.grow(1, 1);
                late.grow(1, 1);
            }
            slow.complete(0)?.release();
            await clock.advance(1000);
            assert.equal(late.grow(1, 1), false);
        },
        ends: ["late: late"],
        held: 0,
    },
    {
        name: "one body larger than the room is read, and no second one beside it",
        run: ({ open }) => {
            const large = open("large");
            for (let at = 0; at < 10; at++) {
                large.grow(256 * kib, 256 * kib);
            }
            open("second").grow(900 * kib, 900 * kib);
            open("small").grow(60 * kib, 60 * kib);
            assert.ok(large.complete(0) !== undefined);
        },
        ends: ["second: memory"],
        held: 60 * kib,
    },
    {
        name: "a stop gives up what may outlast the host, and gives little time to bodies that come later",
        run: async ({ open, intake, clock }) => {
            open("long").grow(10, 10);
            open("short", 2000).grow(10, 10);
            intake.stop(clock.nowMs() + 5000);
            open("new").grow(10, 10);
            await clock.advance(1000);
        },
        ends: ["long: stopping", "new: late"],
        held: 10,
    },
];

describe("bodies that are being read", () => {
    for (const { name, run, ends, held } of cases) {
        it(name, async () => {
            const site = newIntake();
            await run(site);
            assert.deepEqual([site.ends, site.memory.held], [ends, held]);
        });
    }

    // Guards against a crowd that holds all room, so that ordinary requests are refused for as long as it stays.
    it("that stopped short of their end keep no small body out, however many they are", async () => {
        const { clock, ends, memory, open } = newIntake();
        for (let at = 0; at < 100; at++) {
            const body = open("crowd");
            body.grow(8 * kib, 8 * kib);
            body.grow(60 * kib, 60 * kib);
            open("small crowd").grow(16 * kib, 16 * kib);
        }
        await clock.advance(600);
        ends.length = 0;
        for (let at = 0; at < 50; at++) {
            const body = open("ordinary");
            assert.equal(body.grow(16 * kib, 16 * kib), true);
            body.complete(0)?.release();
            await clock.advance(20);
        }
        assert.deepEqual(ends.filter(one => one.startsWith("ordinary")), []);
        assert.ok(memory.held <= maxHeldBytes);
    });
});
