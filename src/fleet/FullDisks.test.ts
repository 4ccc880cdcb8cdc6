/**
 * Checks that changes are acknowledged again after the disks of control hosts were full, one after another and never two
 * at once, while all processes went on running.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetCluster } from "../../testing/FleetCluster.js";
import { SeededRandom } from "../common/SeededRandom.js";

/** FULL_DISK_RUNS sets another number of runs of each case, with the seeds 1, 2, … */
const runCount = Number(process.env["FULL_DISK_RUNS"] ?? "2");
const groups = [
    { controls: 3, lossesBorne: 1 },
    { controls: 4, lossesBorne: 1 },
    { controls: 5, lossesBorne: 2 },
    { controls: 6, lossesBorne: 2 },
    { controls: 8, lossesBorne: 2 },
];
/** Time after the last disk has room again within which each control host acknowledges changes. */
const recoveryMs = 6000;

type Next = "random" | "leader" | "back";

const orders: readonly { readonly name: string; readonly next: Next; }[] = [
    { name: "any host", next: "random" },
    { name: "the leader of the moment", next: "leader" },
    { name: "the hosts in turn, with no pause between them", next: "back" },
];

class Run {
    private readonly fleet: FleetCluster;
    private readonly random: SeededRandom;
    private readonly names: readonly string[];
    private version = 0;
    private acknowledged = 0;

    public constructor(controls: number, lossesBorne: number, seed: number, private readonly next: Next) {
        this.names = Array.from({ length: controls }, (_, at) => `c${at + 1}`);
        this.fleet = new FleetCluster(this.names.slice(0, 3), lossesBorne);
        this.fleet.compaction = { compactEntries: 6, keepEntries: 2 };
        this.random = new SeededRandom(seed);
    }

    public async play(): Promise<void> {
        this.names.forEach(name => this.fleet.startControl(name, true));
        await this.fleet.clock.advance(6000);
        for (let times = 0; times < 2 * this.names.length; times++) {
            const disk = this.fleet.controls.get(this.victim(times))!.disk;
            disk.takenWhenFull = this.random.next() < 0.5 ? 0 : this.random.next();
            disk.isFull = true;
            await this.change(1000 + this.random.below(4000));
            disk.isFull = false;
            if (this.next !== "back") {
                await this.change(this.random.below(3000));
            }
        }
        await this.change(recoveryMs);
        for (const name of this.names) {
            this.version += 1;
            assert.ok(await this.fleet.put(name, this.version), `a change through ${name} is not acknowledged`);
            assert.equal(await this.fleet.get(name), String(this.version));
        }
        await this.fleet.stopAll();
    }

    /** Puts configurations through random hosts for a time; no acknowledged one may be lost. */
    private async change(forMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < forMs;) {
            this.version += 1;
            const version = this.version;
            const host = this.fleet.controls.get(this.names[this.random.below(this.names.length)]!)!;
            void host.operator.handle({ kind: "put-config", text: String(version) }).then(({ kind }) => {
                if (kind === "done") {
                    this.acknowledged = Math.max(this.acknowledged, version);
                }
            });
            const pauseMs = 100 + this.random.below(500);
            await this.fleet.clock.advance(pauseMs);
            passedMs += pauseMs;
        }
        const known = Math.max(...[...this.fleet.controls.values()].map(one => one.state.version));
        assert.ok(known >= this.acknowledged, `version ${this.acknowledged} was acknowledged, ${known} is known`);
    }

    private victim(times: number): string {
        const leader = this.fleet.leader()?.id;
        if (this.next === "leader" && leader !== undefined) {
            return leader;
        }
        return this.names[this.next === "back" ? times % this.names.length : this.random.below(this.names.length)]!;
    }
}

for (const { controls, lossesBorne } of groups) {
    for (const { name, next } of orders) {
        // Guards against changes that are refused or stay unanswered after disks had room again (report of an operator).
        test(`${controls} control hosts take changes again after disks were full: ${name}`, async () => {
            for (let seed = 1; seed <= runCount; seed++) {
                await new Run(controls, lossesBorne, seed, next).play();
            }
        });
    }
}
