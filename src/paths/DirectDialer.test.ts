/** Checks what a host says of an endpoint that it connects to for another host, without network. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FixedFleet, listed } from "../../testing/FleetFixtures.js";
import { SystemClock } from "../common/SystemClock.js";
import { DirectDialer } from "./DirectDialer.js";

/** What happens to a connection to an endpoint, and after which time; Infinity for never. */
interface Link {
    readonly outcome: "connect" | "refuse";
    readonly afterMs: number;
}

const never: Link = { outcome: "connect", afterMs: Infinity };
const connectIn = (afterMs: number): Link => ({ outcome: "connect", afterMs });
const refuseIn = (afterMs: number): Link => ({ outcome: "refuse", afterMs });

async function dialWith(links: readonly Link[], hasReachedBefore: boolean): Promise<string> {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const endpoints = links.map((_, at) => listed(`e${at}`, { address: `10.0.0.1:${at + 1}` }));
    fleet.set({ endpoints });
    const dialer = new DirectDialer(fleet, clock, (_host, port) => {
        const socket = new Socket();
        const { outcome, afterMs } = links[port - 1]!;
        if (afterMs < Infinity) {
            clock.setTimer(
                afterMs,
                () => socket.emit(...(outcome === "connect" ? ["connect"] : ["error", new Error("no")]) as ["connect"]),
            );
        }
        return socket;
    });
    if (hasReachedBefore) {
        dialer.recordConnected(endpoints[1]!);
        await clock.advance(10);
    }
    let kind = "undecided";
    void dialer.dial("e0").then(result => kind = result.caseOf({ Left: error => error.kind, Right: () => "open" }));
    await clock.advance(400);
    return kind;
}

const cases: readonly {
    readonly name: string;
    readonly links: readonly Link[];
    readonly hasReachedBefore?: boolean;
    readonly kind: string;
}[] = [
    { name: "an endpoint that is reached", links: [connectIn(5), never], kind: "open" },
    { name: "a refusal while another endpoint is reached", links: [refuseIn(1), connectIn(5)], kind: "refused" },
    { name: "a refusal while another is reached slowly", links: [refuseIn(1), connectIn(80)], kind: "refused" },
    { name: "a refusal while no other is reached", links: [refuseIn(1), refuseIn(1)], kind: "unavailable" },
    // Guards against hosts that have just lost their paths and still count as sound.
    {
        name: "a refusal while no other is reached any more",
        links: [refuseIn(1), refuseIn(1)],
        hasReachedBefore: true,
        kind: "unavailable",
    },
    { name: "a time-out while another endpoint is reached at once", links: [never, connectIn(5)], kind: "timeout" },
    {
        name: "a time-out while the nearest is silent too and another is reached",
        links: [never, never, connectIn(5)],
        kind: "timeout",
    },
    // Guards against data centres that are reported as cut off on the word of a slow host.
    { name: "a time-out while others are reached slowly", links: [never, connectIn(60)], kind: "unavailable" },
    {
        name: "a time-out while others are reached slowly, and were reached before",
        links: [never, connectIn(60)],
        hasReachedBefore: true,
        kind: "unavailable",
    },
    { name: "a time-out without another endpoint", links: [never], kind: "unavailable" },
];
for (const { name, links, hasReachedBefore = false, kind } of cases) {
    test(`${name}: ${kind}`, async () => {
        assert.equal(await dialWith(links, hasReachedBefore), kind);
    });
}

// Guards against a stall of the host itself that looks like a time-out of the endpoint.
test("a time-out that is noticed late proves nothing, and a connection made meanwhile is used", async () => {
    let nowMs = 0;
    const timers: (() => void)[] = [];
    const clock = {
        nowMs: () => nowMs,
        wallMs: () => nowMs,
        sleep: async () => undefined,
        setTimer: (_ms: number, callback: () => void) => {
            timers.push(callback);
            return { dispose: () => undefined };
        },
    };
    const fleet = new FixedFleet();
    fleet.set({ endpoints: [listed("e0"), listed("e1")] });
    const sockets: Socket[] = [];
    const dialer = new DirectDialer(fleet, clock, () => {
        const socket = new Socket();
        sockets.push(socket);
        return socket;
    });
    const late = dialer.dial("e0");
    nowMs = 400;
    timers.shift()!();
    timers.shift()!();
    assert.equal((await late).swap().map(one => one.kind).extract(), "unavailable");
    const made = dialer.dial("e0");
    timers.shift()!();
    sockets[1]!.emit("connect");
    assert.equal((await made).isRight(), true);
});

// Guards against an unhandled rejection, which ends the process, for an endpoint or a candidate with a bad port.
test("an endpoint with a port out of range is not reached, and costs no judgement of another one", async () => {
    const fleet = new FixedFleet();
    fleet.set({ endpoints: [listed("odd", { address: "127.0.0.1:99999" }), listed("e1", { address: "127.0.0.1:1" })] });
    const dialer = new DirectDialer(fleet, new SystemClock());
    const kinds = [await dialer.dial("odd"), await dialer.dial("e1")].map(one =>
        one.swap().map(({ kind }) => kind).extract()
    );
    assert.deepEqual(kinds, ["unavailable", "unavailable"]);
});
