/** Property test: random sequences of host, network and endpoint faults never exceed an endpoint's limit. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotSite } from "../../testing/SlotSite.js";
import { testSettings } from "../../testing/TestSettings.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { EndpointId, HostId } from "../common/Types.js";

/** Number of hosts in the only data centre of these runs. */
const hostCount = 3;
const endpoints = ["engine", "service"] as const;

type Action =
    | { readonly kind: "kill" | "start" | "drain" | "isolate"; readonly host: number; }
    | { readonly kind: "cut" | "cut-one-way"; readonly host: number; readonly other: number; }
    | { readonly kind: "heal"; }
    | { readonly kind: "restart-endpoint"; readonly endpoint: number; }
    | { readonly kind: "lossy"; readonly share: number; }
    | { readonly kind: "wait"; readonly ms: number; };

const host = fc.integer({ min: 1, max: hostCount });

const action: fc.Arbitrary<Action> = fc.oneof(
    fc.record({ kind: fc.constantFrom("kill" as const, "start" as const, "drain" as const, "isolate" as const), host }),
    fc.record({ kind: fc.constantFrom("cut" as const, "cut-one-way" as const), host, other: host }),
    fc.constant({ kind: "heal" } as const),
    fc.record({ kind: fc.constant("restart-endpoint" as const), endpoint: fc.integer({ min: 0, max: 1 }) }),
    fc.record({ kind: fc.constant("lossy" as const), share: fc.constantFrom(0, 0.05, 0.2) }),
    fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 100, max: 6000 }) }),
);

function createSite(seed: number, withEpochs: boolean): SlotSite {
    const hosts = Array.from({ length: hostCount }, (_, index) => [`north-${index + 1}`, {
        dataCentre: "north",
        callerAddress: `127.0.0.1:${20_001 + index}`,
        peerAddress: `127.0.0.1:${21_001 + index}`,
    }]);
    const common = { dataCentre: "north", address: "127.0.0.1:22003", coldLimit: 1, warmLimit: 6 };
    const settings = testSettings({
        hosts: Object.fromEntries(hosts) as unknown,
        endpoints: {
            engine: { ...common, kind: "engine", pool: "writer", models: ["m1"] },
            service: { ...common, kind: "service", pool: "holds", reportsLoad: false },
        },
    });
    return new SlotSite({ settings, seed, withEpochs });
}

/** Makes a host call the endpoints continuously until its process stops. */
function callContinuously(site: SlotSite, id: string, random: SeededRandom): void {
    const running = site.host(id);
    for (const endpoint of endpoints) {
        for (let index = 0; index < 3; index += 1) {
            void (async () => {
                while (!running.stopped) {
                    const durationMs = random.next() < 0.05 ? 2500 : 20 + random.next() * 120;
                    const { end } = await running.call(endpoint as EndpointId, durationMs, 3500);
                    await running.clock.sleep(end === "succeeded" ? random.next() * 30 : 100);
                }
            })();
        }
    }
}

async function applyAction(site: SlotSite, step: Action, random: SeededRandom): Promise<void> {
    const id = (number: number) => `north-${number}` as HostId;
    switch (step.kind) {
        case "kill":
            return site.kill(id(step.host));
        case "drain":
            void site.host(id(step.host)).owner.drain(2000);
            await site.clock.advance(2000);
            return site.kill(id(step.host));
        case "start":
            if (site.host(id(step.host)).stopped) {
                site.startHost(id(step.host));
                callContinuously(site, id(step.host), random);
            }
            return;
        case "isolate":
            return site.network.isolate(id(step.host));
        case "cut":
            return site.network.cut(id(step.host), id(step.other));
        case "cut-one-way":
            return site.network.cutOneWay(id(step.host), id(step.other));
        case "heal":
            return site.network.heal();
        case "restart-endpoint": {
            const endpoint = site.endpoint(endpoints[step.endpoint]!);
            endpoint.refusesConnections = true;
            endpoint.restart();
            await site.clock.advance(1000);
            endpoint.refusesConnections = false;
            return;
        }
        case "lossy":
            site.network.faults.loseRequest = step.share;
            site.network.faults.loseReply = step.share;
            site.network.faults.doubleRequest = step.share;
            return;
        case "wait":
            return site.clock.advance(step.ms);
    }
}

for (const withEpochs of [false, true]) {
    test(`no sequence of faults sends an endpoint more calls than it can take, ${withEpochs ? "with" : "without"} epochs`, async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.integer({ min: 1, max: 1000 }),
                fc.array(action, { minLength: 4, maxLength: 14 }),
                async (
                    seed,
                    steps,
                ) => {
                    const site = createSite(seed, withEpochs);
                    const random = new SeededRandom(seed);
                    site.startAll();
                    site.live.forEach(one => callContinuously(site, one.id, random));
                    await site.clock.advance(7000);
                    for (const step of steps) {
                        await applyAction(site, step, random);
                        await site.clock.advance(200);
                    }
                    await site.clock.advance(4000);
                    site.stopAll();
                    for (const endpoint of endpoints) {
                        assert.equal(site.endpoint(endpoint).overloads, 0, `overloads of ${endpoint}`);
                    }
                },
            ),
            {
                seed: Number(process.env["SLOT_FAULTS_SEED"] ?? 20_261),
                numRuns: Number(process.env["SLOT_FAULTS_RUNS"] ?? 12),
            },
        );
    });
}
