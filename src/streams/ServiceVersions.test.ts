/** Checks when a service counts as having had only one software version. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FixedFleet, listed, serviceId } from "../../testing/FleetFixtures.js";
import { FirstStart } from "./FirstStart.js";
import { ServiceVersions } from "./ServiceVersions.js";

const forMs = 15_000;
const of = (...versions: string[]) => versions.map((version, at) => listed(`e${at}`, { version }));

const cases: readonly {
    readonly name: string;
    readonly isFirstStart?: boolean;
    /** Versions that are listed, each list for 10 s. */
    readonly lists: readonly (readonly string[])[];
    readonly only: string | undefined;
}[] = [
    { name: "one version since long", lists: [["v1"], ["v1", "v1"], ["v1"]], only: "v1" },
    { name: "a host that has just started", lists: [["v1"]], only: undefined },
    { name: "a fleet that has just started", isFirstStart: true, lists: [["v1"]], only: "v1" },
    { name: "two versions now", lists: [["v1"], ["v1"], ["v1", "v2"]], only: undefined },
    { name: "another version until ten seconds ago", lists: [["v1"], ["v1", "v2"], ["v2"]], only: undefined },
    { name: "another version until twenty seconds ago", lists: [["v1", "v2"], ["v2"], ["v2"]], only: "v2" },
    { name: "no endpoint at the moment", lists: [["v1"], ["v1"], []], only: "v1" },
    { name: "no endpoint ever", lists: [[], [], []], only: undefined },
];
for (const { name, isFirstStart = false, lists, only } of cases) {
    test(`the only version of a service: ${name}`, async () => {
        const clock = new FakeClock();
        const fleet = new FixedFleet();
        const versions = new ServiceVersions(fleet, clock, new FirstStart(fleet, isFirstStart));
        for (const list of lists) {
            fleet.set({ endpoints: of(...list) });
            await clock.advance(10_000);
        }
        assert.equal(versions.only(serviceId("s"), forMs)?.version, only);
    });
}

test("versions of another service don't count", async () => {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const versions = new ServiceVersions(fleet, clock, new FirstStart(fleet, false));
    fleet.set({ endpoints: [...of("v1"), listed("o", { service: serviceId("other"), version: "v2" })] });
    await clock.advance(20_000);
    assert.equal(versions.only(serviceId("s"), forMs)?.version, "v1");
    assert.equal(versions.only(serviceId("other"), forMs)?.version, "v2");
});

test("a list without versions is a service of one version, and without an endpoint there is none", async () => {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const versions = new ServiceVersions(fleet, clock, new FirstStart(fleet, false));
    fleet.set({ endpoints: [listed("e0"), listed("e1")] });
    await clock.advance(20_000);
    assert.deepEqual(versions.only(serviceId("s"), forMs), { service: "s", version: undefined });
    assert.equal(versions.only(serviceId("other"), forMs), undefined);
});
