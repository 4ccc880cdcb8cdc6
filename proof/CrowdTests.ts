/**
 * A crowd at one server of one host. Bounds are fixed: resident memory within that of the host's machine, and a quarter
 * of the descriptors free.
 */
import assert from "node:assert/strict";
import { CrowdSite } from "./CrowdSite.js";
import type { FleetSite } from "./FleetSite.js";
import { type Flood, pour, putConfigs } from "./ServerCrowds.js";

const firstNet = 100;
const maxDescriptors = 400;
const maxOpenDescriptors = 300;
/** An entry host's process and a control host's, on the platform's machines. */
const maxResidentBytes = { entry: 250e6, control: 340e6 };
/** How long the crowd stays. */
const stayMs = 3000;
const requestPauseMs = 500;

type ServerName = "operator" | "peer" | "ready" | "metrics";

export interface CrowdRow {
    readonly name: string;
    readonly role: "entry" | "control";
    readonly server: ServerName;
    readonly connections: number;
    readonly flood: Flood;
    /** Size of the configuration in force, in bytes; undefined for that of the site. */
    readonly configBytes?: number;
}

export interface LargeConfigRow {
    readonly name: string;
    readonly rounds: number;
    /** Number of configurations that are in progress at the same time. */
    readonly atOnce: number;
    /** Size of each. */
    readonly bytes: number;
}

/** What a test of the row is called. */
export function titleOf({ role, server, name }: CrowdRow): string {
    return `${role} host, ${server} server: ${name}`;
}

/** Checks that the process lives within its bounds, and serves an operator and a caller afterwards. */
export async function checkCrowd(row: CrowdRow): Promise<void> {
    const crowd = new CrowdSite({ net: firstNet, maxDescriptors });
    try {
        await crowd.start();
        if (row.configBytes !== undefined) {
            const address = crowd.site.operatorAddress(crowd.control);
            assert.equal(await putConfigs(address, 1, row.configBytes), undefined);
        }
        await playCrowd(crowd, row.role === "entry" ? crowd.entry : crowd.control, row);
    }
    finally {
        await crowd.stop();
    }
    crowd.removeLogs();
}

/** Checks that a control host lives within its bounds and acknowledges all configurations. */
export async function checkLargeConfigs({ name, rounds, atOnce, bytes }: LargeConfigRow): Promise<void> {
    const crowd = new CrowdSite({ net: firstNet, maxDescriptors });
    const faults: (string | undefined)[] = [];
    const putAll = async () => {
        for (let round = 0; round < rounds; round++) {
            faults.push(await putConfigs(crowd.site.operatorAddress(crowd.control), atOnce, bytes));
        }
    };
    try {
        await crowd.start();
        const peak = await crowd.watch(crowd.control, putAll());
        const ended = endedProcesses(crowd);
        const figures = `peak ${inMb(peak.residentBytes)} MB, ${faults.join("; ")}, logs in ${crowd.folder}`;
        console.log(`${name}: ${figures}`);
        assert.deepEqual(ended, [], figures);
        assert.ok(peak.residentBytes < maxResidentBytes.control, figures);
        assert.deepEqual(faults, Array.from({ length: rounds }), figures);
    }
    finally {
        await crowd.stop();
    }
    crowd.removeLogs();
}

async function playCrowd(crowd: CrowdSite, host: string, row: CrowdRow): Promise<void> {
    const { name, role, server, connections, flood } = row;
    const address = addressOf(crowd.site, host, server);
    const statuses: number[] = [];
    const stay = async () => {
        for (let at = 0; at < connections; at++) {
            const socket = crowd.connect(address);
            socket.once("connect", () => pour(socket, flood));
        }
        const untilMs = crowd.clock.nowMs() + stayMs;
        while (crowd.clock.nowMs() < untilMs) {
            statuses.push(await crowd.request());
            await crowd.clock.sleep(requestPauseMs);
        }
    };
    const peak = await crowd.watch(host, stay());
    const stayed = crowd.openConnections;
    await crowd.leave();
    const served = await crowd.requestUntilServed();
    const fault = await putConfigs(crowd.site.operatorAddress(crowd.control), 1);
    const ended = endedProcesses(crowd);
    const figures = [
        `peak ${inMb(peak.residentBytes)} MB, ${peak.descriptors} descriptors`,
        `${stayed} of ${connections} connections stayed`,
        `callers meanwhile ${statuses.join(" ")}, afterwards ${served}`,
        `configuration ${fault ?? "put"}, logs in ${crowd.folder}`,
    ].join(", ");
    console.log(`${role}, ${server}, ${name}: ${figures}`);
    assert.deepEqual(ended, [], figures);
    assert.ok(peak.residentBytes < maxResidentBytes[role], figures);
    assert.ok(peak.descriptors <= maxOpenDescriptors, figures);
    assert.equal(served, 200, figures);
    assert.equal(fault, undefined, figures);
}

function endedProcesses({ site }: CrowdSite): readonly string[] {
    return site.processes.names.filter(one => !site.processes.isRunning(one));
}

function inMb(bytes: number): number {
    return Math.round(bytes / 1e6);
}

function addressOf(site: FleetSite, host: string, server: ServerName) {
    switch (server) {
        case "operator":
            return site.operatorAddress(host);
        case "peer":
            return site.peerAddress(host);
        case "ready":
            return site.readyAddress(host);
        case "metrics":
            return site.metricsAddress(host);
    }
}
