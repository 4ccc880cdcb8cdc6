/** Checks that a lease never has two holders, even when its holder restarts or the group's leader changes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigCluster } from "../../testing/ConfigCluster.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { HostId } from "../common/Types.js";
import type { Lease } from "./Types.js";

const voters = ["n1", "s1", "e1"];
const durationMs = 2000;

async function startCluster(seed: number): Promise<ConfigCluster> {
    const cluster = new ConfigCluster(seed, voters);
    voters.forEach(name => cluster.startControl(name, "north", { base: "one" }));
    assert.ok(await cluster.until(() => cluster.leader()?.config.current() !== undefined));
    return cluster;
}

test("a new leader grants a lease to another holder only after it has expired", async () => {
    const cluster = await startCluster(1);
    const [one, two] = [cluster.startClient("a", "north"), cluster.startClient("b", "north")];
    const held = (await cluster.settle(one.config.acquire("x", durationMs, 1000))).unsafeCoerce();
    const old = cluster.leader()!;
    cluster.crash(old.id);
    assert.ok(await cluster.until(() => cluster.leader() !== undefined));
    let taken: Lease | undefined;
    while (taken === undefined) {
        const result = await cluster.settle(two.config.acquire("x", durationMs, 500));
        result.ifRight(lease => taken = lease);
        assert.ok(taken === undefined || cluster.clock.nowMs() >= held.expiresAtMs);
    }
    assert.ok(taken.epoch > held.epoch);
    await cluster.stopAll();
});

test("a restarted holder gets a new epoch, and only after the lease of its previous process has expired", async () => {
    const cluster = await startCluster(2);
    const first = cluster.startClient("a", "north");
    const held = (await cluster.settle(first.config.acquire("x", durationMs, 1000))).unsafeCoerce();
    cluster.crash("a");
    const second = cluster.startClient("a", "north");
    const refused = await cluster.settle(second.config.acquire("x", durationMs, 500));
    assert.equal(refused.swap().unsafeCoerce().kind, "held");
    await cluster.clock.advance(durationMs + 100);
    const again = (await cluster.settle(second.config.acquire("x", durationMs, 1000))).unsafeCoerce();
    assert.ok(again.epoch > held.epoch);
    await cluster.stopAll();
});

test("a released lease can be acquired at once, and its epoch is not reused", async () => {
    const cluster = await startCluster(3);
    const [one, two] = [cluster.startClient("a", "north"), cluster.startClient("b", "north")];
    const held = (await cluster.settle(one.config.acquire("x", durationMs, 1000))).unsafeCoerce();
    await cluster.settle(one.config.release("x"));
    const next = (await cluster.settle(two.config.acquire("x", durationMs, 1000))).unsafeCoerce();
    assert.ok(next.epoch > held.epoch);
    await cluster.stopAll();
});

/** Acquires or renews the lease periodically, and keeps the lease that it was granted last. */
class LeaseHolder {
    public lease: Lease | undefined;
    public isPaused = false;

    public constructor(private readonly cluster: ConfigCluster, public readonly name: string) {}

    public async run(signal: AbortSignal): Promise<void> {
        const host = this.cluster.startClient(this.name, "north");
        while (!signal.aborted) {
            const result = this.isPaused ? undefined : await host.config.acquire("x", durationMs, 400);
            result?.ifRight(lease => {
                assert.ok(lease.epoch >= (this.lease?.epoch ?? 0), "epochs only increase");
                this.lease = lease;
            });
            await this.cluster.clock.sleep(200, signal);
        }
    }

    public get isHolding(): boolean {
        return this.lease !== undefined && this.cluster.clock.nowMs() < this.lease.expiresAtMs;
    }
}

for (const seed of [1, 2, 3, 4]) {
    test(`a lease never has two holders under random faults, seed ${seed}`, async () => {
        const cluster = await startCluster(seed);
        const random = new SeededRandom(seed);
        const stop = new AbortController();
        const holders = ["a", "b", "c"].map(name => new LeaseHolder(cluster, name));
        holders.forEach(holder => void holder.run(stop.signal));
        Object.assign(cluster.network.faults, { maxDelayMs: 50, loseRequest: 0.05, loseReply: 0.05 });
        const holdersSeen = new Set<string>();
        for (let step = 0; step < 400; step++) {
            const name = [...voters, "a", "b", "c"][random.below(6)]!;
            switch (random.below(20)) {
                case 0:
                    cluster.network.isolate(name as HostId);
                    break;
                case 1:
                case 2:
                    cluster.network.heal();
                    break;
                case 3:
                    holders.forEach(holder => holder.isPaused = random.below(2) === 0);
                    break;
                case 4: {
                    const voter = voters[random.below(3)]!;
                    cluster.startControl(voter, "north", { base: "one" }, cluster.crash(voter));
                    break;
                }
            }
            await cluster.clock.advance(100);
            const current = holders.filter(holder => holder.isHolding);
            assert.ok(current.length <= 1, `held by ${current.map(holder => holder.name).join(" and ")}`);
            current.forEach(holder => holdersSeen.add(holder.name));
        }
        assert.ok(holdersSeen.size > 1, "the lease had several holders in turn");
        stop.abort();
        await cluster.stopAll();
    });
}
