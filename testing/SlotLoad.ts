/** Sites and generated load for tests of slots. */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { EndpointId } from "../src/common/Types.js";
import { type CallResult, type SiteHost, SlotSite } from "./SlotSite.js";
import { testSettings } from "./TestSettings.js";

export const writer = "north-writer" as EndpointId;
/** Time after a start that covers heartbeats, the take-over wait and a load report, in milliseconds. */
export const settleMs = 8000;

export async function startSlotSite(settings = testSettings()): Promise<SlotSite> {
    const site = new SlotSite({ settings });
    site.startAll();
    await site.clock.advance(settleMs);
    return site;
}

/** Returns settings with `hosts` hosts and one engine in one data centre and, optionally, one host in another. */
export function smallSettings(hosts: number, engine: Record<string, unknown> = {}, withSouth: boolean = false) {
    const ids = Array.from({ length: hosts }, (_, index) => `north-${index + 1}`).concat(withSouth ? ["south-1"] : []);
    const entries = ids.map((id, index) => [id, {
        dataCentre: id.slice(0, 5),
        callerAddress: `127.0.0.1:${20_001 + index}`,
        peerAddress: `127.0.0.1:${21_001 + index}`,
    }]);
    return testSettings({
        hosts: Object.fromEntries(entries) as unknown,
        endpoints: {
            [writer]: {
                dataCentre: "north",
                address: "127.0.0.1:22003",
                kind: "engine",
                pool: "writer",
                models: ["m1"],
                coldLimit: 1,
                warmLimit: 8,
                ...engine,
            },
        },
    });
}

export function northHosts(site: SlotSite): SiteHost[] {
    return site.live.filter(host => host.id.startsWith("north"));
}

/** Keeps `calls` concurrent calls running on each host until stopped, and collects their results. */
export function generateLoad(
    hosts: readonly SiteHost[],
    endpoint: EndpointId,
    calls: number,
    durationMs: number,
    seed = 7,
) {
    const results: CallResult[] = [];
    const random = new SeededRandom(seed);
    let isRunning = true;
    for (const host of hosts) {
        for (let index = 0; index < calls; index += 1) {
            void (async () => {
                while (isRunning && !host.stopped) {
                    const result = await host.call(endpoint, durationMs * (0.5 + random.next()));
                    results.push(result);
                    if (result.end !== "succeeded") {
                        await host.clock.sleep(50);
                    }
                }
            })();
        }
    }
    return { results, stop: () => isRunning = false };
}

export function countEnds(results: readonly CallResult[], end: CallResult["end"]): number {
    return results.filter(result => result.end === end).length;
}
