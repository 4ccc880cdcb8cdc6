/**
 * A control host is cut off from the other control hosts just as it is given an order to take a zone back. The operator
 * gives the order to another host, and later empties the zone again; then the cut heals.
 */
import { type CaseRecord, sleep } from "../lib/CaseRecord.js";
import { configOf, routeHost } from "../lib/Config.js";
import { Engine } from "../lib/Engine.js";
import { type Breaches, runCase } from "../lib/runCase.js";
import { ask, bounds, Site, zones } from "../lib/Site.js";

const startPath = (zone: string) => `/api/Evacuate.Start/${zone}`;
const endPath = (zone: string) => `/api/Evacuate.End/${zone}`;
/** Length of the cut; `core_cut` lasts up to 5.5 s in the site files with `refuse`. */
const cutMs = 2300;
/** From the start of the cut to the order that takes the zone back, and to the one that empties it again. */
const endAfterMs = 100;
const startAfterMs = 1700;
/** The zone stays empty for this long, and requests are sent meanwhile. */
const emptyMs = 14_000;
const requestPauseMs = 50;

async function sendRequests(site: Site, record: CaseRecord, untilMs: () => number): Promise<void> {
    const sent: Promise<unknown>[] = [];
    for (let at = 0; record.nowMs < untilMs(); at++) {
        const request = `r${at}`;
        record.note("client sends", { request, target: "/reads/7" });
        sent.push(
            ask(
                {
                    host: site.entries[at % site.entries.length] ?? "",
                    port: site.ports.front,
                    path: "/reads/7",
                    headers: {
                        "Host": routeHost,
                        "Fireflykeel-Request-Id": request,
                        "Fireflykeel-Deadline-Ms": "2000",
                    },
                },
                "",
                3000,
            ).then(({ status }) => record.note("client got", { request, status })),
        );
        await sleep(requestPauseMs);
    }
    await Promise.all(sent);
}

async function order(site: Site, path: string, hosts: readonly string[]): Promise<void> {
    const { status } = await site.order("POST", path, "", hosts);
    if (status !== 200) {
        throw new Error(`${path} was not acknowledged`);
    }
}

async function startEngines(site: Site, record: CaseRecord): Promise<readonly Engine[]> {
    const engines = zones.map((zone, at) => ({
        zone,
        engine: new Engine(`i-${zone}`, record),
        host: site.address(1 + at),
    }));
    for (const { zone, engine, host } of engines) {
        await engine.start(host, site.enginePort);
        site.listed.push({ id: engine.id, service: "desk", zone, address: `${host}:${site.enginePort}` });
    }
    return engines.map(one => one.engine);
}

async function play(record: CaseRecord, isTroubled: boolean): Promise<Breaches> {
    const site = new Site({ entries: 2, record, hasLinks: true });
    const engines = await startEngines(site, record);
    try {
        await site.start(configOf(1));
        await sleep(1500);
        const leader = site.leader();
        const lost = site.controls.find(host => host !== leader) ?? "";
        const others = site.controls.filter(host => host !== lost);
        // No other zone is affected.
        const emptied = zones[site.controls.indexOf(lost)] ?? "";
        let endMs = Infinity;
        const sending = sendRequests(site, record, () => endMs);
        await order(site, startPath(emptied), others);
        await sleep(3000);
        const cutAtMs = record.nowMs;
        if (isTroubled) {
            record.note("cut", { control: lost, from: others, leader });
            site.links.cut(lost, others);
        }
        await sleep(endAfterMs);
        await order(site, endPath(emptied), [lost, ...others]);
        await sleep(cutAtMs + startAfterMs - record.nowMs);
        await order(site, startPath(emptied), others);
        const ackedMs = record.nowMs;
        await sleep(cutAtMs + cutMs - record.nowMs);
        if (isTroubled) {
            record.note("healed", { control: lost });
            await site.links.heal(lost, others);
        }
        const boundMs = Math.max(ackedMs + bounds.EvacuateMs, record.nowMs + bounds.ContactMs);
        endMs = ackedMs + emptyMs;
        await sending;
        const runs = engines.flatMap(engine => engine.runs);
        const late = runs.filter(run => run.engine === `i-${emptied}` && run.atMs > boundMs);
        if (runs.filter(run => run.atMs > boundMs).length === 0) {
            throw new Error("no request was run at the end");
        }
        return late.length === 0 ? [] : [
            `EVAC: ${late.length} requests reached the engine of ${emptied} later than ${bounds.EvacuateMs} ms after its `
            + `evacuation was acknowledged, the first ${Math.round((late[0]?.atMs ?? 0) - ackedMs)} ms after it`,
        ];
    }
    finally {
        engines.forEach(engine => engine.stop());
        await site.stop();
    }
}

runCase(play);
