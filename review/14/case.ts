/**
 * A zone is evacuated. Its engine becomes cold shortly before the evacuation is withdrawn, as the page on the operator's
 * API says. Counts the requests that the cold engine gets in each second.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Asked, Callers } from "../lib-3/Callers.js";
import { configOf, type RouteOptions } from "../lib-3/Config.js";
import { Engine } from "../lib-3/Engine.js";
import { runCase } from "../lib-3/runCase.js";
import { Site } from "../lib-3/Site.js";

const service = "huvo11a";
const route: RouteOptions = { name: "r-1", prefix: "/puxa400/", service, kind: "idempotent", attempts: 2 };
/** `ColdStartS` and `ColdPerS` of the page's example, `ColdOverrun` and `ColdSlack` of the settings. */
const coldStartS = 3;
const coldPerS = 18;
const coldOverrun = 1.5;
const coldSlack = 5;
const limit = coldPerS * coldOverrun + coldSlack;
/** Requests a second in all; each of the two entry hosts and three engines bears them with ease. */
const requestsPerS = 160;
/** How long before the order the engine becomes cold. */
const coldBeforeMs = 100;
const deadlineMs = 2000;

await runCase(14, async ({ record, hasTrouble, use }) => {
    const site = use(new Site({ record, controls: ["za", "zb", "zc"], entries: ["za", "zb"] }));
    for (const zone of ["za", "zb", "zc"]) {
        const ip = site.freeIp();
        site.engines.push(new Engine({ service, instance: `i-${zone}`, zone, ip, slots: 64, workMs: 20, record }));
    }
    const [engine] = site.engines;
    if (
        !await site.startWith(() => configOf(1, site.engines, [route], { coldStartS, coldPerS }))
        || engine === undefined
    ) {
        return { cannotRun: "the site did not become ready" };
    }
    const callers = new Callers(site, record);
    const asked: Promise<Asked>[] = [];
    let isOver = false;
    const load = async () => {
        const startMs = performance.now();
        while (!isOver) {
            asked.push(callers.ask({ path: `/puxa400/${callers.sent.toString(16)}`, deadlineMs }));
            await sleep(Math.max(0, startMs + asked.length * 1000 / requestsPerS - performance.now()));
        }
    };
    const loaded = load();
    await sleep(5000);
    const isStarted = await site.order("/api/Evacuate.Start/za");
    await sleep(7000);
    if (hasTrouble) {
        engine.becomeCold(coldStartS * 1000);
    }
    await sleep(coldBeforeMs);
    const isEnded = await site.order("/api/Evacuate.End/za");
    await sleep(coldStartS * 1000 + 2000);
    isOver = true;
    await loaded;
    const all = await Promise.all(asked);
    const served = all.filter(({ answer }) => answer.status === 200).length;
    record.add("sent:", all.length, "served:", served);
    if (!isStarted || !isEnded || served < all.length / 2) {
        return { cannotRun: "the orders were not acknowledged, or few requests were served" };
    }
    // Requests that were sent and arrived within one second in which the engine was cold.
    const sentMs = new Map(all.map(one => [one.id, one.sentMs]));
    const arrivals = engine.runs.filter(run => run.atMs >= engine.coldFromMs && run.atMs < engine.coldUntilMs)
        .map(run => ({ atMs: run.atMs, sentMs: sentMs.get(run.id) ?? 0 }));
    const counts = arrivals.map(({ sentMs: fromMs }) =>
        arrivals.filter(one => one.sentMs >= fromMs && one.atMs < fromMs + 1000).length
    );
    const most = Math.max(0, ...counts);
    record.add("most requests in a second at the cold engine:", most, "limit:", limit);
    return { breaks: most > limit ? [`the cold engine got ${most} requests in one second, and may get ${limit}`] : [] };
});
