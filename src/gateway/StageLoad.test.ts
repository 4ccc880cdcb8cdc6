/**
 * Simulates load on routes with stages, without a network, and checks the mean worth of the requests and the shares of
 * their kinds that are on time or served at all.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serviceId } from "../../testing/FleetFixtures.js";
import { type RequestProfile, type SimulatedService, StageSimulation } from "../../testing/StageSimulation.js";
import { SeededRandom } from "../common/SeededRandom.js";

const seconds = 24;
const seeds = [1, 2, 3];
/** Required mean worth of the requests, with and without bursts and losses. */
const minWorth = 0.82;
/** Required on-time share of a kind of request that needs no scarce service. */
const minUnaffectedShare = 0.95;
/** Required on-time share of the longest chain while its rate is 2.4 times the usual, near the capacity. */
const minBurstShare = 0.85;
/** How far the served share of a kind may be below that of a kind of lower priority. */
const prioritySlack = 0.05;

const intake = serviceId("intake");
const store = serviceId("store");
const notify = serviceId("notify");

/** Services of a typical deployment. */
function services(count: Readonly<Record<"intake" | "store" | "notify", number>>): Record<string, SimulatedService> {
    const common = { slots: 1, callMs: 150, resultKeptMs: 4000 };
    return {
        intake: {
            traits: { ...common, batch: 7, pieceMs: 18.3, resultRoomBytes: 35_875_000 },
            endpoints: count.intake,
        },
        store: { traits: { ...common, batch: 19, pieceMs: 6.72, resultRoomBytes: 3_454_550 }, endpoints: count.store },
        notify: { traits: { ...common, batch: 40, pieceMs: 3.22, resultRoomBytes: 704_348 }, endpoints: count.notify },
    };
}

/** Kinds of requests of that deployment, with random numbers of pieces. */
function kindsOf(random: SeededRandom): Readonly<Record<"draft" | "summary" | "chat", RequestProfile>> {
    const randomBetween = (min: number, max: number) => min + random.below(max - min + 1);
    const chain = (first: number) => [
        { service: intake, after: [], resultBytes: 8000 },
        { service: store, after: [first], resultBytes: 60_000 },
        { service: notify, after: [first + 1], resultBytes: 6000 },
    ];
    return {
        draft: {
            name: "draft",
            objectiveMs: 800,
            deadlineMs: 5000,
            replyMs: 180,
            priority: 0,
            worth: [4.1, 0.61],
            stages: [{ service: intake, after: [], resultBytes: 3_000_000 }],
            pieces: () => [random.next() < 0.7 ? randomBetween(1, 4) : 0],
        },
        summary: {
            name: "summary",
            objectiveMs: 1900,
            deadlineMs: 5000,
            replyMs: 120,
            priority: 1,
            worth: [1.1, 0.17],
            stages: chain(0),
            pieces: () => [1, 8, randomBetween(8, 24)],
        },
        chat: {
            name: "chat",
            objectiveMs: 2200,
            deadlineMs: 15_000,
            replyMs: 100,
            priority: 2,
            worth: [0.81, 0.12],
            stages: [{ service: intake, after: [], resultBytes: 3_000_000 }, ...chain(1)],
            pieces: () => [random.next() < 0.4 ? randomBetween(1, 2) : 0, 1, 8, randomBetween(8, 24)],
        },
    };
}

const ratesPerSecond = { draft: 11.8, summary: 13, chat: 5.31 };
type KindName = keyof typeof ratesPerSecond;

interface LoadCase {
    readonly name: string;
    readonly count: Readonly<Record<"intake" | "store" | "notify", number>>;
    /** Factor on the rate of one kind, or of all, in a time interval in seconds. */
    readonly burst?: {
        readonly fromS: number;
        readonly toS: number;
        readonly factor: number;
        readonly kind?: KindName;
    };
    readonly check: (site: StageSimulation, kinds: Readonly<Record<KindName, RequestProfile>>) => void;
}

const all = { intake: 3, store: 4, notify: 4 };
const assertMinWorth = (site: StageSimulation) =>
    assert.ok(site.worth() >= minWorth, `worth ${site.worth().toFixed(3)}, at least ${minWorth} required`);

const cases: readonly LoadCase[] = [
    { name: "normal load meets the required worth", count: all, check: assertMinWorth },
    {
        name: "doubled load of all kinds for 6 s meets the required worth",
        count: all,
        burst: { fromS: 5, toS: 11, factor: 2 },
        check: assertMinWorth,
    },
    {
        name: "tripled load of one kind for 6 s meets the required worth",
        count: all,
        burst: { fromS: 5, toS: 11, factor: 3, kind: "summary" },
        check: assertMinWorth,
    },
    {
        name: "losing half of the last stage's endpoints meets the required worth",
        count: { ...all, notify: 2 },
        check: assertMinWorth,
    },
    {
        name:
            "losing half of the middle stage's endpoints meets the required worth and delays few requests without that stage",
        count: { ...all, store: 2 },
        check: (site, { draft }) => {
            assertMinWorth(site);
            const share = site.share("on-time", draft);
            assert.ok(share >= minUnaffectedShare, `${(share * 100).toFixed(1)} % of the other kind on time`);
        },
    },
    {
        name:
            "with one endpoint left for the first stage, the least urgent kind is not served much more often than the others",
        count: { ...all, intake: 1 },
        check: (site, { draft, summary, chat }) => {
            const served = (kind: RequestProfile) => 1 - site.share("refused-again", kind);
            assert.ok(
                served(draft) >= served(chat) - prioritySlack,
                "the most urgent kind is served less often than the least urgent one",
            );
            assert.ok(
                served(summary) >= served(chat) - prioritySlack,
                "the second most urgent kind is served less often than the least urgent one",
            );
        },
    },
];

for (const { name, count, burst, check } of cases) {
    for (const seed of seeds) {
        test(`${name}: seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const kinds = kindsOf(random);
            const site = new StageSimulation(services(count));
            const rateOf = (kind: KindName) => (atS: number) => {
                const isBurst = burst !== undefined && atS >= burst.fromS && atS < burst.toS
                    && (burst.kind ?? kind) === kind;
                return ratesPerSecond[kind] * (isBurst ? burst.factor : 1);
            };
            const names: readonly KindName[] = ["draft", "summary", "chat"];
            await site.runLoad(new Map(names.map(kind => [kinds[kind], rateOf(kind)])), seconds, random);
            check(site, kinds);
        });
    }
}

/**
 * One data centre of a large deployment: its endpoints as one cell, or split into two halves with their own requests.
 */
function dataCentreLoad(share: number) {
    const common = { slots: 1, callMs: 150, resultKeptMs: 4000 };
    const endpoints = (count: number) => Math.round(count * share);
    return new StageSimulation({
        intake: { traits: { ...common, batch: 8, pieceMs: 16, resultRoomBytes: 45_000_000 }, endpoints: endpoints(4) },
        store: { traits: { ...common, batch: 22, pieceMs: 5.8, resultRoomBytes: 3_900_000 }, endpoints: endpoints(6) },
        notify: { traits: { ...common, batch: 36, pieceMs: 3.6, resultRoomBytes: 630_000 }, endpoints: endpoints(6) },
    });
}

async function onTimeInSummaryBurst(share: number, seed: number): Promise<number> {
    const random = new SeededRandom(seed);
    const { summary, chat, draft } = kindsOf(random);
    const site = dataCentreLoad(share);
    const rate = (perSecond: number) => () => perSecond * share;
    const burst = (atS: number) => 20 * share * (atS >= 4 && atS < 10 ? 2.4 : 1);
    await site.runLoad(new Map([[draft, rate(19)], [summary, burst], [chat, rate(4.5)]]), 14, random);
    return site.share("on-time", summary);
}

test("a burst of the longest chain: the endpoints of a data centre serve more in time as one cell than as two", async () => {
    const mean = async (share: number) => {
        const shares = await Promise.all(seeds.map(seed => onTimeInSummaryBurst(share, seed)));
        return shares.reduce((sum, one) => sum + one, 0) / shares.length;
    };
    const [one, two] = [await mean(1), await mean(0.5)];
    assert.ok(one > two, `${one.toFixed(3)} on time as one cell, ${two.toFixed(3)} as two`);
    assert.ok(one >= minBurstShare, `${one.toFixed(3)} on time, at least ${minBurstShare} required`);
});
