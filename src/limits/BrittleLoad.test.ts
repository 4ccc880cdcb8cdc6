/**
 * Checks how often brittle endpoints fall over, and how much of their room is used, under more load than they have room
 * for, while hosts restart, are cut off or have different views of the fleet.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { BrittleSite } from "../../testing/BrittleSite.js";

/** Falls in one brittle time that are tolerated: 2, and a tenth of the endpoints. */
const maxFalls = (endpoints: number) => Math.floor(2 + endpoints / 10);
const seconds = 8;
const changeMs = 240;

interface Case {
    readonly name: string;
    readonly hosts: number;
    readonly endpoints: number;
    readonly slots: number;
    /** Requests that an endpoint can turn away in a second. */
    readonly turnAways: number;
    /** Requests that an endpoint has room for; its slots by default. */
    readonly room?: number;
    readonly disturb?: (site: BrittleSite, atMs: number) => void;
    /** Smallest share of the room that must be used. */
    readonly usedShare?: number;
}

const cases: readonly Case[] = [
    { name: "8 hosts, 16 slots", hosts: 8, endpoints: 3, slots: 16, turnAways: 3 },
    { name: "8 hosts, 6 slots, one request may be turned away", hosts: 8, endpoints: 3, slots: 6, turnAways: 1 },
    { name: "8 hosts, one slot", hosts: 8, endpoints: 4, slots: 1, turnAways: 1 },
    { name: "195 hosts, 6 slots, one request may be turned away", hosts: 195, endpoints: 5, slots: 6, turnAways: 1 },
    { name: "195 hosts, 10 slots", hosts: 195, endpoints: 5, slots: 10, turnAways: 2 },
    { name: "an endpoint has less room than slots", hosts: 8, endpoints: 3, slots: 16, room: 12, turnAways: 3 },
    {
        name: "all hosts restart at once",
        hosts: 8,
        endpoints: 3,
        slots: 6,
        turnAways: 2,
        disturb: (site, atMs) => atMs === 4000 ? site.restartAll() : undefined,
        usedShare: 0.4,
    },
    {
        name: "the first lenders of half of the endpoints do not answer",
        hosts: 8,
        endpoints: 3,
        slots: 6,
        turnAways: 2,
        disturb: (site, atMs) => atMs === 4000 ? site.isolate(4) : undefined,
        usedShare: 0.25,
    },
    {
        name: "hosts see one after the other that the first half of the fleet is gone, which still runs",
        hosts: 8,
        endpoints: 3,
        slots: 6,
        turnAways: 2,
        disturb: (site, atMs) => {
            const host = (atMs - 4000) / changeMs;
            if (Number.isInteger(host) && host >= 0 && host < 8) {
                site.setView(host, index => index >= 4);
            }
        },
        usedShare: 0.4,
    },
];

for (const { name, hosts, endpoints, slots, turnAways, room = slots, disturb, usedShare = 0.6 } of cases) {
    // Guards against endpoints that fall over since the hosts together send them more than they have room for.
    test(`brittle endpoints under one and a half times the load that they have room for: ${name}`, async () => {
        const site = new BrittleSite({ hosts, endpoints, slots, room, turnAways });
        await site.run(seconds, 1.5, atMs => disturb?.(site, atMs));
        assert.ok(site.falls <= maxFalls(endpoints), `${site.falls} falls`);
        const share = site.served / (seconds * site.servedPerSecond);
        assert.ok(share >= usedShare, `${(share * 100).toFixed(0)} % of the room used`);
    });
}
