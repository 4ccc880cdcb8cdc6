/**
 * Checks what all hosts together send to endpoints that limit their request rate, and how much of the limits they use,
 * while hosts restart, are cut off or have different views of the fleet.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Right } from "purify-ts";
import { allowedInWindow } from "../../testing/LimitRule.js";
import { PermitSite } from "../../testing/PermitSite.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { PeerTransport } from "../peer/Types.js";
import { PermitBucket } from "./PermitBucket.js";

/** Share of the limits that must be used while callers are refused. */
const minUsedShare = 0.8;

/** The first lender of the first endpoint. */
function lenderOf(site: PermitSite): string | undefined {
    return rankByWeight(site.endpoints[0]?.id ?? "", site.hosts.map(one => one.id))[0];
}

interface Case {
    readonly name: string;
    readonly hosts: number;
    readonly dataCentres?: number;
    readonly perSecond: number;
    readonly disturb?: (site: PermitSite, atMs: number) => void;
    /** Smallest share of the limits that must be used; {@link minUsedShare} by default. */
    readonly usedShare?: number;
}

const at = (ms: number, act: (site: PermitSite) => void) => (site: PermitSite, atMs: number) =>
    atMs === ms ? act(site) : undefined;
/** Time between two changes of views; a multiple of the simulation's step. */
const changeMs = 240;
const indexes = (site: PermitSite) => site.hosts.map((_, index) => index);

const cases: readonly Case[] = [
    { name: "8 hosts, 1.3 a second", hosts: 8, dataCentres: 3, perSecond: 1.3 },
    { name: "8 hosts, 40 a second", hosts: 8, dataCentres: 3, perSecond: 40 },
    { name: "195 hosts, 1.3 a second", hosts: 195, dataCentres: 15, perSecond: 1.3 },
    { name: "195 hosts, 40 a second", hosts: 195, dataCentres: 15, perSecond: 40 },
    { name: "one host", hosts: 1, perSecond: 3 },
    {
        name: "all hosts restarted at once, three times",
        hosts: 8,
        perSecond: 5,
        disturb: (site, atMs) => atMs % 3000 === 0 ? indexes(site).forEach(one => site.restart(one)) : undefined,
        usedShare: 0.4,
    },
    {
        name: "half of the hosts are cut off from the control hosts and keep their view, the others see them gone",
        hosts: 8,
        perSecond: 5,
        disturb: at(4000, site =>
            indexes(site).forEach(one => {
                if (one < 4) {
                    site.hosts[one]!.fleet.viewAgeMs = Infinity;
                }
                else {
                    site.setView(one, (_, index) => index >= 4);
                }
            })),
    },
    {
        name: "hosts see one after the other that the first half of the fleet is gone, which still runs",
        hosts: 8,
        perSecond: 5,
        disturb: (site, atMs) => {
            const host = (atMs - 4000) / changeMs;
            if (Number.isInteger(host) && host >= 0 && host < 8) {
                site.setView(host, (_, index) => index >= 4);
            }
        },
        usedShare: 0.6,
    },
    {
        name: "each host believes for two seconds that another host is gone than the hosts beside it",
        hosts: 8,
        perSecond: 5,
        disturb: (site, atMs) => {
            const change = (atMs - 4000) / changeMs;
            if (Number.isInteger(change) && change >= 0 && change < 16) {
                // In the second round all are live again.
                site.setView(change % 8, (_, index) => change >= 8 || index !== change / 2);
            }
        },
    },
    {
        name: "the first lender of each endpoint does not answer the others",
        hosts: 8,
        perSecond: 5,
        disturb: at(4000, site => site.hosts.slice(0, 4).forEach(one => site.network.isolate(one.id))),
        usedShare: 0.25,
    },
    {
        name: "two halves of the fleet are cut off from each other",
        hosts: 8,
        perSecond: 5,
        disturb: at(
            4000,
            site =>
                site.hosts.slice(0, 4).forEach(one =>
                    site.hosts.slice(4).forEach(other => site.network.cut(one.id, other.id))
                ),
        ),
        usedShare: 0.4,
    },
];

for (const { name, hosts, dataCentres, perSecond, disturb, usedShare = minUsedShare } of cases) {
    test(`endpoint limits stay kept in any window, and used, under twice the load: ${name}`, async () => {
        const endpoints = 6;
        const seconds = 16;
        const site = new PermitSite(hosts, endpoints, perSecond, dataCentres);
        await site.run(seconds, 2 * endpoints * perSecond / hosts, [0], atMs => disturb?.(site, atMs));
        const most = site.mostInWindow();
        assert.ok(most <= allowedInWindow(perSecond), `${most} requests in 4 s, ${allowedInWindow(perSecond)} allowed`);
        const used = site.sends.length / (seconds * endpoints * perSecond);
        assert.ok(used >= usedShare, `${(used * 100).toFixed(0)} % of the limits used`);
    });
}

test("under twice the load the most urgent requests are served first, and others not shut out", async () => {
    const site = new PermitSite(8, 6, 3, 3);
    const seconds = 20;
    // Half of the requests have the higher priority, so that they alone would take all permits.
    await site.run(seconds, 2 * 6 * 3 / 8, [0, 1]);
    const served = (priority: number) => {
        const sent = site.sends.filter(one => one.priority === priority).length;
        return sent / (sent + (site.refused.get(priority) ?? 0));
    };
    assert.ok(served(0) >= 2 * served(1), `${served(0).toFixed(2)} and ${served(1).toFixed(2)} served`);
    assert.ok(served(1) >= 0.1, `${served(1).toFixed(2)} of the less urgent served`);
});

test("a host that can reach no lender sends nothing", async () => {
    const site = new PermitSite(8, 1, 5);
    await site.run(2, 2);
    site.hosts.forEach(one => site.network.isolate(one.id));
    const { length } = site.sends;
    await site.run(4, 2);
    const own = new Set(site.sends.slice(length).map(one => one.host));
    assert.ok(own.size <= 2, "only the lenders themselves go on");
});

test("a permit that arrives late, as after a suspension, is not used", async () => {
    const site = new PermitSite(2, 1, 5);
    const [endpoint] = site.endpoints;
    const other = site.hosts.find(one => one.id !== lenderOf(site))!;
    const late: PeerTransport = {
        call: async () => {
            await site.clock.sleep(600);
            return Right({ kind: "lent" } as never);
        },
    };
    const outcome = site.startPermits(other.id, other.fleet, late).acquire(endpoint!, 0, { holdMs: undefined });
    await site.clock.advance(600);
    assert.equal((await outcome).kind, "denied");
});

test("a caller is told to come back behind those that were denied before it", () => {
    const bucket = new PermitBucket(0);
    const denials = Array.from({ length: 5 }, () => bucket.take(0, 2, 0)!);
    assert.deepEqual(denials.map(one => one.retryAfterMs), [500, 1000, 1500, 2000, 2500]);
    assert.deepEqual(denials.map(one => one.waitMs), [500, 500, 500, 500, 500]);
});

// Guards against advice that grows with how often waiting requests ask again.
test("a caller is told to come back behind requests that wait, each counted once", () => {
    const bucket = new PermitBucket(0);
    bucket.take(0, 2, 0);
    const again = Array.from({ length: 5 }, (_, at) => bucket.take(20 * at, 2, 0, true)?.retryAfterMs);
    assert.deepEqual(again, [500, 480, 460, 440, 420]);
    assert.equal(bucket.take(100, 2, 0)?.retryAfterMs, 900, "behind one");
    assert.equal(bucket.take(500, 2, 0, true), undefined, "the first one gets its permit");
    assert.equal(bucket.take(500, 2, 0)?.retryAfterMs, 1000, "behind one again");
});
