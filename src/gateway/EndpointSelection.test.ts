/** Simulates load with prompts on model endpoints of which some limit their request rate, without a network. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { allowedInWindow, limitContactMs, mostInWindow } from "../../testing/LimitRule.js";
import { type PromptProfile, PromptSimulation } from "../../testing/PromptSimulation.js";

/** Kinds of one deployment, with the part of the objective that is left after the stages. */
const draft: PromptProfile = {
    name: "draft",
    perSecond: 11.8,
    sharedTokens: 6300,
    ownTokens: 2890,
    subjects: 12,
    objectiveMs: 250,
    outputMs: 200,
    priority: 0,
};
const summary: PromptProfile = {
    ...draft,
    name: "summary",
    perSecond: 13,
    sharedTokens: 568,
    ownTokens: 1800,
    subjects: 20,
    objectiveMs: 600,
    priority: 1,
};
const chat: PromptProfile = {
    ...draft,
    name: "chat",
    perSecond: 5.3,
    sharedTokens: 172,
    ownTokens: 543,
    subjects: 20,
    objectiveMs: 2200,
    outputMs: 1200,
    priority: 2,
};
const profiles = [draft, summary, chat];
const warmUpS = 8;
const limitedS = 24;
const endpoints = 6;
/** Requests per second that a limited endpoint takes; about a third of what it gets before. */
const perSecond = 1.5;

async function runLimited(count: number, seed: number): Promise<PromptSimulation> {
    const site = new PromptSimulation(8, endpoints, seed);
    await site.run(warmUpS, profiles);
    const fromMs = site.clock.nowMs();
    site.limitEngines(count, perSecond);
    await site.run(limitedS, profiles);
    for (const { arrivalsMs } of [...site.engines.values()].slice(0, count)) {
        const most = mostInWindow(arrivalsMs.filter(at => at >= fromMs + limitContactMs));
        assert.ok(most <= allowedInWindow(perSecond), `${most} requests in 4 s`);
    }
    return site;
}

for (const count of [0, 2, 4, 5]) {
    test(`${count} of ${endpoints} model endpoints limit their rate: the others take the rest in time`, async () => {
        const site = await runLimited(count, count + 1);
        for (const { name } of profiles) {
            const onTime = site.share("on-time", name);
            assert.ok(onTime >= 0.97, `${name}: ${(onTime * 100).toFixed(1)} % on time`);
        }
    });
}

/** Share of the limits that requests use under about twice the load that the limits allow. */
const allButFull = 0.95;

for (
    const { hosts, limited, rate } of [
        { hosts: 3, limited: 2, rate: 5 },
        { hosts: 8, limited: 2, rate: 5 },
        { hosts: 8, limited: 6, rate: 1.5 },
    ]
) {
    // Guards against callers that are refused early while permits are left (limits that idle under twice their load).
    test(`limits of ${limited} endpoints to ${rate} requests a second do not idle under twice the load of ${hosts} hosts`, async () => {
        const kind = { ...chat, perSecond: 2 * limited * rate, objectiveMs: 1000, outputMs: 50 };
        const site = new PromptSimulation(hosts, limited, 3);
        await site.run(5, [kind]);
        site.limitEngines(limited, rate);
        await site.run(8, [kind]);
        const fromMs = site.clock.nowMs();
        await site.run(16, [kind]);
        const arrivals = [...site.engines.values()].flatMap(one => one.arrivalsMs).filter(at => at >= fromMs);
        const used = arrivals.length / (limited * rate * 16);
        assert.ok(used >= allButFull, `${(used * 100).toFixed(0)} % of the limits used`);
    });
}

test("all model endpoints limit their rate: their limits are used, and the most urgent requests come first", async () => {
    const site = await runLimited(endpoints, 7);
    const arrivals = [...site.engines.values()].flatMap(one => one.arrivalsMs);
    const sinceMs = site.clock.nowMs() - (limitedS - 8) * 1000;
    const used = arrivals.filter(at => at >= sinceMs).length / (endpoints * perSecond * (limitedS - 8));
    assert.ok(used >= 0.8, `${(used * 100).toFixed(0)} % of the limits used`);
    const served = (one: PromptProfile) => 1 - site.share("refused", one.name, warmUpS * 1000);
    assert.ok(
        served(draft) >= served(summary) && served(draft) >= served(chat),
        "the most urgent kind is served first",
    );
    assert.ok(Math.min(served(summary), served(chat)) >= 0.05, "no kind is shut out");
});
