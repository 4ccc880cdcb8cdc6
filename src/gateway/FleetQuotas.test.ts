/** Checks that the quotas of all hosts together keep the fleet's limits, even while hosts do not know each other. */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { defaultBounds, entryHosts, FixedFleet, service, serviceId } from "../../testing/FleetFixtures.js";
import type { EndpointId } from "../common/Types.js";
import { ColdStartQuota, FleetRetryBudget } from "./FleetQuotas.js";

const seed = 20261204;

/** Hosts with a view of the fleet each; the host with index `at` knows the first `seenBy(at)` hosts. */
function hostsOf(count: number, seenBy: (at: number) => number = () => count) {
    const clock = new FakeClock();
    const hosts = entryHosts(count);
    const fleets = hosts.map((_, at) => {
        const fleet = new FixedFleet();
        fleet.set({ hosts: hosts.slice(0, seenBy(at)) });
        return fleet;
    });
    return { clock, hosts, fleets };
}

/** Largest number of times that lie within one window. */
function maxWithin(times: readonly number[], windowMs: number): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + windowMs).length));
}

test("the retries of all hosts stay within the budget in any window, for any arrival pattern", async () => {
    const arrivals = fc.array(fc.record({ host: fc.nat(7), gapMs: fc.nat(40), repeats: fc.nat(3) }), {
        minLength: 100,
        maxLength: 400,
    });
    await fc.assert(
        fc.asyncProperty(arrivals, async steps => {
            const { clock, fleets } = hostsOf(8);
            const quotas = fleets.map(fleet => new FleetRetryBudget(defaultBounds, fleet, clock));
            const requests: number[] = [];
            const repeats: number[] = [];
            for (const { host, gapMs, repeats: wanted } of steps) {
                await clock.advance(gapMs);
                quotas[host]!.recordRequest(serviceId("s"));
                requests.push(clock.nowMs());
                for (let at = 0; at < wanted; at++) {
                    if (quotas[host]!.tryAcquire(serviceId("s"))) {
                        repeats.push(clock.nowMs());
                    }
                }
            }
            const { retryWindowMs, retryShare, retrySlack } = defaultBounds;
            for (const from of repeats) {
                const within = (at: number) => at >= from && at < from + retryWindowMs;
                const allowed = retryShare * requests.filter(within).length + retrySlack;
                assert.ok(repeats.filter(within).length <= allowed);
            }
        }),
        { seed, numRuns: 30 },
    );
});

interface ColdCase {
    readonly name: string;
    readonly hosts: number;
    /** Number of hosts that each host knows; all by default. */
    readonly seenBy?: (at: number) => number;
}

const coldCases: readonly ColdCase[] = [
    { name: "8 hosts", hosts: 8 },
    { name: "69 hosts", hosts: 69 },
    { name: "390 hosts", hosts: 390 },
    { name: "8 hosts, half of which do not know the others yet", hosts: 8, seenBy: at => (at < 4 ? 4 : 8) },
    { name: "69 hosts, half of which do not know the others yet", hosts: 69, seenBy: at => (at < 35 ? 35 : 69) },
];

for (const { name, hosts: count, seenBy } of coldCases) {
    test(`the load of a cold endpoint stays within its limit in any second: ${name}, all with requests for it`, async () => {
        const { clock, hosts, fleets } = hostsOf(count, seenBy);
        const quotas = hosts.map(({ host }, at) => new ColdStartQuota(host, defaultBounds, fleets[at]!, clock));
        const cold = service("s", { coldMs: 3000, coldPerSecond: 18 });
        const endpoint = "e" as EndpointId;
        const sent: number[] = [];
        for (let step = 0; step < 100; step++) {
            for (const quota of quotas) {
                if (quota.maySend(endpoint, cold)) {
                    quota.recordSend(endpoint);
                    sent.push(clock.nowMs());
                }
            }
            await clock.advance(50);
        }
        const bound = cold.coldPerSecond * defaultBounds.coldOverrun + defaultBounds.coldSlack;
        assert.ok(maxWithin(sent, 1000) <= bound, `${maxWithin(sent, 1000)} in a second`);
        assert.ok(sent.length >= 10, "it gets some requests while it is cold");
    });
}
