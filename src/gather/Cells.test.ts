/** Checks the partition of endpoints into cells, the order of gatherers, and which endpoints may receive calls. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    centreId,
    deployment,
    entryHosts,
    FixedFleet,
    listed,
    service,
    serviceId,
} from "../../testing/FleetFixtures.js";
import { Cells } from "./Cells.js";

const pieces = { slots: 1, batch: 10, callMs: 150, pieceMs: 10, resultRoomBytes: 1e6, resultKeptMs: 4000 };
const centres = ["a", "b", "c"];

function cellsOf(endpoints: number, hosts = 12): Cells {
    const fleet = new FixedFleet();
    fleet.set({
        deployment: deployment([], [service("s", { pieces })]),
        endpoints: Array.from(
            { length: endpoints },
            (_, at) => listed(`e${at}`, { dataCentre: centreId(centres[at % 3]!) }),
        ),
        hosts: entryHosts(hosts).map((one, at) => ({ ...one, dataCentre: centreId(centres[at % 3]!) })),
    });
    return new Cells(fleet.view());
}

interface SizeCase {
    readonly endpoints: number;
    /** Expected number of cells, and upper bound of the endpoints of one cell. */
    readonly cells: number;
    readonly largest: number;
}

const sizes: readonly SizeCase[] = [
    { endpoints: 3, cells: 1, largest: 3 },
    { endpoints: 6, cells: 1, largest: 6 },
    { endpoints: 12, cells: 3, largest: 4 },
    { endpoints: 18, cells: 3, largest: 6 },
    { endpoints: 24, cells: 3, largest: 8 },
    { endpoints: 36, cells: 6, largest: 9 },
];

for (const { endpoints, cells: count, largest } of sizes) {
    test(`${endpoints} endpoints of a service in three data centres form ${count} cells`, () => {
        const cells = cellsOf(endpoints);
        const all = cells.ofService(serviceId("s"));
        assert.equal(all.length, count);
        assert.equal(all.reduce((sum, cell) => sum + cell.endpoints.length, 0), endpoints);
        for (const cell of all) {
            assert.ok(cell.endpoints.length <= largest, `${cell.id} has ${cell.endpoints.length}`);
            cell.endpoints.forEach(one => assert.equal(cells.ofEndpoint(one.id), cell.id));
        }
    });
}

test("hosts in a cell's data centre rank before all others as its gatherers", () => {
    const cells = cellsOf(12);
    for (const cell of cells.ofService(serviceId("s"))) {
        const order = cells.rankedGatherers(cell.id);
        assert.equal(order.length, 12);
        const index = centres.indexOf(String(cell.dataCentre));
        const near = entryHosts(12).filter((_, at) => at % 3 === index).map(one => one.host);
        assert.deepEqual([...order.slice(0, 4)].sort(), near.sort());
    }
});

// Guards against a host that can't keep up with several cells while other hosts gather for none.
test("no host gathers for two cells while another of their data centre gathers for none", () => {
    const names = Array.from({ length: 4 }, (_, at) => `s${at}`);
    for (const hosts of [12, 15, 24, 60]) {
        const fleet = new FixedFleet();
        fleet.set({
            deployment: deployment([], names.map(name => service(name, { pieces }))),
            endpoints: names.flatMap(name =>
                Array.from(
                    { length: 9 },
                    (_, at) =>
                        listed(`${name}-${at}`, { service: serviceId(name), dataCentre: centreId(centres[at % 3]!) }),
                )
            ),
            hosts: entryHosts(hosts).map((one, at) => ({ ...one, dataCentre: centreId(centres[at % 3]!) })),
        });
        const cells = new Cells(fleet.view());
        const gatherers = names.flatMap(name => cells.ofService(serviceId(name)))
            .map(cell => cells.rankedGatherers(cell.id)[0]);
        assert.equal(gatherers.length, 12);
        assert.equal(new Set(gatherers).size, 12, `${hosts} hosts`);
    }
});

test("endpoints that are leaving or in a data centre taken out of use are not usable", () => {
    const fleet = new FixedFleet();
    fleet.set({
        deployment: deployment([], [service("s", { pieces })]),
        endpoints: [listed("e0"), listed("e1", { isLeaving: true }), listed("e2", { dataCentre: centreId("b") })],
        dataCentresOut: new Set([centreId("b")]),
    });
    const cells = new Cells(fleet.view());
    const [cell] = cells.ofService(serviceId("s"));
    assert.deepEqual(cells.usableEndpoints(cell!.id).map(one => one.id), ["e0"]);
});
