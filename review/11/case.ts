/** Requests whose paths and queries hold characters that RFC 3986 allows there. */
import { Callers } from "../lib-3/Callers.js";
import { configOf, type RouteOptions } from "../lib-3/Config.js";
import { Engine } from "../lib-3/Engine.js";
import { runCase } from "../lib-3/runCase.js";
import { Site } from "../lib-3/Site.js";

const service = "wuno96b";
const route: RouteOptions = { name: "r-1", prefix: "/puxa400/", service, kind: "idempotent" };
/** Targets without and with such characters. */
const plainTargets = ["/puxa400/2f", "/puxa400/2f?title=keeper&page=2", "/puxa400/a%20b/2f?x=%27"];
const oddTargets = [
    "/puxa400/2f?title=keeper's&page=2",
    "/puxa400/%2e%2e/2f",
    "/puxa400/a/%2e/2f",
    "/puxa400/a/../2f",
    "/puxa400/a/./2f",
];
const rounds = 4;

await runCase(11, async ({ record, hasTrouble, use }) => {
    const site = use(new Site({ record, controls: ["za", "zb", "zc"], entries: ["za", "zb"] }));
    for (const zone of ["za", "zb"]) {
        const ip = site.freeIp();
        site.engines.push(new Engine({ service, instance: `i-${zone}`, zone, ip, slots: 6, workMs: 20, record }));
    }
    if (!await site.startWith(() => configOf(1, site.engines, [route]))) {
        return { cannotRun: "the site did not become ready" };
    }
    const callers = new Callers(site, record);
    const targets = hasTrouble ? [...plainTargets, ...oddTargets] : plainTargets;
    const sent = new Map<string, string>();
    for (const path of Array.from({ length: rounds }, () => targets).flat()) {
        const { id } = await callers.ask({ path, deadlineMs: 3000 });
        sent.set(id, path);
    }
    const runs = site.engines.flatMap(one => one.runs);
    if (!plainTargets.every(target => runs.some(run => run.target === target))) {
        return { cannotRun: "plain requests were not run" };
    }
    return {
        breaks: runs.flatMap(run => {
            const target = sent.get(run.id);
            return run.target === target ? [] : [`${run.id} was sent with ${target} and run with ${run.target}`];
        }),
    };
});
