/** The faults of the matrix. Each is injected at a step of an operation and ended some seconds later. */
import type { EndpointId } from "../src/common/Types.js";
import { documentVersion, type Operation } from "./Operations.js";
import { proofDocument } from "./ProofDocuments.js";
import { changeId, type ProofSite } from "./ProofSite.js";

export interface Fault {
    readonly name: string;
    /** Runs before the operation starts. */
    prepare?(site: ProofSite, turn: number): Promise<void>;
    /** Injects the fault; the operation continues while a returned promise is pending. */
    inject(site: ProofSite, operation: Operation, turn: number): void | Promise<void>;
    /** Ends the fault. */
    end?(site: ProofSite, operation: Operation, turn: number): void | Promise<void>;
}

const slowFactor = 20;
const failingCalls = 2;
const burstSize = 60;
const changeCount = 200;
const resends = 3;
const warmUpRounds = 20;

export const faults: readonly Fault[] = [
    {
        name: "slow stage",
        inject: site => site.endpoints.forEach(endpoint => endpoint.durationFactor = slowFactor),
        end: site => site.endpoints.forEach(endpoint => endpoint.durationFactor = 1),
    },
    {
        name: "failing stage",
        inject: site => site.endpoints.forEach(endpoint => endpoint.remainingFailures = failingCalls),
        end: site => site.endpoints.forEach(endpoint => endpoint.remainingFailures = 0),
    },
    {
        name: "burst",
        inject: (site, _operation, turn) => {
            for (let at = 0; at < burstSize; at++) {
                const host = site.live[at % site.live.length]!;
                void site.send("profile", host.id, { burst: turn, at }, undefined, "library");
            }
        },
    },
    {
        name: "process death",
        inject: (site, operation) => site.kill(operation.host),
        end: (site, operation) => site.restart(operation.host),
    },
    {
        name: "warm turned cold",
        prepare: warmUp,
        inject: site => {
            site.endpoints.forEach(endpoint => endpoint.turnCold());
            site.endpoints.get("north-encoder")!.restart();
            site.endpoints.get("south-writer")!.restart();
        },
    },
    {
        name: "silent partition of a control host",
        inject: site => site.isolate((site.leader("records") ?? site.host("east-1")).id),
        end: site => site.heal(),
    },
    {
        name: "operators racing with equal numbers",
        inject: async (site, _operation, turn) => {
            // Both changes are based on the same version of the document.
            const baseVersion = documentVersion(site);
            const racers = ["north-1", "east-1"].filter(host => !site.host(host).isDead);
            await Promise.all(racers.map((host, at) =>
                site.change(host, {
                    kind: "put-document",
                    id: changeId(`race-${turn}-${at}`),
                    document: "base",
                    baseVersion,
                    text: proofDocument(1000 + turn * 10 + at),
                })
            ));
        },
    },
    {
        name: "resent change",
        inject: async (site, _operation, turn) => {
            for (let at = 0; at < resends; at++) {
                const host = site.live[at % site.live.length]!;
                await site.change(host.id, {
                    kind: "set-endpoint",
                    id: changeId(`resent-${turn}`),
                    endpoint: "east-encoder" as EndpointId,
                    leaving: true,
                });
            }
        },
        end: (site, _operation, turn) => setLeaving(site, `resent-back-${turn}`, "east-encoder", false),
    },
    {
        name: "second host lost after a repair",
        inject: async (site, operation) => {
            // If the operation itself is a repair, no second disk is lost: two lost disks of three would be a majority.
            if (operation.name !== "repair") {
                site.kill("east-1");
                site.restart("east-1", true);
                await site.clock.sleep(catchUpMs);
            }
            site.kill("north-1");
        },
        end: site => site.restart("north-1"),
    },
    {
        name: "restart after hundreds of changes",
        prepare: async (site, turn) => {
            for (let at = 0; at < changeCount; at++) {
                await setLeaving(site, `many-${turn}-${at}`, "east-encoder", at % 2 === 0);
            }
        },
        inject: site => {
            site.kill("east-1");
            site.restart("east-1");
        },
    },
    {
        name: "request that crashes endpoints, resent",
        inject: async (site, _operation, turn) => {
            for (let at = 0; at < resends; at++) {
                const host = site.live[at % site.live.length]!;
                await Promise.race([
                    site.send("profile", host.id, { crashes: "encoders", turn }),
                    site.clock.sleep(3000),
                ]);
            }
        },
    },
    {
        name: "silent connections",
        inject: site => site.endpoints.forEach(endpoint => endpoint.silence()),
    },
    {
        name: "data centre cut off",
        inject: site => site.partitionDataCentre("north"),
        end: site => site.heal(),
    },
    {
        name: "leaving endpoint",
        inject: async (site, _operation, turn) => {
            const leaving = "north-encoder";
            await setLeaving(site, `leave-${turn}`, leaving, true);
            site.history.closed.push({
                endpoints: [leaving],
                fromMs: site.clock.nowMs(),
                toMs: Number.POSITIVE_INFINITY,
            });
        },
        end: (site, _operation, turn) => {
            site.history.closed.forEach(closed => {
                closed.toMs = Math.min(closed.toMs, site.clock.nowMs());
            });
            return setLeaving(site, `back-${turn}`, "north-encoder", false);
        },
    },
    {
        name: "disk full",
        inject: site => {
            site.diskOf((site.leader("records") ?? site.host("east-1")).id).isFull = true;
        },
        end: site => site.live.forEach(host => site.diskOf(host.id).isFull = false),
    },
];

/** Sends enough requests that every endpoint is warm and the slot owners know it. */
async function warmUp(site: ProofSite, turn: number): Promise<void> {
    for (let at = 0; at < warmUpRounds; at++) {
        const sent = site.live.flatMap(host => [
            site.send("profile", host.id, { warm: turn, at, host: host.id }),
            site.send("hold", host.id, { warm: turn, at, host: host.id, hold: true }, `warm-${turn}-${at}-${host.id}`),
        ]);
        await Promise.race([Promise.all(sent), site.clock.sleep(3000)]);
    }
}

async function setLeaving(site: ProofSite, id: string, endpoint: string, leaving: boolean): Promise<void> {
    const through = site.live.find(host => host.id !== "north-2") ?? site.live[0]!;
    await site.change(through.id, {
        kind: "set-endpoint",
        id: changeId(id),
        endpoint: endpoint as EndpointId,
        leaving,
    });
}

/** Time for a repaired host to catch up, in milliseconds. */
const catchUpMs = 2500;
