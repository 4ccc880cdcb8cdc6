/** Hosts of a config group, with and without replicas, over the fakes for network, disk and clock. */
import { Left, Right } from "purify-ts";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { ChangeId, DataCentreId, HostId } from "../src/common/Types.js";
import { ConfigClient } from "../src/config/ConfigClient.js";
import { ConfigGroup } from "../src/config/ConfigGroup.js";
import { ConfigState } from "../src/config/ConfigState.js";
import type { Settings } from "../src/config/Schema.js";
import type { ConfigChange, DocumentChecker, DocumentName } from "../src/config/Types.js";
import { RaftLog } from "../src/replication/RaftLog.js";
import type { CompactionLimits } from "../src/replication/Replica.js";
import { FakeClock } from "./FakeClock.js";
import { FakeDisk } from "./FakeDisk.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { MemoryLog } from "./MemoryLog.js";
import { testTiming } from "./RaftCluster.js";

/**
 * Replaces the real checker: a document is a line of words; the word "bad" is invalid, and base and overlay must not
 * both contain "alone". The settings have the data centres north, south and east and one endpoint, "e1".
 */
export const wordChecker: DocumentChecker = (base, overlays) => {
    const faulty = Object.entries({ base, ...overlays }).filter(([, text]) => text.includes("bad"));
    const clashing = Object.entries(overlays).filter(([, text]) => text.includes("alone") && base.includes("alone"));
    const issues = [...faulty, ...clashing].map(([file]) => ({ file, line: 1, path: "", message: "bad word" }));
    if (issues.length > 0) {
        return Left({ kind: "invalid-config", issues });
    }
    const dataCentres = { north: {}, south: {}, east: {} };
    const settingsOf = (site: string) =>
        ({ name: `${base}+${overlays[site] ?? ""}`, dataCentres, endpoints: { e1: {} } }) as unknown as Settings;
    return Right(Object.fromEntries(Object.keys(dataCentres).map(site => [site, settingsOf(site)])));
};

/** A host with a replica of the config group. */
export interface ControlHost {
    readonly id: HostId;
    readonly disk: FakeDisk;
    readonly raft: RaftLog;
    readonly state: ConfigState;
    readonly config: ConfigGroup;
    readonly stop: AbortController;
}

/** A host without a replica, which reads the configuration from others. */
export interface ClientHost {
    readonly id: HostId;
    readonly config: ConfigClient;
    readonly stop: AbortController;
}

export class ConfigCluster {
    public readonly clock = new FakeClock();
    public readonly network: FakeNetwork;
    public readonly log = new MemoryLog();
    public readonly controls = new Map<string, ControlHost>();
    public readonly clients = new Map<string, ClientHost>();
    private starts = 0;

    public constructor(private readonly seed: number, private readonly voters: readonly string[]) {
        this.network = new FakeNetwork(this.clock, seed);
    }

    public startControl(
        name: string,
        site: string,
        seeds: Readonly<Record<DocumentName, string>> = {},
        disk: FakeDisk = new FakeDisk(),
        compaction?: CompactionLimits,
    ): ControlHost {
        const self = name as HostId;
        const peers = this.network.addHost(self);
        const state = new ConfigState();
        const shared = { self, transport: peers, registry: peers, clock: this.clock, random: this.random() };
        const log = this.log.with({ host: name });
        const raft = new RaftLog({
            ...shared,
            group: "config",
            initialMembers: { voters: this.voters as HostId[], learners: [] },
            disk,
            dir: "data",
            log,
            stateMachine: state,
            timing: testTiming,
            ...(compaction === undefined ? {} : { compaction }),
        });
        const options = { ...shared, site: site as DataCentreId, raft, state, checker: wordChecker, log, seeds };
        const config = new ConfigGroup({ ...options, clockDriftMs: 50 });
        const stop = new AbortController();
        void raft.run(stop.signal);
        void config.run(stop.signal);
        const host = { id: self, disk, raft, state, config, stop };
        this.controls.set(name, host);
        return host;
    }

    public startClient(name: string, site: string, peers: readonly string[] = []): ClientHost {
        const self = name as HostId;
        const network = this.network.addHost(self);
        const config = new ConfigClient({
            self,
            site: site as DataCentreId,
            controlHosts: () => this.voters as HostId[],
            peers: () => peers as HostId[],
            checker: wordChecker,
            transport: network,
            registry: network,
            clock: this.clock,
            random: this.random(),
            log: this.log.with({ host: name }),
        });
        const stop = new AbortController();
        void config.run(stop.signal);
        const host = { id: self, config, stop };
        this.clients.set(name, host);
        return host;
    }

    /** Kills a host's process. Returns the disk of a control host as the next start finds it, else undefined. */
    public crash(name: string): FakeDisk | undefined {
        const control = this.controls.get(name);
        const disk = control?.disk.crash();
        this.network.kill(name as HostId);
        (control ?? this.clients.get(name))?.stop.abort();
        this.controls.delete(name);
        this.clients.delete(name);
        return disk;
    }

    /** Returns the control host that leads with a quorum, if there is one. */
    public leader(): ControlHost | undefined {
        return [...this.controls.values()].find(host => host.raft.status().hasQuorum);
    }

    /** Advances the clock until the condition holds; returns false if it does not within `withinMs`. */
    public async until(condition: () => boolean, withinMs: number = 20_000): Promise<boolean> {
        for (let waited = 0; waited <= withinMs; waited += 20) {
            if (condition()) {
                return true;
            }
            await this.clock.advance(20);
        }
        return condition();
    }

    /** Advances the clock until the promise is fulfilled; throws if it is not within `withinMs`. */
    public async settle<T>(promise: Promise<T>, withinMs: number = 30_000): Promise<T> {
        let result: { value: T; } | undefined;
        void promise.then(value => {
            result = { value };
        });
        if (!await this.until(() => result !== undefined, withinMs)) {
            throw new Error("the promise was not fulfilled in time");
        }
        return result!.value;
    }

    public async stopAll(): Promise<void> {
        [...this.controls.values(), ...this.clients.values()].forEach(host => host.stop.abort());
        await this.clock.advance(20);
    }

    private random(): SeededRandom {
        this.starts += 1;
        return new SeededRandom(this.seed * 1000 + this.starts);
    }
}

export function putDocument(id: string, document: string, baseVersion: number, text: string): ConfigChange {
    return { kind: "put-document", id: id as ChangeId, document, baseVersion, text };
}
