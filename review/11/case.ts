/**
 * One engine crashes once while several requests for the same page run there. They are sound: each is answered by another
 * engine. Afterwards the page is asked for again, with nothing else going on.
 */
/* eslint-disable max-lines-per-function -- A case is a test, and read from top to bottom. */
import { setTimeout as sleep } from "node:timers/promises";
import { Callers } from "../lib-3/Callers.js";
import { configOf, type RouteOptions } from "../lib-3/Config.js";
import { Engine } from "../lib-3/Engine.js";
import { runCase } from "../lib-3/runCase.js";
import { Site } from "../lib-3/Site.js";

const service = "wuno96b";
const firstRoute: RouteOptions = { name: "r-1", prefix: "/puxa400/", service, kind: "idempotent", attempts: 2 };
const laterRoute: RouteOptions = { name: "r-2", prefix: "/bobo563/", service, kind: "idempotent", attempts: 2 };
const firstPage = "/puxa400/2f";
const laterPage = "/bobo563/2f";
const workMs = 100;
/** So many callers ask for the page at the same time, in so many rounds; the engine crashes in one of them. */
const callersAtOnce = 12;
const rounds = 5;
const crashInRound = 2;
/** The engine crashes while it runs this many requests, and is back after this time. */
const crashAtRunning = 4;
const downMs = 4500;
/** Nothing happens for so long before requests are judged; `ContactMs` is 3 s. The rule speaks of 20 requests. */
const calmMs = 8000;
const judgedRequests = 40;
const deadlineMs = 1500;

await runCase(11, async ({ record, hasTrouble, use }) => {
    const site = use(new Site({ record, controls: ["za", "zb", "zc"], entries: ["za", "zb"] }));
    const newEngine = (zone: string, instance: string, ip: string) =>
        new Engine({ service, instance, zone, ip, slots: 6, workMs, record });
    for (const zone of ["za", "zb", "zc"]) {
        site.engines.push(newEngine(zone, `i-${zone}`, site.freeIp()));
    }
    if (!await site.startWith(() => configOf(1, site.engines, [firstRoute]))) {
        return { cannotRun: "the site did not become ready" };
    }
    await sleep(3000);
    if (!await site.putConfig(configOf(2, site.engines, [firstRoute, laterRoute]))) {
        return { cannotRun: "the second configuration was not acknowledged" };
    }
    await sleep(3000);
    const callers = new Callers(site, record);
    let hasCrashed = false;
    const crashBusyEngine = async () => {
        for (let waitedMs = 0; waitedMs < workMs; waitedMs += 2) {
            const engine = site.engines.find(one => one.running >= crashAtRunning);
            if (engine !== undefined) {
                const { zone, instance, ip } = engine.options;
                record.add("engine", instance, "crashes with", engine.running, "running requests");
                site.replaceLater(engine, newEngine(zone, `${instance}-2`, ip), downMs);
                hasCrashed = true;
                return;
            }
            await sleep(2);
        }
    };
    for (let round = 0; round < rounds; round++) {
        const asked = Array.from({ length: callersAtOnce }, () => callers.ask({ path: laterPage, deadlineMs }));
        if (hasTrouble && round === crashInRound) {
            await crashBusyEngine();
        }
        const statuses = (await Promise.all(asked)).map(({ answer }) => answer.status);
        record.add("round", round, "answers", statuses.join(" "));
        await sleep(500);
    }
    if (hasTrouble && !hasCrashed) {
        return { cannotRun: "no engine ran enough requests at the same time" };
    }
    await sleep(downMs + calmMs);
    let firstServed = 0;
    let laterServed = 0;
    for (let at = 0; at < judgedRequests; at++) {
        // Each page is asked for at both entry hosts in turn.
        const pages = at % 2 === 0 ? [firstPage, laterPage] : [laterPage, firstPage];
        for (const path of pages) {
            const { answer: { status } } = await callers.ask({ path, deadlineMs });
            firstServed += path === firstPage && status === 200 ? 1 : 0;
            laterServed += path === laterPage && status === 200 ? 1 : 0;
        }
        await sleep(100);
    }
    record.add("served of", judgedRequests, "on the first route:", firstServed, "on the later one:", laterServed);
    if (firstServed < judgedRequests / 2) {
        return { cannotRun: "few requests on the first route were served" };
    }
    return {
        breaks: laterServed < firstServed / 4
            ? [`${laterServed} of ${judgedRequests} requests on the later route served, ${firstServed} on the first one`]
            : [],
    };
});
