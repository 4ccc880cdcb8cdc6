/** Tests the states of hosts and the certainty of the view under host and network faults. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { FixedConfig, testSettings, testView } from "../../testing/TestSettings.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, DataCentreId, HostId, Incarnation } from "../common/Types.js";
import { HeartbeatMembership } from "./HeartbeatMembership.js";
import type { HostState, PlatformEntry, PlatformList } from "./Types.js";

class FakePlatform implements PlatformList {
    public entries: readonly PlatformEntry[] | undefined;
    public readonly onChange = new Emitter<readonly PlatformEntry[]>().event;

    public latest(): readonly PlatformEntry[] | undefined {
        return this.entries;
    }
}

class TestBed {
    public readonly clock = new FakeClock();
    public readonly network = new FakeNetwork(this.clock, 5);
    public readonly platform = new FakePlatform();
    private readonly config = new FixedConfig(testView(testSettings()));
    private readonly stops = new Map<string, AbortController>();
    private starts = 0;

    public start(id: string, clock: Clock = this.clock): HeartbeatMembership {
        this.starts += 1;
        const node = this.network.addHost(id as HostId);
        const membership = new HeartbeatMembership({
            self: id as HostId,
            dataCentre: id.slice(0, id.indexOf("-")) as DataCentreId,
            incarnation: this.starts as Incarnation,
            transport: node,
            registry: node,
            config: this.config,
            clock,
            log: new MemoryLog(),
            platform: this.platform,
        });
        const stop = new AbortController();
        this.stops.set(id, stop);
        void membership.run(stop.signal);
        return membership;
    }

    public kill(id: string): void {
        this.stops.get(id)?.abort();
        this.network.kill(id as HostId);
    }

    public stop(): void {
        this.stops.forEach(stop => stop.abort());
    }
}

function stateOf(membership: HeartbeatMembership, host: string): HostState | undefined {
    return membership.view().local.find(one => one.host === host)?.state;
}

const cases: readonly {
    readonly name: string;
    readonly fault: (bed: TestBed, peer: HeartbeatMembership) => void;
    readonly afterMs: number;
    readonly state: HostState;
    readonly certain: boolean;
}[] = [
    { name: "no fault", fault: () => undefined, afterMs: 1000, state: "alive", certain: true },
    { name: "the peer's process ends", fault: bed => bed.kill("north-2"), afterMs: 1000, state: "dead", certain: true },
    {
        name: "the peer is cut off",
        fault: bed => bed.network.isolate("north-2" as HostId),
        afterMs: 2500,
        state: "unreachable",
        certain: false,
    },
    {
        name: "only what this host sends is lost",
        fault: bed => bed.network.cutOneWay("north-1" as HostId, "north-2" as HostId),
        afterMs: 2500,
        state: "unreachable",
        certain: false,
    },
    {
        name: "only what the peer sends is lost",
        fault: bed => bed.network.cutOneWay("north-2" as HostId, "north-1" as HostId),
        afterMs: 2500,
        state: "unreachable",
        certain: false,
    },
    {
        name: "the peer announces that it stops",
        fault: (_bed, peer) => peer.announceLeaving(),
        afterMs: 600,
        state: "leaving",
        certain: true,
    },
    {
        name: "the peer is cut off and has been off the platform's list for a long time",
        fault: bed => {
            bed.network.isolate("north-2" as HostId);
            bed.platform.entries = [{ id: "north-1" as HostId, state: "live" }];
        },
        afterMs: 15_000,
        state: "dead",
        certain: true,
    },
    {
        name: "the peer is cut off and the platform still lists it",
        fault: bed => {
            bed.network.isolate("north-2" as HostId);
            bed.platform.entries = [{ id: "north-2" as HostId, state: "live" }];
        },
        afterMs: 15_000,
        state: "unreachable",
        certain: false,
    },
];

for (const { name, fault, afterMs, state, certain } of cases) {
    test(`${name}: ${state}, ${certain ? "certain" : "uncertain"}`, async () => {
        const bed = new TestBed();
        const self = bed.start("north-1");
        const peer = bed.start("north-2");
        await bed.clock.advance(1500);
        assert.equal(stateOf(self, "north-2"), "alive");
        fault(bed, peer);
        await bed.clock.advance(afterMs);
        assert.equal(stateOf(self, "north-2"), state);
        assert.equal(self.view().certain, certain);
        bed.stop();
    });
}

test("a restarted process is distinguished from the former one", async () => {
    const bed = new TestBed();
    const self = bed.start("north-1");
    bed.start("north-2");
    await bed.clock.advance(1500);
    const before = self.view().local[1]!.incarnation;
    bed.kill("north-2");
    await bed.clock.advance(1000);
    bed.start("north-2");
    await bed.clock.advance(1000);
    const after = self.view().local[1]!;
    assert.equal(after.state, "alive");
    assert.ok(after.incarnation > before);
    bed.stop();
});

test("after a stall of the process the former view is discarded, even before the next heartbeat", async () => {
    const bed = new TestBed();
    let stalledMs = 0;
    const clock: Clock = {
        nowMs: () => bed.clock.nowMs() + stalledMs,
        wallMs: () => bed.clock.wallMs(),
        setTimer: (delayMs, callback) => bed.clock.setTimer(delayMs, callback),
        sleep: (delayMs, signal) => bed.clock.sleep(delayMs, signal),
    };
    const membership = bed.start("north-1", clock);
    bed.start("north-2");
    bed.start("south-1");
    await bed.clock.advance(5000);
    assert.equal(stateOf(membership, "north-2"), "alive");
    assert.ok([...membership.view().remote.values()].some(one => one.reachable));
    stalledMs = 10_000;
    assert.equal(stateOf(membership, "north-2"), "unreachable");
    assert.equal(membership.view().certain, false);
    assert.ok(![...membership.view().remote.values()].some(one => one.reachable));
    await bed.clock.advance(2000);
    assert.equal(stateOf(membership, "north-2"), "alive");
    bed.stop();
});

test("the summary of another data centre can come from any of its hosts", async () => {
    const bed = new TestBed();
    const self = bed.start("north-1");
    bed.start("south-1");
    bed.start("south-2");
    await bed.clock.advance(5000);
    assert.deepEqual(self.view().remote.get("south" as DataCentreId), { reachable: true, aliveHosts: 2 });
    bed.kill("south-1");
    await bed.clock.advance(6000);
    assert.deepEqual(self.view().remote.get("south" as DataCentreId), { reachable: true, aliveHosts: 1 });
    bed.kill("south-2");
    await bed.clock.advance(6000);
    assert.equal(self.view().remote.get("south" as DataCentreId)?.reachable, false);
    bed.stop();
});

test("a view is uncertain until every configured host has been seen", async () => {
    const bed = new TestBed();
    bed.network.cut("north-1" as HostId, "north-2" as HostId);
    const self = bed.start("north-1");
    await bed.clock.advance(3000);
    assert.equal(self.view().certain, false, "a host never seen may be alive");
    bed.network.heal();
    bed.start("north-2");
    await bed.clock.advance(1500);
    assert.equal(self.view().certain, true);
    bed.stop();
});
