/**
 * The endpoints experiment: compares slots granted by owners with a static share, a local limit and no limit. Covers
 * cold endpoints, capacity used while warm, a data centre that is taken out and brought back, rolling restarts, and
 * control traffic by number of hosts. Runs the product's code in virtual time on fake endpoints and a fake network.
 */
import type { DataCentreId } from "../src/common/Types.js";
import { testView } from "../testing/TestSettings.js";
import type { SlotPolicyName } from "./endpoints/SlotPolicies.js";
import { callMs, requestDeadlineMs, type RequestRecord, type SiteShape, SlotRun } from "./endpoints/SlotRun.js";
import { type BenchTable, formatMarkdownTable } from "./MarkdownTable.js";

type Row = readonly (string | number)[];

const seeds = [1, 2, 3];
const policies: readonly SlotPolicyName[] = ["owner slots", "static share", "local limit", "round robin"];
const site: SiteShape = { centres: 3, hostsPerCentre: 2, enginesPerCentre: 2, warmLimit: 8 };
const capacity = site.centres * site.enginesPerCentre * site.warmLimit;
const percent = (part: number, whole: number) => (whole === 0 ? "-" : `${(100 * part / whole).toFixed(2)} %`);

/** Requests per second that use the given share of all endpoints' warm limits. */
function rateFor(share: number): number {
    return (share * capacity * 1000) / callMs;
}

/** Adds a row and prints it to standard error at once, since the whole experiment takes minutes. */
function addRow(rows: Row[], row: Row): void {
    rows.push(row);
    process.stderr.write(`${row.join(" | ")}\n`);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function attainment(records: readonly RequestRecord[], fromMs: number, toMs: number): number {
    const within = records.filter(one => one.arrivedMs >= fromMs && one.arrivedMs < toMs);
    return within.length === 0 ? 0 : within.filter(one => one.attained).length / within.length;
}

/** Starts with all endpoints cold; after 20 s all of them crash at once and come back cold. */
async function coldRun(policy: SlotPolicyName, seed: number) {
    const run = new SlotRun(policy, site, seed);
    await run.start();
    run.startSaturation(12);
    await run.advance(12_000);
    const before = run.endpoints.map(one => one.completed);
    await run.advance(8000);
    const warmCalls = sum(run.endpoints.map((one, index) => one.completed - before[index]!));
    const overloadsAtStart = sum(run.endpoints.map(one => one.overloads));
    await Promise.all([...run.endpoints.map(one => one.crash(400)), run.advance(400)]);
    const coldAtMs = run.nowMs;
    let fullAfterMs: number | undefined;
    while (run.nowMs - coldAtMs < 12_000) {
        await run.advance(50);
        if (fullAfterMs === undefined && sum(run.endpoints.map(one => one.inFlight)) >= 0.9 * capacity) {
            fullAfterMs = run.nowMs - coldAtMs;
        }
    }
    const overloads = sum(run.endpoints.map(one => one.overloads));
    run.stop();
    return { overloadsAtStart, overloads: overloads - overloadsAtStart, fullAfterMs, warmCalls };
}

async function coldTable(): Promise<BenchTable> {
    const rows: Row[] = [];
    for (const policy of policies) {
        const runs = [];
        for (const seed of seeds) {
            runs.push(await coldRun(policy, seed));
        }
        const possible = seeds.length * capacity * (8000 / callMs);
        const fullTimes = runs.map(one => one.fullAfterMs ?? Number.POSITIVE_INFINITY);
        addRow(rows, [
            policy,
            sum(runs.map(one => one.overloadsAtStart)),
            sum(runs.map(one => one.overloads)),
            Math.max(...fullTimes) === Number.POSITIVE_INFINITY ? "not reached" : Math.max(...fullTimes),
            percent(sum(runs.map(one => one.warmCalls)), possible),
        ]);
    }
    return {
        title: "Cold endpoints",
        notes: [
            `Six engines (cold limit 1, warm limit 8), six hosts with 12 requests each at all times, seeds ${seeds}.`,
            "An overloading call crashes its engine for 0.4 s. Capacity used: share of the warm limits used during 8 s.",
        ],
        columns: [
            "policy",
            "overloading calls, first start",
            "overloading calls, all cold at once",
            "ms to 90 % of full use, worst",
            "capacity used",
        ],
        rows,
    };
}

/**
 * Takes a data centre out of service at half of the capacity; it comes back cold. With `isolatesHost`, one host is cut
 * off from the network before that.
 */
async function leavingRun(policy: SlotPolicyName, seed: number, isolatesHost: boolean) {
    const run = new SlotRun(policy, site, seed);
    await run.start();
    run.startOpenLoad(rateFor(0.5));
    await run.advance(20_000);
    const steadyFromMs = run.nowMs - 10_000;
    const isolated = run.site.host("dc2-h2");
    if (isolatesHost) {
        run.site.network.isolate(isolated.id);
        await run.advance(500);
    }
    const outAtMs = run.nowMs;
    const setOut = (out: readonly string[], version: number) => {
        for (const host of run.site.live.filter(one => !isolatesHost || one !== isolated)) {
            const outDataCentres = new Set(out as DataCentreId[]);
            host.config.set({ ...testView(run.site.settings, version), outDataCentres });
        }
    };
    setOut(["dc1"], 2);
    await run.advance(3000);
    const leaving = run.endpoints.filter(one => one.settings.dataCentre === "dc1" as DataCentreId);
    const receivedBefore = sum(leaving.map(one => one.received));
    await run.advance(17_000);
    const lateWork = sum(leaving.map(one => one.received)) - receivedBefore;
    await Promise.all([...leaving.map(one => one.crash(400)), run.advance(400)]);
    const overloadsBefore = sum(run.endpoints.map(one => one.overloads));
    setOut([], 3);
    await run.advance(15_000);
    const overloads = sum(run.endpoints.map(one => one.overloads)) - overloadsBefore;
    const endMs = run.nowMs - requestDeadlineMs;
    run.stop();
    const steady = attainment(run.records, steadyFromMs, outAtMs);
    return { lateWork, overloads, steady, changing: attainment(run.records, outAtMs, endMs) };
}

async function leavingTable(): Promise<BenchTable> {
    const rows: Row[] = [];
    for (const policy of policies) {
        const connected = [];
        const isolated = [];
        for (const seed of seeds) {
            connected.push(await leavingRun(policy, seed, false));
            isolated.push(await leavingRun(policy, seed, true));
        }
        const steady = sum(connected.map(one => one.steady));
        addRow(rows, [
            policy,
            percent(steady, seeds.length),
            percent(sum(connected.map(one => one.changing)), seeds.length),
            percent(sum(connected.map(one => one.changing)), steady),
            sum(connected.map(one => one.lateWork)),
            sum(isolated.map(one => one.lateWork)),
            sum(connected.map(one => one.overloads)),
        ]);
    }
    return {
        title: "A data centre leaves and returns",
        notes: [
            `Three centres of two hosts and two engines, load 0.5 of the capacity, deadline 5 s, seeds ${seeds}; dc1 is`,
            "out for 20 s and its engines come back cold. Late work: calls to its engines from 3 s after the change; in",
            "the second figure one host was isolated from all others before the change.",
        ],
        columns: [
            "policy",
            "steady attainment",
            "attainment during the change",
            "share of steady attainment",
            "late work",
            "late work, one host isolated",
            "overloading calls on return",
        ],
        rows,
    };
}

/** Drains, stops and restarts every host, one after another. */
async function restartRun(seed: number) {
    const run = new SlotRun("owner slots", site, seed);
    await run.start();
    run.startOpenLoad(rateFor(0.5));
    await run.advance(10_000);
    const fromMs = run.nowMs;
    let cut = 0;
    let notHandedOver = 0;
    for (const id of Object.keys(run.site.settings.hosts)) {
        const host = run.site.host(id);
        run.notReady.add(host.id);
        const drained = host.owner.drain(3000);
        await run.advance(requestDeadlineMs);
        notHandedOver += (await drained).unfinished;
        cut += host.holder.inFlight;
        run.site.kill(id);
        await run.advance(1000);
        run.site.startHost(id);
        await run.advance(4000);
        run.notReady.delete(host.id);
    }
    const toMs = run.nowMs - requestDeadlineMs;
    const overloads = sum(run.endpoints.map(one => one.overloads));
    run.stop();
    return { cut, notHandedOver, overloads, attained: attainment(run.records, fromMs, toMs) };
}

async function restartTable(): Promise<BenchTable> {
    const rows: Row[] = [];
    for (const seed of seeds) {
        const { cut, notHandedOver, overloads, attained } = await restartRun(seed);
        addRow(rows, [seed, cut, notHandedOver, overloads, percent(attained, 1)]);
    }
    return {
        title: "Rolling restart of all hosts",
        notes: ["The same site at load 0.5; each host is drained, stays down for 1 s and starts again."],
        columns: ["seed", "calls interrupted", "endpoints not handed over", "overloading calls", "attainment"],
        rows,
    };
}

/** Measures control traffic in one data centre; each host makes 37 calls per second, spread over the endpoints. */
async function costRun(hosts: number) {
    const shape = { centres: 1, hostsPerCentre: hosts, enginesPerCentre: Math.ceil(hosts * 3.3), warmLimit: 8 };
    const run = new SlotRun("owner slots", shape, 1);
    await run.start();
    run.startOpenLoad(37 * hosts);
    await run.advance(5000);
    const totals = (counts: ReadonlyMap<string, number>, prefix: string) =>
        sum([...counts].filter(([name]) => name.startsWith(prefix)).map(([, count]) => count));
    const read = () => ({
        messages: totals(run.site.network.delivered, ""),
        slotChars: totals(run.site.network.chars, "endpoints."),
        memberChars: totals(run.site.network.chars, "membership."),
        cpuMs: process.cpuUsage().user / 1000,
    });
    const before = read();
    const seconds = 5;
    await run.advance(seconds * 1000);
    const after = read();
    run.stop();
    const perHostAndSecond = (key: keyof typeof before) => (after[key] - before[key]) / seconds / hosts;
    return {
        messages: perHostAndSecond("messages"),
        slot: perHostAndSecond("slotChars"),
        member: perHostAndSecond("memberChars"),
        cpu: perHostAndSecond("cpuMs"),
    };
}

async function costTable(): Promise<BenchTable> {
    const rows: Row[] = [];
    for (const hosts of [4, 8, 16, 32]) {
        const { messages, slot, member, cpu } = await costRun(hosts);
        addRow(rows, [hosts, messages.toFixed(1), Math.round(slot), Math.round(member), (cpu / 10).toFixed(2)]);
    }
    return {
        title: "Control cost of one data centre by hosts",
        notes: [
            "37 calls per second and 3.3 engines for each host; figures per second and host. Bytes are payloads without",
            "HTTP. CPU time is that of the whole simulation, including endpoints and callers.",
        ],
        columns: ["hosts", "messages", "bytes of slots", "bytes of membership", "% of a core"],
        rows,
    };
}

/** Runs the whole experiment and returns its tables. */
export async function benchEndpoints(): Promise<readonly BenchTable[]> {
    return [await coldTable(), await leavingTable(), await restartTable(), await costTable()];
}

/** Runs the experiment and prints its tables: those named in `args`, or all. */
export async function run(args: readonly string[] = []): Promise<void> {
    const tables = { cold: coldTable, leaving: leavingTable, restart: restartTable, cost: costTable };
    for (const [name, makeTable] of Object.entries(tables)) {
        if (args.length === 0 || args.includes(name)) {
            process.stdout.write(`${formatMarkdownTable(await makeTable())}\n`);
        }
    }
}
