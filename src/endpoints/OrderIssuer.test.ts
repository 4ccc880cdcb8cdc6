/** Tests that at most one host issues orders to engines, also when hosts are cut off from the lease. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Either, Left, Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeLeases } from "../../testing/FakeLeases.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import type { DataCentreId, EndpointId, HostId, ModelId } from "../common/Types.js";
import type { EngineLink } from "./EngineLink.js";
import { OrderIssuer } from "./OrderIssuer.js";
import type { OrderError } from "./Types.js";
import type { EngineStateMessage, OrderMessage } from "./Wire.js";

const engine = "e1" as EndpointId;
const load = { kind: "load-model", model: "m1" as ModelId, version: "v2" } as const;

/** An engine that records the time and the fencing number of each order. */
class FakeEngine implements EngineLink {
    public readonly orders: { readonly fencing: number; readonly atMs: number; }[] = [];
    public readonly timeouts: number[] = [];
    private highest = 0;

    public constructor(private readonly clock: FakeClock, private readonly checksFencing: boolean) {}

    public async order(_: EndpointId, message: OrderMessage, timeoutMs: number): Promise<Either<OrderError, void>> {
        this.timeouts.push(timeoutMs);
        if (this.checksFencing && message.fencing < this.highest) {
            return Left({ kind: "fenced", message: "old number" });
        }
        this.highest = Math.max(this.highest, message.fencing);
        this.orders.push({ fencing: message.fencing, atMs: this.clock.nowMs() });
        return Right(undefined);
    }

    public async state(): Promise<EngineStateMessage | undefined> {
        return { incarnation: "e1.1", role: "both", models: [], adapters: [], fencing: this.highest };
    }
}

function startTestBed(checksFencing: boolean) {
    const clock = new FakeClock();
    const leases = new FakeLeases(clock);
    const link = new FakeEngine(clock, checksFencing);
    const stop = new AbortController();
    const start = (id: string) => {
        const service = leases.serviceOf(id as HostId, clock);
        const dataCentre = "north" as DataCentreId;
        const issuer = new OrderIssuer({ dataCentre, leases: service, link, clock, log: new MemoryLog() });
        void issuer.run(stop.signal);
        return issuer;
    };
    return { clock, leases, link, start, stop: () => stop.abort() };
}

test("one host issues orders at a time, after earlier orders have settled", async () => {
    const { clock, link, start, stop } = startTestBed(false);
    const first = start("north-1");
    const second = start("north-2");
    assert.equal((await first.issue(engine, load, 1000)).swap().toMaybe().extract()?.kind, "no-lease");
    await clock.advance(3000);
    assert.deepEqual([first.isIssuer, second.isIssuer], [true, false]);
    assert.ok((await first.issue(engine, load, 1000)).isRight());
    assert.equal((await second.issue(engine, load, 1000)).swap().toMaybe().extract()?.kind, "no-lease");
    assert.equal(link.orders.length, 1);
    stop();
});

for (const checksFencing of [true, false]) {
    test(`an issuer cut off from the lease sends no order after its successor, engine ${checksFencing ? "checks" : "ignores"} numbers`, async () => {
        const { clock, leases, link, start, stop } = startTestBed(checksFencing);
        const old = start("north-1");
        await clock.advance(3000);
        assert.equal(old.isIssuer, true);
        const next = start("north-2");
        leases.cutOff.add("north-1" as HostId);
        await clock.advance(80_000);
        assert.equal(next.isIssuer, true);
        assert.ok((await next.issue(engine, load, 1000)).isRight());
        const late = await old.issue(engine, load, 1000);
        assert.equal(late.swap().toMaybe().extract()?.kind, "no-lease");
        assert.deepEqual(link.orders.map(one => one.fencing), [2]);
        stop();
    });
}

test("at most one host may issue orders at any time, whichever host is cut off", async () => {
    const { clock, leases, start, stop } = startTestBed(false);
    const issuers = [start("north-1"), start("north-2"), start("north-3")];
    for (let round = 0; round < 200; round += 1) {
        const host = `north-${1 + (round * 7) % 3}` as HostId;
        if (round % 5 === 0) {
            leases.cutOff.clear();
            leases.cutOff.add(host);
        }
        await clock.advance(1500);
        assert.ok(issuers.filter(issuer => issuer.isIssuer).length <= 1);
    }
    stop();
});

test("an order's timeout ends before the lease", async () => {
    const { clock, leases, link, start, stop } = startTestBed(false);
    const issuer = start("north-1");
    await clock.advance(3000);
    leases.cutOff.add("north-1" as HostId);
    await clock.advance(50_000);
    await issuer.issue(engine, load, 60_000);
    assert.ok(link.timeouts[0]! < 10_000, `${link.timeouts[0]} ms`);
    stop();
});
