import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { basename, resolve } from "node:path";
import { test } from "node:test";
import { checkDocuments, loadSettings, mergeDocuments } from "./Loader.js";
import type { ConfigError, ConfigIssue } from "./Types.js";

const examples = resolve(import.meta.dirname, "../../../examples");

const good = `name: site
dataCentres:
    north: { region: r }
    south: { region: r }
hosts:
    n1: { dataCentre: north, callerAddress: "127.0.0.1:1", peerAddress: "127.0.0.1:2", control: voter }
    s1: { dataCentre: south, callerAddress: "127.0.0.2:1", peerAddress: "127.0.0.2:2" }
endpoints:
    e1: { dataCentre: north, address: "127.0.0.3:1", kind: engine, pool: engines, models: [m], warmLimit: 8 }
    b1: { dataCentre: south, address: "127.0.0.3:2", kind: service, pool: booking, warmLimit: 8 }
models:
    m: { bytes: 1, version: v1 }
pipelines:
    hold:
        deadlineMs: 5000
        stages:
            - { name: check, pool: engines, model: m }
            - { name: place, pool: booking, idempotent: false }
workspaces:
    w: {}
`;

/** The document with one piece of text replaced; the piece must be there. */
function changed(from: string, to: string): string {
    assert.ok(good.includes(from), from);
    return good.replace(from, to);
}

interface BadInput {
    readonly name: string;
    readonly base?: string;
    readonly overlays?: Record<string, string>;
    /** The issue that must be among those reported, as "file:line path: part of the message". */
    readonly issue: string;
}

const voters = `
    x1: { dataCentre: east, callerAddress: "127.0.0.9:1", peerAddress: "127.0.0.9:2", control: voter }
    x2: { dataCentre: east, callerAddress: "127.0.0.9:3", peerAddress: "127.0.0.9:4", control: voter }
`;

const badInputs: readonly BadInput[] = [
    { name: "nothing at all", base: "", issue: "base:1 : is empty" },
    { name: "only a comment", base: "# no settings\n", issue: "base:1 : is empty" },
    { name: "a list at the top", base: "- a\n- b\n", issue: "base:1 : must be a map" },
    { name: "broken YAML", base: "name: [a\nhosts: {}\n", issue: "base:2 : " },
    { name: "two documents", base: `${good}---\nname: other\n`, issue: "base:21 : more than one document" },
    { name: "a duplicate key", base: `${good}name: again\n`, issue: "base:21 : Map keys must be unique" },
    {
        name: "a duplicate key in a list",
        base: changed("name: check,", "name: check, name: x,"),
        issue: "base:17 : Map keys must be unique",
    },
    {
        name: "aliases that multiply",
        base: `a: &a [x, x, x, x, x, x, x, x]\nb: &b [${"*a, ".repeat(20)}]\nc: &c [${"*b, ".repeat(20)}]\n`
            + `d: [${"*c, ".repeat(20)}]\n`,
        issue: "base:1 : Excessive alias count",
    },
    {
        name: "an unknown alias",
        base: changed("workspaces:", "x: *nobody\nworkspaces:"),
        issue: `base:19 : alias "nobody" has no anchor`,
    },
    { name: "an unknown key", base: `${good}extra: 1\n`, issue: "base:21 extra: unknown key" },
    { name: "the key __proto__", base: `${good}__proto__: { a: 1 }\n`, issue: "base:21 __proto__: unknown key" },
    {
        name: "an unknown key in a list",
        base: changed("pool: engines, model: m }", "pool: engines, model: m, retry: 3 }"),
        issue: "base:17 pipelines.hold.stages[0].retry: unknown key",
    },
    {
        name: "a key missing",
        base: changed("deadlineMs: 5000", "priority: 1"),
        issue: "base:14 pipelines.hold.deadlineMs: expected number",
    },
    {
        name: "a text for a number",
        base: changed("deadlineMs: 5000", "deadlineMs: soon"),
        issue: "base:15 pipelines.hold.deadlineMs: expected number",
    },
    {
        name: "a time below its bound",
        base: changed("deadlineMs: 5000", "deadlineMs: 0"),
        issue: "base:15 pipelines.hold.deadlineMs: >=1",
    },
    {
        name: "a number for a text",
        base: changed("version: v1", "version: 1"),
        issue: "base:12 models.m.version: expected string",
    },
    { name: "a list for a map", base: changed("    w: {}", "    - w"), issue: "base:19 workspaces: expected record" },
    { name: "null for a map", base: changed("    w: {}", "    w:"), issue: "base:20 workspaces.w: expected object" },
    { name: "a bad id", base: changed("    w: {}", `    "w w": {}`), issue: "base:20 workspaces.w w: key must be" },
    {
        name: "an unknown kind",
        base: changed("kind: service", "kind: butler"),
        issue: "base:10 endpoints.b1.kind: expected one of",
    },
    {
        name: "a host name for an address",
        base: changed("127.0.0.3:2", "localhost:2"),
        issue: "base:10 endpoints.b1.address: IP number",
    },
    {
        name: "a port out of range",
        base: changed("127.0.0.3:2", "127.0.0.3:70000"),
        issue: "base:10 endpoints.b1.address: no possible address",
    },
    {
        name: "an octet out of range",
        base: changed("127.0.0.3:2", "127.0.0.300:2"),
        issue: "base:10 endpoints.b1.address: no possible address",
    },
    {
        name: "hosts that share an address",
        base: changed("127.0.0.2:1", "127.0.0.1:2"),
        issue: "base:7 hosts.s1.callerAddress: also the address of hosts.n1.peerAddress",
    },
    {
        name: "a host in an unknown data centre",
        base: changed("s1: { dataCentre: south", "s1: { dataCentre: west"),
        issue: `base:7 hosts.s1.dataCentre: "west" is not in dataCentres`,
    },
    {
        name: "an endpoint in an unknown data centre",
        base: changed("b1: { dataCentre: south", "b1: { dataCentre: west"),
        issue: `base:10 endpoints.b1.dataCentre: "west" is not in dataCentres`,
    },
    {
        name: "a data centre without a host",
        base: changed("    south: { region: r }", "    south: { region: r }\n    west: { region: r }"),
        issue: "base:5 dataCentres.west: has no host",
    },
    {
        name: "a cold limit above the warm one",
        base: changed("pool: booking, warmLimit: 8", "pool: booking, coldLimit: 9, warmLimit: 8"),
        issue: "base:10 endpoints.b1.coldLimit: above warmLimit",
    },
    {
        name: "a model on a service",
        base: changed("pool: booking, warmLimit", "pool: booking, models: [m], warmLimit"),
        issue: "base:10 endpoints.b1.models: has no models",
    },
    {
        name: "an unknown model on an engine",
        base: changed("models: [m]", "models: [m, mm]"),
        issue: `base:9 endpoints.e1.models[1]: model "mm" is not in models`,
    },
    {
        name: "an unknown model in a stage",
        base: changed("model: m }", "model: mm }"),
        issue: `base:17 pipelines.hold.stages[0].model: "mm" is not in models`,
    },
    {
        name: "a model that no endpoint of the pool serves",
        base: changed("models: [m]", "models: []"),
        issue: `base:17 pipelines.hold.stages[0].model: no endpoint of pool "engines" serves`,
    },
    {
        name: "a pool without endpoints",
        base: changed("pool: booking, idempotent", "pool: bookings, idempotent"),
        issue: `base:18 pipelines.hold.stages[1].pool: no endpoint is in pool "bookings"`,
    },
    {
        name: "a pool of two kinds",
        base: changed("pool: booking, warmLimit", "pool: engines, warmLimit"),
        issue: "base:10 endpoints.b1.kind: holds endpoints of kind engine",
    },
    {
        name: "a stage twice",
        base: changed("name: place", "name: check"),
        issue: "base:18 pipelines.hold.stages[1].name: there already",
    },
    {
        name: "two stages that are not idempotent",
        base: changed("model: m }", "model: m, idempotent: false }"),
        issue: "base:16 pipelines.hold.stages: more than one",
    },
    {
        name: "a hedge on a stage that is not idempotent",
        base: changed("idempotent: false", "idempotent: false, hedge: true"),
        issue: "base:18 pipelines.hold.stages[1].hedge: can't be hedged",
    },
    {
        name: "a stream before the last stage",
        base: changed("model: m }", "model: m, stream: true }"),
        issue: "base:17 pipelines.hold.stages[0].stream: only the last",
    },
    { name: "no voter", base: changed(", control: voter", ""), issue: "base:5 hosts: no host is a voter" },
    {
        name: "a majority of voters in one data centre",
        base: changed("    south: { region: r }", "    south: { region: r }\n    east: { region: r }")
            .replace("endpoints:\n", `${voters.slice(1)}endpoints:\n`),
        issue: "base:5 dataCentres.east: no majority",
    },
    {
        name: "an election timeout below the heartbeat",
        base: `${good}timing: { electionMs: 200 }\n`,
        issue: "base:21 timing.electionMs: 3 times groupHeartbeatMs",
    },
    { name: "a daemon's section for all", base: `${good}daemon: { host: n1 }\n`, issue: "base:21 daemon: one process" },
    { name: "an overlay for nobody", overlays: { west: "limits: {}\n" }, issue: `west:1 : no data centre "west"` },
    {
        name: "a fault in an overlay",
        overlays: { north: "# ours\nlimits:\n    bodyBytes: -1\n" },
        issue: "north:3 limits.bodyBytes: >=1",
    },
    {
        name: "a fault in an overlay's list",
        overlays: { south: "pipelines:\n    hold:\n        stages:\n            - { name: check }\n" },
        issue: "south:4 pipelines.hold.stages[0].pool: expected string",
    },
    {
        name: "an overlay that removes what a stage needs",
        overlays: { south: "endpoints:\n    b1: null\n" },
        issue: `base:18 pipelines.hold.stages[1].pool: no endpoint is in pool "booking"`,
    },
    {
        name: "an overlay that removes what is not there",
        overlays: { south: "endpoints:\n    b2: null\n" },
        issue: "south:2 endpoints.b2: there is none",
    },
    {
        name: "an overlay that moves a host",
        overlays: { south: `hosts:\n    s1: { peerAddress: "127.0.0.2:3" }\n` },
        issue: "south:1 hosts: same on every site",
    },
];

function reported(input: BadInput): readonly ConfigIssue[] {
    return checkDocuments(input.base ?? good, input.overlays ?? {}).caseOf<readonly ConfigIssue[]>({
        Left: (err: ConfigError) => err.issues,
        Right: () => [],
    });
}

for (const input of badInputs) {
    test(`checkDocuments refuses ${input.name}`, () => {
        const end = input.issue.indexOf(": ");
        const place = input.issue.slice(0, end);
        const message = input.issue.slice(end + 2);
        const issues = reported(input);
        const there = issues.filter(issue => `${issue.file}:${issue.line} ${issue.path}` === place);
        assert.ok(there.some(issue => issue.message.includes(message)), JSON.stringify(issues));
    });
}

test("checkDocuments gives each data centre its own settings", () => {
    const sites = checkDocuments(good, { south: "limits:\n    queuedRequests: 7\n" }).unsafeCoerce();
    assert.deepEqual(Object.keys(sites), ["north", "south"]);
    assert.equal(sites["north"]?.limits.queuedRequests, 2000);
    assert.equal(sites["south"]?.limits.queuedRequests, 7);
});

test("loadSettings names a file that can't be read", () => {
    loadSettings("/nowhere/base.yaml", []).caseOf({
        Left: err => assert.match(err.issues[0]?.message ?? "", /can't be read/),
        Right: () => assert.fail(),
    });
});

const merges: { name: string; base: unknown; overlay: unknown; merged: unknown; }[] = [
    { name: "maps merge", base: { a: { b: 1 } }, overlay: { a: { c: 2 } }, merged: { a: { b: 1, c: 2 } } },
    { name: "lists replace", base: { a: [1, 2] }, overlay: { a: [3] }, merged: { a: [3] } },
    { name: "null removes", base: { a: 1, b: 2 }, overlay: { a: null }, merged: { b: 2 } },
    { name: "a map replaces a value", base: { a: 1 }, overlay: { a: { b: 1 } }, merged: { a: { b: 1 } } },
    { name: "a value replaces a map", base: { a: { b: 1 } }, overlay: { a: 1 }, merged: { a: 1 } },
    { name: "nothing changes nothing", base: { a: 1 }, overlay: undefined, merged: { a: 1 } },
];

for (const row of merges) {
    test(`mergeDocuments: ${row.name}`, () => assert.deepEqual(mergeDocuments(row.base, row.overlay), row.merged));
}

for (const site of ["bramwell", "reading"]) {
    test(`the example ${site} passes, with each of its overlays`, () => {
        const folder = resolve(examples, site);
        const files = readdirSync(folder).filter(file => file !== "base.yaml");
        const overlays = Object.fromEntries(
            files.map(file => [basename(file, ".yaml"), readFileSync(resolve(folder, file), "utf8")]),
        );
        const checked = checkDocuments(readFileSync(resolve(folder, "base.yaml"), "utf8"), overlays);
        assert.ok(checked.isRight(), JSON.stringify(checked.extract()));
        for (const settings of Object.values(checked.unsafeCoerce())) {
            assert.equal(Object.keys(settings.hosts).length, 8);
            assert.equal(Object.keys(settings.workspaces).length, 5);
        }
        for (const file of files) {
            const loaded = loadSettings(resolve(folder, "base.yaml"), [resolve(folder, file)]);
            assert.ok(loaded.isRight(), JSON.stringify(loaded.extract()));
        }
    });
}
