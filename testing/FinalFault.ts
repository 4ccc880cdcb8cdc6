/**
 * A fleet's control hosts over the fakes, with an operator that changes the configuration all the time, until as many
 * disks as may be lost are lost while all other hosts lose power. All choices come from one seed.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { DataCentreId, HostId } from "../src/common/Types.js";
import { FakeDisk } from "./FakeDisk.js";
import { FleetCluster } from "./FleetCluster.js";

/** Time after whose start a host may be expected to hold everything, in milliseconds. */
export const catchUpMs = 4000;

/** Which disks are lost. */
export type Victims = "leader" | "longest log" | "oldest" | "random";

interface FinalFaultOptions {
    readonly seed: number;
    readonly controls: number;
    readonly lossesBorne: number;
    readonly victims: Victims;
}

export class FinalFault {
    public readonly fleet: FleetCluster;
    /** Newest version that was acknowledged. */
    public acknowledged = 0;
    /** Data centres whose newest order was acknowledged, and whether it took them out. */
    public readonly outAcknowledged = new Map<string, boolean>();
    private readonly random: SeededRandom;
    private readonly startedMs = new Map<string, number>();
    /** Data centres with an order that has not been answered. */
    private readonly openOrders = new Set<string>();
    private version = 0;

    public constructor(private readonly options: FinalFaultOptions) {
        const { seed, controls, lossesBorne } = options;
        this.random = new SeededRandom(seed);
        const names = Array.from({ length: controls }, (_, at) => `c${at + 1}`);
        this.fleet = new FleetCluster(names.slice(0, 3), lossesBorne);
        this.fleet.compaction = { compactEntries: 6 + this.random.below(30), keepEntries: 1 + this.random.below(4) };
        Object.assign(this.fleet.network.faults, { minDelayMs: 0.5, maxDelayMs: 1 + this.random.below(20) });
        names.forEach(name => this.start(name, true, new FakeDisk()));
    }

    public get names(): readonly string[] {
        return [...this.fleet.controls.keys()];
    }

    /** Waits until the group has its voters, and begins to change the configuration. */
    public async begin(): Promise<void> {
        await this.fleet.clock.advance(6000);
        await this.change(600);
    }

    /** Changes the configuration for a while, through any host, several changes at a time. */
    public async change(durationMs: number): Promise<void> {
        const { clock } = this.fleet;
        const untilMs = clock.nowMs() + durationMs;
        while (clock.nowMs() < untilMs) {
            this.order();
            await clock.advance(Math.min(5 + this.random.below(120), untilMs - clock.nowMs()));
        }
    }

    /** Lets up to `maxMs` pass without changes. */
    public async wait(maxMs: number): Promise<void> {
        await this.fleet.clock.advance(this.random.below(maxMs));
    }

    /** One host loses power and its disk. */
    public async wipe(name: string, downMs: number): Promise<void> {
        this.fleet.crash(name);
        await this.change(downMs);
        this.start(name, false, new FakeDisk());
    }

    /** Removes a host for good; another one is started `gapMs` later or, if negative, earlier. */
    public async replace(name: string, gapMs: number): Promise<void> {
        const startSuccessor = () => this.start("successor", false, new FakeDisk());
        if (gapMs < 0) {
            startSuccessor();
            await this.change(-gapMs);
            this.fleet.crash(name);
            return;
        }
        this.fleet.crash(name);
        await this.change(gapMs);
        startSuccessor();
    }

    /** Starts a successor, waits until it has caught up, and stops a host for good, as planned. */
    public async retire(name: string): Promise<void> {
        const { fleet } = this;
        this.start("successor", false, new FakeDisk());
        await this.change(catchUpMs);
        const drained = fleet.controls.get(name)!.groupManager.drain(8000).then(() => true);
        while (!await Promise.race([drained, this.change(10).then(() => false)])) {
            continue;
        }
        fleet.crash(name);
    }

    /** Cuts a host off from all others, for up to `maxMs` of changes and until the power is lost. */
    public async cutOff(name: string, maxMs: number): Promise<void> {
        this.fleet.network.isolate(name as HostId);
        await this.change(this.random.below(maxMs));
    }

    /** The hosts, those first whose disks are lost first. */
    public victims(): readonly string[] {
        const { fleet, startedMs } = this;
        const leader = fleet.leader();
        const voters: readonly string[] = leader?.log.status().members.voters ?? [];
        const keys: Record<Victims, (name: string) => number> = {
            "leader": name => name === leader?.id ? 0 : 1,
            "longest log": name => -(fleet.controls.get(name)?.log.status().lastIndex ?? 0),
            "oldest": name => startedMs.get(name) ?? 0,
            "random": () => 0,
        };
        const ranked = this.names.map(name => {
            const key = keys[this.options.victims](name);
            return { name, ranks: [key, voters.includes(name) ? 0 : 1, this.random.next()] };
        });
        const compare = (a: readonly number[], b: readonly number[]) =>
            a.map((rank, at) => rank - b[at]!).find(difference => difference !== 0) ?? 0;
        return ranked.sort((a, b) => compare(a.ranks, b.ranks)).map(({ name }) => name);
    }

    /** All hosts lose power shortly after a change was sent, as many as may be their disks as well, and start again. */
    public async loseDisks(): Promise<void> {
        this.order();
        await this.wait(this.random.next() < 0.5 ? 30 : 400);
        await this.losePower(this.victims().slice(0, this.options.lossesBorne));
    }

    /** All hosts lose power, and start again with the disks as they are then found, or with empty ones. */
    public async losePower(emptied: readonly string[] = []): Promise<void> {
        const { fleet, random } = this;
        const disks = this.names.map(name => [name, fleet.crash(name, { kind: "random", random })] as const);
        fleet.network.heal();
        await fleet.clock.advance(600);
        for (const [name, disk] of disks) {
            this.start(name, false, emptied.includes(name) ? new FakeDisk() : disk);
            await this.wait(100);
        }
    }

    private start(name: string, isFirstStart: boolean, disk: FakeDisk): void {
        const { clock } = this.fleet;
        disk.gate = async operation => {
            if (operation === "sync" || operation === "syncDir") {
                await clock.sleep(0.5 + this.random.below(8));
            }
            return true;
        };
        this.startedMs.set(name, clock.nowMs());
        this.fleet.startControl(name, isFirstStart, disk);
    }

    /** Sends one change to any host, without waiting for its end. */
    private order(): void {
        const { random } = this;
        const operator = this.fleet.controls.get(this.names[random.below(this.names.length)]!)?.operator;
        const dataCentre = `dc${random.below(3)}` as DataCentreId;
        if (random.next() < 0.15 && !this.openOrders.has(dataCentre)) {
            const isOut = random.next() < 0.5;
            this.openOrders.add(dataCentre);
            this.outAcknowledged.delete(dataCentre);
            void operator?.handle({ kind: "set-data-centre", dataCentre, isOut }).then(({ kind }) => {
                this.openOrders.delete(dataCentre);
                return kind === "done" && this.outAcknowledged.set(dataCentre, isOut);
            });
            return;
        }
        this.version += 1 + random.below(3);
        const version = this.version;
        void operator?.handle({ kind: "put-config", text: String(version) }).then(({ kind }) => {
            this.acknowledged = kind === "done" ? Math.max(this.acknowledged, version) : this.acknowledged;
        });
    }
}
