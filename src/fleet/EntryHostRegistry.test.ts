/** Checks when the published list of entry hosts changes, and how much of it is sent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import type { DataCentreId, HostId, Incarnation } from "../common/Types.js";
import { EntryHostRegistry, hostOf, isLive } from "./EntryHostRegistry.js";
import { applyPart } from "./ListVersions.js";

const hostCount = 195;

function contact(at: number, incarnation: number = 1, isLeaving: boolean = false) {
    return {
        host: `10.0.0.${at}` as HostId,
        dataCentre: "a" as DataCentreId,
        incarnation: incarnation as Incarnation,
        isLeaving,
    };
}

/** A registry that all hosts have just contacted. */
function startRegistry() {
    const clock = new FakeClock();
    const registry = new EntryHostRegistry(clock);
    for (let at = 0; at < hostCount; at++) {
        registry.recordContact(contact(at));
    }
    return { clock, registry };
}

test("contacts of hosts that are known and live publish nothing", async () => {
    const { clock, registry } = startRegistry();
    const { tag } = registry;
    for (let step = 0; step < 20; step++) {
        await clock.advance(500);
        for (let at = 0; at < hostCount; at++) {
            registry.recordContact(contact(at));
        }
        assert.equal(registry.tag, tag);
    }
});

const changes: readonly {
    readonly name: string;
    readonly change: (registry: EntryHostRegistry, clock: FakeClock) => Promise<void>;
    readonly live: number;
}[] = [
    { name: "joins", change: async registry => registry.recordContact(contact(hostCount)), live: hostCount + 1 },
    { name: "restarts", change: async registry => registry.recordContact(contact(3, 2)), live: hostCount },
    { name: "stops", change: async registry => registry.recordContact(contact(3, 1, true)), live: hostCount - 1 },
    {
        name: "falls silent",
        change: async (registry, clock) => {
            await clock.advance(1400);
            for (let at = 1; at < hostCount; at++) {
                registry.recordContact(contact(at));
            }
            await clock.advance(1400);
        },
        live: hostCount - 1,
    },
];
for (const { name, change, live } of changes) {
    test(`one host that ${name} is published as one change`, async () => {
        const { clock, registry } = startRegistry();
        const held = registry.tag;
        const list = registry.since("").items;
        await change(registry, clock);
        const part = registry.since(held);
        assert.deepEqual([part.base, part.items.length, part.gone.length], [held, 1, 0]);
        const known = applyPart(list, held, part, hostOf) ?? [];
        assert.equal(known.filter(isLive).length, live);
    });
}

test("a control host tells the leader only of the hosts that have contacted it since, and again if it was not heard", () => {
    const { registry } = startRegistry();
    assert.equal(registry.takeDirect().length, hostCount);
    assert.equal(registry.takeDirect().length, 0);
    registry.recordContact(contact(1));
    const sent = registry.takeDirect();
    assert.deepEqual(sent.map(hostOf), ["10.0.0.1"]);
    registry.returnDirect(sent);
    assert.deepEqual(registry.takeDirect().map(hostOf), ["10.0.0.1"]);
    assert.equal(registry.others(sent).length, hostCount - 1);
});
