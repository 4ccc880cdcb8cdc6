/**
 * Simulates load beyond the capacity of the stages, without a network, and checks which share of its worth each kind of
 * request keeps. Rates, stages and objectives are those of two large deployments, for the endpoints of one data centre.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { serviceId } from "../../testing/FleetFixtures.js";
import { type RequestProfile, type SimulatedService, StageSimulation } from "../../testing/StageSimulation.js";
import { SeededRandom } from "../common/SeededRandom.js";

const seeds = [1, 2, 3];
const seconds = 34;
const messageMs = 20;
/** A kind keeps at least this part of the share of the next more urgent kind whose stages it uses. */
const minKeptPart = 0.5;

const [first, second, third] = [serviceId("first"), serviceId("second"), serviceId("third")];

type Draw = (min: number, max: number) => number;

/** A kind of request and its rate on a calm day. */
interface Kind extends Omit<RequestProfile, "pieces"> {
    readonly perSecond: number;
    readonly pieces: (draw: Draw) => readonly number[];
}

interface ShareCase {
    readonly name: string;
    readonly services: Readonly<Record<string, SimulatedService>>;
    /** In the order of their priorities. */
    readonly kinds: readonly Kind[];
    /** Factor on all rates. */
    readonly load: number;
    /** Times at which each kind comes more often. */
    readonly bursts: readonly {
        readonly kind: number;
        readonly fromS: number;
        readonly toS: number;
        readonly factor: number;
    }[];
}

const common = { slots: 1, callMs: 150, resultKeptMs: 4000 };
const largeResults = { service: first, after: [], resultBytes: 3_000_000 };

function chainFrom(at: number) {
    return [
        { service: first, after: [], resultBytes: 8000 },
        { service: second, after: [at], resultBytes: 60_000 },
        { service: third, after: [at + 1], resultBytes: 6000 },
    ];
}

const largePieces = (draw: Draw, inTen: number, max: number) => draw(1, 10) <= inTen ? draw(1, max) : 0;

const fontServices = {
    first: { traits: { ...common, batch: 16, pieceMs: 8, resultRoomBytes: 110e6 }, endpoints: 4 },
    second: { traits: { ...common, batch: 48, pieceMs: 2.7, resultRoomBytes: 8.4e6 }, endpoints: 4 },
    third: { traits: { ...common, batch: 79, pieceMs: 1.7, resultRoomBytes: 1.35e6 }, endpoints: 4 },
};

const fontKinds: readonly Kind[] = [
    {
        name: "subset",
        objectiveMs: 1500,
        deadlineMs: 5000,
        replyMs: 100,
        priority: 0,
        worth: [1.6, 0.24],
        stages: chainFrom(0),
        perSecond: 29,
        pieces: draw => [1, 8, draw(8, 24)],
    },
    {
        name: "digest",
        objectiveMs: 800,
        deadlineMs: 5000,
        replyMs: 150,
        priority: 1,
        worth: [2.8, 0.42],
        stages: [largeResults],
        perSecond: 44,
        pieces: draw => [largePieces(draw, 7, 4)],
    },
    {
        name: "ask",
        objectiveMs: 1500,
        deadlineMs: 5640,
        replyMs: 80,
        priority: 2,
        worth: [1.6, 0.24],
        stages: [largeResults, ...chainFrom(1)],
        perSecond: 8.3,
        pieces: draw => [largePieces(draw, 4, 2), 1, 8, draw(8, 24)],
    },
];

/** With the times of whole calls, which include the transfer of inputs. */
const bookServices = {
    first: { traits: { ...common, batch: 14, pieceMs: 7, resultRoomBytes: 63e6 }, endpoints: 3 },
    second: { traits: { ...common, batch: 78, pieceMs: 2, resultRoomBytes: 13.7e6 }, endpoints: 2 },
    third: { traits: { ...common, batch: 95, pieceMs: 2.1, resultRoomBytes: 1.7e6 }, endpoints: 4 },
};

const bookKinds: readonly Kind[] = [
    {
        name: "chapter",
        objectiveMs: 1500,
        deadlineMs: 5640,
        replyMs: 180,
        priority: 0,
        worth: [3.9, 0.58],
        stages: [largeResults, ...chainFrom(1)],
        perSecond: 23,
        pieces: draw => [largePieces(draw, 4, 2), 1, 6, draw(8, 24)],
    },
    {
        name: "question",
        objectiveMs: 1900,
        deadlineMs: 5000,
        replyMs: 100,
        priority: 1,
        worth: [1.1, 0.17],
        stages: chainFrom(0),
        perSecond: 24.4,
        pieces: draw => [1, 6, draw(8, 24)],
    },
    {
        name: "hint",
        objectiveMs: 1300,
        deadlineMs: 4900,
        replyMs: 80,
        priority: 2,
        worth: [1.3, 0.2],
        stages: [largeResults],
        perSecond: 5.5,
        pieces: draw => [largePieces(draw, 7, 4)],
    },
];

const twoBursts = [{ kind: 1, fromS: 5.6, toS: 10.8, factor: 2.5 }, { kind: 0, fromS: 13, toS: 19.2, factor: 2.3 }];

const cases: readonly ShareCase[] = [
    {
        name: "the longest chain is least urgent",
        services: fontServices,
        kinds: fontKinds,
        load: 1.4,
        bursts: twoBursts,
    },
    {
        name: "the longest chain is least urgent and the first stage loses an endpoint",
        services: { ...fontServices, first: { ...fontServices.first, endpoints: 3 } },
        kinds: fontKinds,
        load: 1.1,
        bursts: twoBursts,
    },
    {
        name: "the longest chain is most urgent",
        services: bookServices,
        kinds: bookKinds,
        load: 1.4,
        bursts: twoBursts,
    },
];

/** The worth that each kind earns, in the order of the case. */
async function sharesOf({ services, kinds, load, bursts }: ShareCase, seed: number): Promise<readonly number[]> {
    const random = new SeededRandom(seed);
    const draw: Draw = (min, max) => min + random.below(max - min + 1);
    const site = new StageSimulation(services);
    site.messageMs = messageMs;
    const profiles = kinds.map(kind => ({ ...kind, pieces: () => kind.pieces(draw) }));
    const wave = (atS: number) => 1 + 0.55 * Math.sin(2 * Math.PI * (atS / 13 + 0.18));
    const rateOf = (at: number) => (atS: number) => {
        const burst = bursts.find(one => one.kind === at && atS >= one.fromS && atS < one.toS);
        return load * (kinds[at]?.perSecond ?? 0) * wave(atS) * (burst?.factor ?? 1);
    };
    await site.runLoad(new Map(profiles.map((profile, at) => [profile, rateOf(at)])), seconds, random);
    return profiles.map(profile => site.worth(profile));
}

// Guards against an order by priority alone, with which the least urgent kind is late throughout each burst.
for (const one of cases) {
    test(`no kind of request starves under more load than the stages can carry: ${one.name}`, async () => {
        const all = await Promise.all(seeds.map(seed => sharesOf(one, seed)));
        const shares = one.kinds.map((_, at) =>
            all.reduce((sum, shareOf) => sum + (shareOf[at] ?? 0), 0) / seeds.length
        );
        const text = one.kinds.map(({ name }, at) => `${name} ${shares[at]?.toFixed(3)}`).join(", ");
        const best = Math.max(...shares);
        shares.forEach(share => assert.ok(share >= best * minKeptPart, text));
    });
}
