import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import {
    centreId,
    deployment,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    service,
    silentLog,
    submission,
    TimedEndpoints,
} from "../../testing/FleetFixtures.js";
import type { HostId } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";
import { CellCache, Cells } from "./Cells.js";
import { GatherClient } from "./GatherClient.js";
import { GatherServer } from "./GatherServer.js";
import type { Submission, SubmissionOutcome } from "./Types.js";

const traits: BatchTraits = {
    slots: 1,
    batch: 4,
    callMs: 150,
    pieceMs: 10,
    resultRoomBytes: 1e6,
    resultKeptMs: 4000,
};

function endpoints(count: number, dataCentre = "a"): ListedEndpoint[] {
    return Array.from({ length: count }, (_, at) => listed(`${dataCentre}${at}`, { dataCentre: centreId(dataCentre) }));
}

/** Hosts that gather and submit, over one network and the same endpoints. */
class Hosts {
    public readonly clock = new FakeClock();
    public readonly network = new FakeNetwork(this.clock);
    public readonly made = new TimedEndpoints(this.clock, traits);
    public readonly fleet = new FixedFleet();
    public readonly clients = new Map<HostId, GatherClient>();
    private readonly stopping = new AbortController();

    public constructor(count: number, listedEndpoints: readonly ListedEndpoint[]) {
        const { clock, fleet, made: client } = this;
        const cells = new CellCache(() => fleet.view());
        const hosts = entryHosts(count);
        const common = { cells, clock, log: silentLog };
        for (const { host: self, dataCentre } of hosts) {
            const peers = this.network.addHost(self);
            const { signal } = this.stopping;
            const own = { ...common, self, transport: peers, registry: peers };
            const local = new GatherServer({ ...own, fleet, client, metrics: noMetrics, signal });
            const submitter = new GatherClient({ ...own, dataCentre, local });
            void submitter.run(signal);
            this.clients.set(self, submitter);
        }
        fleet.set({
            deployment: deployment([], [service("s", { pieces: traits })]),
            endpoints: listedEndpoints,
            hosts,
        });
    }

    /** The host that gathers for the first cell. */
    public gatherer(): HostId {
        const cells = new Cells(this.fleet.view());
        return cells.rankedGatherers(cells.ofService(service("s").id)[0]!.id)[0]!;
    }

    /** Submits requests of one piece each at a host; gives their ends as they come. */
    public submit(host: HostId, count: number, fields: Partial<Submission> = {}): SubmissionOutcome[] {
        const ends: SubmissionOutcome[] = [];
        for (let at = 0; at < count; at++) {
            const signal = new AbortController().signal;
            const asked = submission({ startInMs: 4000, remainingMs: 8000, ...fields });
            void this.clients.get(host)?.execute(asked, signal).then(end => ends.push(end));
        }
        return ends;
    }

    public stop(): void {
        this.stopping.abort();
    }
}

function madeOf(ends: readonly SubmissionOutcome[]): number {
    return ends.filter(end => end.isRight()).length;
}

test("pieces of all hosts meet at one host and travel in full calls", async () => {
    const hosts = new Hosts(4, endpoints(1));
    const ends = [...hosts.clients.keys()].map(host => hosts.submit(host, 4));
    await hosts.clock.advance(3000);
    assert.deepEqual(ends.map(madeOf), [4, 4, 4, 4]);
    assert.ok(hosts.made.calls.length <= 5, `${hosts.made.calls.length} calls for 16 pieces of 4 a call`);
    hosts.stop();
});

for (const how of ["killed", "cut off"] as const) {
    test(`a gatherer that is ${how} with pieces waiting is passed by within a second`, async () => {
        const hosts = new Hosts(4, endpoints(2));
        const gatherer = hosts.gatherer();
        const submitter = [...hosts.clients.keys()].find(host => host !== gatherer)!;
        const ends = hosts.submit(submitter, 20);
        await hosts.clock.advance(100);
        if (how === "killed") {
            hosts.network.kill(gatherer);
        }
        else {
            hosts.network.isolate(gatherer);
        }
        await hosts.clock.advance(2500);
        assert.equal(madeOf(ends), 20);
        hosts.stop();
    });
}

test("pieces that wait in a cell that the list divides anew are made in the new ones", async () => {
    const hosts = new Hosts(1, endpoints(8));
    const [host] = hosts.clients.keys();
    const ends = hosts.submit(host!, 100);
    await hosts.clock.advance(50);
    hosts.fleet.set({ endpoints: endpoints(12) });
    await hosts.clock.advance(50);
    hosts.fleet.set({ endpoints: endpoints(3) });
    await hosts.clock.advance(4000);
    assert.equal(madeOf(ends), 100);
    hosts.stop();
});

test("pieces that may not be made in a data centre go to cells of the others", async () => {
    const hosts = new Hosts(1, [...endpoints(8, "a"), ...endpoints(8, "b")]);
    const [host] = hosts.clients.keys();
    const ends = hosts.submit(host!, 30, { notIn: [centreId("a")] });
    await hosts.clock.advance(4000);
    assert.equal(madeOf(ends), 30);
    assert.ok(hosts.made.calls.every(call => call.endpoint.startsWith("b")));
    hosts.stop();
});

test("a cell of few endpoints beside a host passes what it has no time for to larger cells before it is late", async () => {
    const hosts = new Hosts(1, [...endpoints(2, "a"), ...endpoints(8, "b")]);
    const [host] = hosts.clients.keys();
    const ends: SubmissionOutcome[] = [];
    const takenMs: number[] = [];
    for (let at = 0; at < 100; at++) {
        const startMs = hosts.clock.nowMs();
        const asked = submission({ startInMs: 1000, remainingMs: 8000, pieces: [0, 1, 2] });
        void hosts.clients.get(host!)?.execute(asked, new AbortController().signal).then(end => {
            ends.push(end);
            takenMs.push(hosts.clock.nowMs() - startMs);
        });
        await hosts.clock.advance(30);
    }
    await hosts.clock.advance(3000);
    takenMs.sort((a, b) => a - b);
    // 100 pieces a second; the two endpoints beside the host make 42, all together 210. A call takes 190 ms: two will do.
    assert.equal(madeOf(ends), 100);
    const medianMs = takenMs[50]!;
    assert.ok(medianMs < 380, `half of the submissions take ${medianMs} ms and more`);
    hosts.stop();
});
