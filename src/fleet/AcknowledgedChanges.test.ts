/** Checks that acknowledged changes survive the loss of as many disks as may be lost, while all other hosts lose power. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { catchUpMs, FinalFault, type Victims } from "../../testing/FinalFault.js";

/** Time within which every host must read the newest change once all are back. */
const recoveryMs = 12_000;
/** Number of runs of each case, with the seeds 1, 2, …; FINAL_FAULT_RUNS sets another number. */
const runCount = Number(process.env["FINAL_FAULT_RUNS"] ?? "2");
const victims: readonly Victims[] = ["leader", "longest log", "oldest", "random"];

const groups = [
    { controls: 3, lossesBorne: 1 },
    { controls: 4, lossesBorne: 1 },
    { controls: 6, lossesBorne: 1 },
    { controls: 8, lossesBorne: 2 },
];

const plays: readonly { readonly when: string; readonly play: (run: FinalFault) => Promise<void>; }[] = [
    { when: "at any moment", play: async run => run.loseDisks() },
    {
        when: "and power again while emptied hosts catch up",
        play: async run => {
            await run.loseDisks();
            await run.wait(3000);
            await run.losePower();
        },
    },
    {
        when: "one after another, the longest-lived first",
        play: async run => {
            for (let times = 0; times < 3; times++) {
                await run.wipe(run.victims()[0]!, 1000);
                await run.change(catchUpMs);
            }
            await run.loseDisks();
        },
    },
    {
        when: "while another host has been cut off",
        play: async run => {
            await run.cutOff(run.victims().at(-1)!, 4000);
            await run.loseDisks();
        },
    },
    {
        when: "once the successor of a host that was removed has caught up",
        play: async run => {
            await run.replace(run.victims()[0]!, 2000);
            await run.change(catchUpMs);
            await run.loseDisks();
        },
    },
    {
        // The removed host remained a voter for 2.5 s after its successor had caught up: the group had no majority left.
        when: "2 s after a host was removed whose successor had been added before",
        play: async run => {
            await run.replace(run.victims()[0]!, -2000);
            await run.change(catchUpMs - 2000);
            await run.loseDisks();
        },
    },
    {
        // A voter that was stopped for good remained one until the others noticed its silence.
        when: "as soon as a host was stopped whose successor has caught up",
        play: async run => {
            await run.retire(run.victims()[0]!);
            await run.loseDisks();
        },
    },
];

async function check(run: FinalFault): Promise<void> {
    const { fleet, acknowledged, outAcknowledged } = run;
    await fleet.clock.advance(recoveryMs);
    for (const host of run.names) {
        const text = await fleet.get(host);
        const status = JSON.stringify(fleet.controls.get(host)?.log.status());
        assert.ok(Number(text) >= acknowledged, `${host} reads ${text}, acknowledged was ${acknowledged}: ${status}`);
    }
    const { dataCentresOut } = fleet.leader()!.state;
    outAcknowledged.forEach((isOut, one) => assert.equal(dataCentresOut.includes(one), isOut, `${one} is out`));
}

for (const { when, play } of plays) {
    for (const { controls, lossesBorne } of groups) {
        test(`nothing acknowledged is gone: ${lossesBorne} of ${controls} disks lost ${when}`, async () => {
            for (let seed = 1; seed <= runCount; seed++) {
                const run = new FinalFault({ seed, controls, lossesBorne, victims: victims[(seed + controls) % 4]! });
                await run.begin();
                await play(run);
                await check(run).catch((err: Error) => assert.fail(`seed ${seed}: ${err.message}`));
                await run.fleet.stopAll();
            }
        });
    }
}
