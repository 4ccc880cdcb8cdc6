/** Checks what a host reports that can't reach an endpoint, while the hosts that it asks for help are slow. */
import assert from "node:assert/strict";
import { after, test } from "node:test";
import { Left } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import {
    centreId,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    serviceId,
    silentLog,
    testNotices,
} from "../../testing/FleetFixtures.js";
import { listenWithoutAccepting } from "../../testing/SilentListener.js";
import { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { EndpointPaths } from "../paths/EndpointPaths.js";
import type { TunnelError } from "../peer/TunnelClient.js";
import { EndpointExchange, type ExchangeOptions } from "./EndpointExchange.js";
import { EndpointTracker } from "./EndpointTracker.js";

const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

const stepMs = 20;
const maxSteps = 200;

/** Answers of the hosts that are asked; after `afterMs` of the caller's time limit, "unavailable" takes its place. */
interface Helpers {
    readonly name: string;
    readonly kind: TunnelError["kind"];
    readonly afterMs: number;
    readonly cutOff: readonly string[];
    readonly reports: readonly boolean[];
}

/** Sends a request to an endpoint whose address never answers, and returns what the host reports of it. */
async function reportsWith({ kind, afterMs, cutOff }: Helpers): Promise<readonly boolean[]> {
    const clock = new FakeClock();
    await clock.advance(10_000);
    const fleet = new FixedFleet();
    const listener = await listenWithoutAccepting("127.0.0.1:0");
    closers.push(() => void listener.stop());
    const tunnels = {
        open: async (_host: unknown, _target: unknown, timeoutMs: number) => {
            await clock.sleep(Math.min(afterMs, timeoutMs));
            return Left<TunnelError>({ kind: afterMs < timeoutMs ? kind : "unavailable", message: kind });
        },
        confirmsEnd: async () => false,
    };
    const hosts = entryHosts(4);
    const dialer = { reaches: async () => false, recordConnected: () => undefined };
    const common = { fleet, clock, log: silentLog, metrics: noMetrics };
    const paths = new EndpointPaths({ ...common, self: hosts[0]!.host, dataCentre: centreId("a"), dialer, tunnels });
    const connections = new EndpointConnections(
        { addressOf: () => listener.address, connectMs: () => 500 },
        clock,
        4000,
        paths,
    );
    closers.push(() => connections.dispose());
    const notices = testNotices(clock);
    const tracker = new EndpointTracker(fleet, notices, clock, silentLog, () => undefined);
    fleet.set({
        hosts,
        endpoints: [listed("e1", { dataCentre: centreId("b") })],
        cutOff: new Set(cutOff.map(centreId)),
    });
    const attempt = tracker.startAttempt(tracker.usable(serviceId("s"))[0]!, undefined);
    let isOver = false;
    const exchange = new EndpointExchange(
        {
            head: { method: "POST", target: "/" },
            headers: [],
            attempt,
            connections,
            notices,
            clock,
            signal: new AbortController().signal,
            mayRepeat: () => true,
        } as unknown as ExchangeOptions,
    );
    const ended = exchange.run().then(outcome => {
        attempt.recordOutcome(outcome);
        isOver = true;
    });
    for (let step = 0; step < maxSteps && !isOver; step++) {
        await clock.advance(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.ok(isOver, "the attempt has not ended");
    await ended;
    return fleet.reachReports.map(one => one.isReached);
}

// Guards against data centres that are reported as cut off by a host that is cut off itself, beside busy hosts.
const cases: readonly Helpers[] = [
    { name: "do not reply in time", kind: "refused", afterMs: 1000, cutOff: [], reports: [] },
    { name: "reach no endpoint themselves", kind: "unavailable", afterMs: 5, cutOff: [], reports: [] },
    { name: "are refused by the endpoint", kind: "refused", afterMs: 5, cutOff: [], reports: [] },
    {
        name: "are not asked, since the data centre is told to be cut off",
        kind: "timeout",
        afterMs: 5,
        cutOff: ["b"],
        reports: [],
    },
    { name: "are sound and meet time-outs too", kind: "timeout", afterMs: 105, cutOff: [], reports: [false] },
];
for (const one of cases) {
    test(`a time-out is ${one.reports.length > 0 ? "" : "not "}reported when other hosts ${one.name}`, async () => {
        assert.deepEqual(await reportsWith(one), one.reports);
    });
}
