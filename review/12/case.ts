/**
 * Three of ten engines crash at once. Each runs a stream of a route whose prompts begin with the same part, and whose streams
 * take five seconds. Nothing is wrong with them. Afterwards the route is asked for again, with nothing else going on.
 */
/* eslint-disable max-lines-per-function -- A case is a test, and read from top to bottom. */
import { setTimeout as sleep } from "node:timers/promises";
import { Callers } from "../lib-3/Callers.js";
import { configOf, type RouteOptions } from "../lib-3/Config.js";
import { Engine } from "../lib-3/Engine.js";
import { runCase } from "../lib-3/runCase.js";
import { Site } from "../lib-3/Site.js";
import { eventsIn, writeStream } from "../lib-3/Streams.js";

const service = "huvo11a";
const firstRoute: RouteOptions = { name: "r-1", prefix: "/puxa400/", service, kind: "streaming", timeoutMs: 15_000 };
const laterRoute: RouteOptions = { name: "r-2", prefix: "/bobo563/", service, kind: "streaming", timeoutMs: 15_000 };
/** Streams of the first route take half a second, those of the later one five seconds. */
const firstEvents = 4;
const laterEvents = 40;
const gapMs = 125;
const engines = 10;
/** A share of 0.3, the largest in the site file. */
const crashes = 3;
const downMs = 4500;
/** A request each 1.6 s on the later route, of which three run at a time, and two a second on the first one. */
const laterPauseMs = 1600;
const firstPauseMs = 500;
const calmMs = 8000;
const judgedRequests = 20;

await runCase(12, async ({ record, hasTrouble, use }) => {
    const site = use(new Site({ record, controls: ["za", "zb", "zc"], entries: ["za", "zb"] }));
    const zones = ["za", "zb", "zc"];
    /** Number of running streams of the later route by engine. */
    const running = new Map<string, number>();
    const newEngine = (zone: string, instance: string, ip: string): Engine => {
        const engine: Engine = new Engine({
            service,
            instance,
            zone,
            ip,
            slots: 64,
            workMs: 20,
            record,
            intercept: (run, res) => {
                const isLater = run.target.startsWith(laterRoute.prefix);
                const change = (by: number) => isLater && running.set(instance, (running.get(instance) ?? 0) + by);
                change(1);
                record.add("run", run.id, "at", instance, run.target);
                writeStream(run, res, {
                    events: isLater ? laterEvents : firstEvents,
                    gapMs,
                    isUp: () => engine.isUp,
                    onEnd: () => change(-1),
                });
                return true;
            },
        });
        return engine;
    };
    for (let at = 0; at < engines; at++) {
        site.engines.push(newEngine(zones[at % 3]!, `i-${at}`, site.freeIp()));
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
    const ask = async ({ prefix }: RouteOptions): Promise<boolean> => {
        const isLater = prefix === laterRoute.prefix;
        const number = callers.sent.toString(16).padStart(4, "0");
        // The first part is the same for all requests of the route, the second for those about one thing.
        const thing = (callers.sent * 7 % 59).toString(16).padStart(8, isLater ? "b" : "a");
        const { answer } = await callers.ask({
            path: `${prefix}${number}`,
            deadlineMs: 15_000,
            prompt: `${isLater ? "5c1e07a2" : "91bd3f06"}:800,${thing}:410,e44${number}:250`,
            body: "body",
            describe: ({ status, text }) => status === 200 ? `${eventsIn(text)} events` : text,
        });
        const isWhole = eventsIn(answer.text) === (isLater ? laterEvents : firstEvents);
        return answer.status === 200 && answer.error === undefined && isWhole;
    };
    const counts = { first: 0, later: 0 };
    let isJudging = false;
    let isOver = false;
    /** Counts the requests that are sent once these are judged. */
    const load = async (route: RouteOptions, name: "first" | "later", pauseMs: number) => {
        const asked: Promise<void>[] = [];
        for (let judged = 0; !isOver && judged < judgedRequests;) {
            const isJudged = isJudging;
            judged += isJudged ? 1 : 0;
            asked.push(
                ask(route).then(served => {
                    counts[name] += isJudged && served ? 1 : 0;
                }),
            );
            await sleep(pauseMs);
        }
        await Promise.all(asked);
    };
    const loads = [load(firstRoute, "first", firstPauseMs), load(laterRoute, "later", laterPauseMs)];
    await sleep(8000);
    let hasCrashed = false;
    for (let waitedMs = 0; hasTrouble && waitedMs < 10_000; waitedMs += 20) {
        const busy = site.engines.filter(one => (running.get(one.options.instance) ?? 0) > 0);
        if (busy.length === crashes) {
            for (const engine of busy) {
                const { zone, instance, ip } = engine.options;
                record.add("engine", instance, "crashes");
                site.replaceLater(engine, newEngine(zone, `${instance}-2`, ip), downMs);
            }
            hasCrashed = true;
            break;
        }
        await sleep(20);
    }
    if (hasTrouble && !hasCrashed) {
        return { cannotRun: "at no time were just three engines busy with the later route" };
    }
    await sleep(downMs + calmMs);
    isJudging = true;
    record.add("requests count from now on");
    await Promise.all(loads);
    isOver = true;
    record.add("served of", judgedRequests, "on the first route:", counts.first, "on the later one:", counts.later);
    if (counts.first < judgedRequests / 2) {
        return { cannotRun: "few requests on the first route were served" };
    }
    return {
        breaks: counts.later < counts.first / 4
            ? [`${counts.later} of ${judgedRequests} on the later route served, ${counts.first} on the first one`]
            : [],
    };
});
