/** Checks what a gatherer answers to hosts whose endpoint lists are older than its own. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import {
    deployment,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    service,
    silentLog,
    submission,
    testNotices,
    TimedEndpoints,
} from "../../testing/FleetFixtures.js";
import type { HostId } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import { CellCache } from "./Cells.js";
import { GatherServer } from "./GatherServer.js";
import type { CellId, SubmissionOutcome } from "./Types.js";

const traits: BatchTraits = { slots: 1, batch: 4, callMs: 150, pieceMs: 10, resultRoomBytes: 1e6, resultKeptMs: 4000 };

/** Starts a gatherer whose list has one endpoint, the only one of its cell. */
function startGatherer() {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const cells = new CellCache(() => fleet.view());
    const self = "h0" as HostId;
    const peers = new FakeNetwork(clock).addHost(self);
    const server = new GatherServer({
        self,
        fleet,
        cells,
        client: new TimedEndpoints(clock, traits),
        notices: testNotices(clock),
        transport: peers,
        registry: peers,
        clock,
        log: silentLog,
        metrics: noMetrics,
        signal: new AbortController().signal,
    });
    fleet.set({
        deployment: deployment([], [service("s", { pieces: traits })]),
        endpoints: [listed("a0")],
        hosts: entryHosts(1),
    });
    const cell = cells.current().ofService(service("s").id)[0]!.id;
    const submit = (to: CellId) => {
        const outcomes: SubmissionOutcome[] = [];
        const request = { ...submission({ startInMs: 4000, remainingMs: 8000 }), cell: to };
        server.work({ submissions: [request], cancels: [], frees: [] }, self, (_, outcome) => outcomes.push(outcome));
        return outcomes;
    };
    return { clock, fleet, cell, submit };
}

// Guards against a submission that waits at a gatherer which has just learnt that the cell's last endpoint is gone.
test("a submission to a cell that is gone is answered as moved at once, also where the cell has been served", async () => {
    const { clock, fleet, cell, submit } = startGatherer();
    const served = submit(cell);
    await clock.advance(3000);
    fleet.set({ endpoints: [] });
    const late = submit(cell);
    assert.deepEqual(served.map(one => one.isRight()), [true]);
    assert.deepEqual(late.map(one => one.swap().map(error => error.kind).extract()), ["moved"]);
});
