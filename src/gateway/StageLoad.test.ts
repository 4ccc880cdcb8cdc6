/** Loads on routes with stages, played without network: who is served, who waits and who is refused. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serviceId } from "../../testing/FleetFixtures.js";
import { type PipelineService, type RequestKind, StagePipeline } from "../../testing/StagePipeline.js";
import { SeededRandom } from "../common/SeededRandom.js";

const seconds = 24;
const seeds = [1, 2, 3];
/** The mean worth that the users want on days with trouble. */
const wantedWorth = 0.82;
/** A kind that needs nothing that is scarce is to be served nearly always. */
const unharmedShare = 0.95;
/** An urgent kind may be served less often than a less urgent one by no more than this. */
const rankSlack = 0.05;

const intake = serviceId("intake");
const store = serviceId("store");
const notify = serviceId("notify");

/** Endpoints as the first deployment of the milestone has them. */
function services(count: Readonly<Record<"intake" | "store" | "notify", number>>): Record<string, PipelineService> {
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

/** Kinds of requests like those of that deployment, drawing their pieces. */
function kindsOf(random: SeededRandom): Readonly<Record<"draft" | "summary" | "chat", RequestKind>> {
    const between = (least: number, most: number) => least + random.below(most - least + 1);
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
            pieces: () => [random.next() < 0.7 ? between(1, 4) : 0],
        },
        summary: {
            name: "summary",
            objectiveMs: 1900,
            deadlineMs: 5000,
            replyMs: 120,
            priority: 1,
            worth: [1.1, 0.17],
            stages: chain(0),
            pieces: () => [1, 8, between(8, 24)],
        },
        chat: {
            name: "chat",
            objectiveMs: 2200,
            deadlineMs: 15_000,
            replyMs: 100,
            priority: 2,
            worth: [0.81, 0.12],
            stages: [{ service: intake, after: [], resultBytes: 3_000_000 }, ...chain(1)],
            pieces: () => [random.next() < 0.4 ? between(1, 2) : 0, 1, 8, between(8, 24)],
        },
    };
}

const ratesPerSecond = { draft: 11.8, summary: 13, chat: 5.31 };
type KindName = keyof typeof ratesPerSecond;

interface LoadCase {
    readonly name: string;
    readonly count: Readonly<Record<"intake" | "store" | "notify", number>>;
    /** Factor on a kind's rate between two moments, in seconds. */
    readonly burst?: {
        readonly fromS: number;
        readonly toS: number;
        readonly factor: number;
        readonly kind?: KindName;
    };
    readonly holds: (site: StagePipeline, kinds: Readonly<Record<KindName, RequestKind>>) => void;
}

const all = { intake: 3, store: 4, notify: 4 };
const isWorth = (site: StagePipeline) =>
    assert.ok(site.worth() >= wantedWorth, `worth ${site.worth().toFixed(3)}, ${wantedWorth} wanted`);

const cases: readonly LoadCase[] = [
    { name: "a calm day", count: all, holds: isWorth },
    { name: "all kinds double for 6 s", count: all, burst: { fromS: 5, toS: 11, factor: 2 }, holds: isWorth },
    {
        name: "one kind triples for 6 s",
        count: all,
        burst: { fromS: 5, toS: 11, factor: 3, kind: "summary" },
        holds: isWorth,
    },
    { name: "half of the last stage's endpoints are lost", count: { ...all, notify: 2 }, holds: isWorth },
    {
        name: "half of the middle stage's endpoints are lost: requests that need none of it are not harmed",
        count: { ...all, store: 2 },
        holds: (site, { draft }) => {
            isWorth(site);
            const share = site.share("on-time", draft);
            assert.ok(share >= unharmedShare, `${(share * 100).toFixed(1)} % of the others on time`);
        },
    },
    {
        name: "one endpoint is left of the first stage: urgent requests are served as often as less urgent ones",
        count: { ...all, intake: 1 },
        holds: (site, { draft, summary, chat }) => {
            const served = (kind: RequestKind) => 1 - site.share("refused-again", kind);
            assert.ok(served(draft) >= served(chat) - rankSlack, "the most urgent against the least urgent");
            assert.ok(served(summary) >= served(chat) - rankSlack, "the second against the least urgent");
        },
    },
];

for (const { name, count, burst, holds } of cases) {
    for (const seed of seeds) {
        test(`${name}: seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const kinds = kindsOf(random);
            const site = new StagePipeline(services(count));
            const rateOf = (kind: KindName) => (atS: number) => {
                const isBurst = burst !== undefined && atS >= burst.fromS && atS < burst.toS
                    && (burst.kind ?? kind) === kind;
                return ratesPerSecond[kind] * (isBurst ? burst.factor : 1);
            };
            const names: readonly KindName[] = ["draft", "summary", "chat"];
            await site.play(new Map(names.map(kind => [kinds[kind], rateOf(kind)])), seconds, random);
            holds(site, kinds);
        });
    }
}
