/**
 * Crowds of callers' connections at an entry host: more than its descriptors, with more pipelined requests than it can
 * hold, silent, incomplete, or closed early. Checked is only that the process lives within its memory, that descriptors
 * are left for its own connections, and that an ordinary caller is served afterwards.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { CrowdSite, type CrowdSiteOptions } from "../../proof/CrowdSite.js";

/** Memory of an entry host on the smallest machines. */
const maxResidentBytes = 250e6;
/** Limit of descriptors of each process. */
const maxDescriptors = 400;
/** The other quarter is left for endpoints, peers, control hosts, readiness checks, storage and logs. */
const maxUsedDescriptors = 300;
/** Descriptors that may be in use after a crowd beyond those before it. */
const descriptorSlack = 12;
/** Of the descriptors that the `maxDescriptors` setting gives, this number is reserved by the platform. */
const reservedDescriptors = 200;
const callerLimits = {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15_000,
};
/** The crowd stays for this long after the last of it has been sent. */
const stayMs = 3000;
const leaveAfterMs = 500;
const endpointSilenceMs = 1500;
const ordinaryPauseMs = 500;
/** As `stopGraceS` of the site: a process that is still running then is killed. */
const stopGraceMs = 8000;
const pollMs = 100;
const maxSettlePolls = 300;

type Crowd = (crowd: CrowdSite) => Promise<void>;

function headOf(id: string, extra: string = "Content-Length: 0"): string {
    return `POST /idempotent/crowd HTTP/1.1\r\nHost: h.example\r\nFireflykeel-Request-Id: ${id}\r\n`
        + `Fireflykeel-Deadline-Ms: 4000\r\n${extra}\r\n\r\n`;
}

const silent = "";
const partOfHead = headOf("part").slice(0, 60);
const partOfBody = `${headOf("part", "Content-Length: 100000")}${"b".repeat(1000)}`;
/** A whole head of 15 KB. */
const longHead = (id: string) => headOf(id, `X-Filler: ${"f".repeat(15_000)}\r\nContent-Length: 0`);

const pipelined = (requests: number, at: number, head: (id: string) => string = headOf) =>
    Array.from({ length: requests }, (_, number) => head(`crowd-${at}-${number}`)).join("");

/** Opens connections that each send a text, and lets a share of them leave early. */
function openAll(
    crowd: CrowdSite,
    count: number,
    textOf: (at: number) => string,
    leavers: (at: number) => boolean = () => false,
): void {
    for (let at = 0; at < count; at++) {
        const socket = crowd.connect(crowd.site.callerAddress(crowd.entry));
        socket.write(textOf(at));
        if (leavers(at)) {
            crowd.clock.setTimer(leaveAfterMs, () => socket.resetAndDestroy());
        }
    }
}

const stay: Crowd = crowd => crowd.clock.sleep(stayMs);

const pipelines: Crowd = async crowd => {
    openAll(crowd, 60, at => pipelined(2000, at));
    await stay(crowd);
};

const unreadPipelines: Crowd = async crowd => {
    for (let at = 0; at < 60; at++) {
        const socket = crowd.connect(crowd.site.callerAddress(crowd.entry));
        socket.pause();
        socket.write(pipelined(2000, at));
    }
    await stay(crowd);
};

const longHeads: Crowd = async crowd => {
    openAll(crowd, 60, at => pipelined(100, at, longHead));
    await stay(crowd);
};

const partsOfLongHeads: Crowd = async crowd => {
    openAll(crowd, 1000, at => longHead(`crowd-${at}`).slice(0, 15_000));
    await stay(crowd);
};

const earlyLeavers: Crowd = async crowd => {
    crowd.site.endpoints.forEach(endpoint => crowd.site.silence(endpoint, endpointSilenceMs));
    openAll(crowd, 600, at => headOf(`crowd-${at}`), at => at % 2 === 0);
    await stay(crowd);
};

const parts: Crowd = async crowd => {
    openAll(crowd, 600, at => at % 2 === 0 ? partOfBody : partOfHead, at => at % 3 === 0);
    await stay(crowd);
};

const silence: Crowd = async crowd => {
    openAll(crowd, 600, () => silent);
    await stay(crowd);
};

/** Connections that had a request each and are then kept. */
const idle: Crowd = async crowd => {
    openAll(crowd, 600, at => headOf(`crowd-${at}`));
    await stay(crowd);
};

const mixed: Crowd = async crowd => {
    openAll(crowd, 30, at => pipelined(2000, at));
    openAll(crowd, 200, at => headOf(`mixed-${at}`), at => at % 2 === 0);
    openAll(crowd, 200, at => at % 2 === 0 ? partOfBody : partOfHead, at => at % 3 === 0);
    openAll(crowd, 200, () => silent);
    await stay(crowd);
};

/** Sends ordinary requests, one after the other, until the work has ended; returns their statuses. */
async function ordinaryDuring(crowd: CrowdSite, work: Promise<void>): Promise<number[]> {
    const statuses: number[] = [];
    let isOver = false;
    const ended = work.finally(() => isOver = true);
    while (!isOver) {
        statuses.push(await crowd.request());
        await crowd.clock.sleep(ordinaryPauseMs);
    }
    await ended;
    return statuses;
}

/** Lets a crowd come and leave, and checks the entry host. */
async function checkCrowd(t: TestContext, crowd: CrowdSite, play: Crowd): Promise<void> {
    const work = play(crowd);
    const ordinary = ordinaryDuring(crowd, work);
    const peak = await crowd.watch(crowd.entry, work);
    t.diagnostic(`peak ${Math.round(peak.residentBytes / 1e6)} MB, ${peak.descriptors} descriptors`);
    await crowd.leave();
    t.diagnostic(`ordinary requests meanwhile: ${(await ordinary).join(" ")}`);
    assert.ok(crowd.site.processes.isRunning(crowd.entry), "the process has ended");
    assert.ok(peak.residentBytes < maxResidentBytes, `${peak.residentBytes} bytes of memory`);
    assert.ok(peak.descriptors <= maxUsedDescriptors, `${peak.descriptors} descriptors`);
    assert.equal(await crowd.requestUntilServed(), 200);
    assert.ok(crowd.site.processes.isRunning(crowd.entry), "the process has ended");
}

async function withSite(options: CrowdSiteOptions, check: (crowd: CrowdSite) => Promise<void>): Promise<void> {
    const crowd = new CrowdSite({ callerLimits, ...options });
    try {
        await crowd.start();
        await check(crowd);
    }
    finally {
        await crowd.stop();
    }
    crowd.removeLogs();
}

interface Row {
    readonly name: string;
    readonly play: Crowd;
    /** In place of a limit of descriptors for each process. */
    readonly options?: Partial<CrowdSiteOptions>;
}

const rows: readonly Row[] = [
    { name: "60 connections with 2,000 pipelined requests each", play: pipelines },
    { name: "60 connections with 2,000 pipelined requests each that read no answer", play: unreadPipelines },
    { name: "60 connections with 100 pipelined heads of 15 KB each", play: longHeads },
    { name: "1,000 connections with a part of a head of 15 KB", play: partsOfLongHeads },
    { name: "600 requests at once, half of the callers leave", play: earlyLeavers },
    { name: "600 connections with a part of a body or a head, a third leaves", play: parts },
    { name: "600 silent connections", play: silence },
    {
        name: "600 silent connections, with the limit of descriptors in the settings",
        play: silence,
        options: { settings: { maxDescriptors: maxDescriptors + reservedDescriptors } },
    },
    { name: "600 connections that are kept after a request", play: idle },
    { name: "pipelined, incomplete, silent and early connections at once", play: mixed },
];

for (const { name, play, options = { maxDescriptors } } of rows) {
    // Guards against a process that callers end, by its memory or by the last descriptor, or leave without descriptors.
    test(`an entry host outlives ${name}`, async t => {
        await withSite({ net: 90, ...options }, crowd => checkCrowd(t, crowd, play));
    });
}

// Guards against connections, timers or buffers of a crowd that has left and that the next one adds to.
test("a crowd that comes twice leaves nothing behind", async t => {
    await withSite({ net: 90, maxDescriptors }, async crowd => {
        const usedDescriptors = () => crowd.site.processes.usage(crowd.entry)?.descriptors ?? Infinity;
        const before = usedDescriptors();
        await checkCrowd(t, crowd, mixed);
        await checkCrowd(t, crowd, mixed);
        for (let polls = 0; polls < maxSettlePolls && usedDescriptors() > before + descriptorSlack; polls++) {
            await crowd.clock.sleep(pollMs);
        }
        t.diagnostic(`${before} descriptors before, ${usedDescriptors()} after`);
        assert.ok(usedDescriptors() <= before + descriptorSlack, `${usedDescriptors()} of ${before} descriptors`);
    });
});

// Guards against a planned stop that waits for callers who never end, or that a crowd turns into a crash.
test("a planned stop ends by itself while a crowd stays", async t => {
    await withSite({ net: 90, maxDescriptors }, async crowd => {
        const { processes } = crowd.site;
        const untilStopped = async () => {
            openAll(crowd, 10, at => pipelined(200, at));
            openAll(crowd, 60, at => at % 2 === 0 ? partOfBody : partOfHead, at => at % 3 === 0);
            openAll(crowd, 60, () => silent);
            await crowd.clock.sleep(leaveAfterMs);
        };
        const peak = await crowd.watch(crowd.entry, untilStopped());
        processes.signal(crowd.entry, "SIGTERM");
        const untilMs = crowd.clock.nowMs() + stopGraceMs;
        while (processes.isRunning(crowd.entry) && crowd.clock.nowMs() < untilMs) {
            const usage = processes.usage(crowd.entry);
            peak.residentBytes = Math.max(peak.residentBytes, usage?.residentBytes ?? 0);
            peak.descriptors = Math.max(peak.descriptors, usage?.descriptors ?? 0);
            await crowd.clock.sleep(pollMs);
        }
        processes.signal(crowd.entry, "SIGKILL");
        t.diagnostic(`peak ${Math.round(peak.residentBytes / 1e6)} MB, ${peak.descriptors} descriptors`);
        assert.equal(processes.exitCode(crowd.entry), 0);
        assert.ok(peak.residentBytes < maxResidentBytes, `${peak.residentBytes} bytes of memory`);
        assert.ok(peak.descriptors <= maxUsedDescriptors, `${peak.descriptors} descriptors`);
        await crowd.leave();
        crowd.site.startHost(crowd.entry, false);
        assert.equal(await crowd.requestUntilServed(), 200);
    });
});
