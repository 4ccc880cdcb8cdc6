/**
 * Checks that invalid documents are refused with the file, line and path of the fault, and that documents are merged
 * as specified. The example configurations must be valid.
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { basename, resolve } from "node:path";
import { test } from "node:test";
import { checkDocuments, loadSettings, mergeDocuments } from "./Loader.js";
import type { ConfigError, ConfigIssue } from "./Types.js";

const examples = resolve(import.meta.dirname, "../../../examples");

const validBase = `name: site
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

/** The valid base with one piece of text replaced; the piece must occur in it. */
function replaced(from: string, to: string): string {
    assert.ok(validBase.includes(from), from);
    return validBase.replace(from, to);
}

interface InvalidInput {
    readonly name: string;
    readonly base?: string;
    readonly overlays?: Record<string, string>;
    /** An issue that must be reported, as "file:line path: part of the message". */
    readonly issue: string;
}

/** Two voters in the data centre east, which are a majority of the three voters with n1. */
const voters = `
    x1: { dataCentre: east, callerAddress: "127.0.0.9:1", peerAddress: "127.0.0.9:2", control: voter }
    x2: { dataCentre: east, callerAddress: "127.0.0.9:3", peerAddress: "127.0.0.9:4", control: voter }
`;

const invalidInputs: readonly InvalidInput[] = [
    { name: "an empty document", base: "", issue: "base:1 : is empty" },
    { name: "a document with only a comment", base: "# no settings\n", issue: "base:1 : is empty" },
    { name: "a list at the top level", base: "- a\n- b\n", issue: "base:1 : must be a map" },
    { name: "broken YAML", base: "name: [a\nhosts: {}\n", issue: "base:2 : " },
    { name: "two documents", base: `${validBase}---\nname: other\n`, issue: "base:21 : more than one document" },
    { name: "a duplicate key", base: `${validBase}name: again\n`, issue: "base:21 : Map keys must be unique" },
    {
        name: "a duplicate key in a list",
        base: replaced("name: check,", "name: check, name: x,"),
        issue: "base:17 : Map keys must be unique",
    },
    {
        name: "aliases that expand without bound",
        base: `a: &a [x, x, x, x, x, x, x, x]\nb: &b [${"*a, ".repeat(20)}]\nc: &c [${"*b, ".repeat(20)}]\n`
            + `d: [${"*c, ".repeat(20)}]\n`,
        issue: "base:1 : Excessive alias count",
    },
    {
        name: "an unknown alias",
        base: replaced("workspaces:", "x: *nobody\nworkspaces:"),
        issue: `base:19 : alias "nobody" has no anchor`,
    },
    { name: "an unknown key", base: `${validBase}extra: 1\n`, issue: "base:21 extra: unknown key" },
    { name: "the key __proto__", base: `${validBase}__proto__: { a: 1 }\n`, issue: "base:21 __proto__: unknown key" },
    {
        name: "an unknown key in a list",
        base: replaced("pool: engines, model: m }", "pool: engines, model: m, retry: 3 }"),
        issue: "base:17 pipelines.hold.stages[0].retry: unknown key",
    },
    {
        name: "a missing key",
        base: replaced("deadlineMs: 5000", "priority: 1"),
        issue: "base:14 pipelines.hold.deadlineMs: expected number",
    },
    {
        name: "a string in place of a number",
        base: replaced("deadlineMs: 5000", "deadlineMs: soon"),
        issue: "base:15 pipelines.hold.deadlineMs: expected number",
    },
    {
        name: "a time below its bound",
        base: replaced("deadlineMs: 5000", "deadlineMs: 0"),
        issue: "base:15 pipelines.hold.deadlineMs: >=1",
    },
    {
        name: "a number in place of a string",
        base: replaced("version: v1", "version: 1"),
        issue: "base:12 models.m.version: expected string",
    },
    {
        name: "a list in place of a map",
        base: replaced("    w: {}", "    - w"),
        issue: "base:19 workspaces: expected record",
    },
    {
        name: "null in place of a map",
        base: replaced("    w: {}", "    w:"),
        issue: "base:20 workspaces.w: expected object",
    },
    {
        name: "an invalid id",
        base: replaced("    w: {}", `    "w w": {}`),
        issue: "base:20 workspaces.w w: key must be",
    },
    {
        name: "an unknown kind",
        base: replaced("kind: service", "kind: butler"),
        issue: "base:10 endpoints.b1.kind: expected one of",
    },
    {
        name: "a host name in place of an IP address",
        base: replaced("127.0.0.3:2", "localhost:2"),
        issue: "base:10 endpoints.b1.address: IP address",
    },
    {
        name: "a port out of range",
        base: replaced("127.0.0.3:2", "127.0.0.3:70000"),
        issue: "base:10 endpoints.b1.address: not a valid address",
    },
    {
        name: "an octet out of range",
        base: replaced("127.0.0.3:2", "127.0.0.300:2"),
        issue: "base:10 endpoints.b1.address: not a valid address",
    },
    {
        name: "hosts that share an address",
        base: replaced("127.0.0.2:1", "127.0.0.1:2"),
        issue: "base:7 hosts.s1.callerAddress: also the address of hosts.n1.peerAddress",
    },
    {
        name: "a host in an unknown data centre",
        base: replaced("s1: { dataCentre: south", "s1: { dataCentre: west"),
        issue: `base:7 hosts.s1.dataCentre: "west" is not in dataCentres`,
    },
    {
        name: "an endpoint in an unknown data centre",
        base: replaced("b1: { dataCentre: south", "b1: { dataCentre: west"),
        issue: `base:10 endpoints.b1.dataCentre: "west" is not in dataCentres`,
    },
    {
        name: "a data centre without a host",
        base: replaced("    south: { region: r }", "    south: { region: r }\n    west: { region: r }"),
        issue: "base:5 dataCentres.west: has no host",
    },
    {
        name: "a cold limit above the warm limit",
        base: replaced("pool: booking, warmLimit: 8", "pool: booking, coldLimit: 9, warmLimit: 8"),
        issue: "base:10 endpoints.b1.coldLimit: above warmLimit",
    },
    {
        name: "a model on a service",
        base: replaced("pool: booking, warmLimit", "pool: booking, models: [m], warmLimit"),
        issue: "base:10 endpoints.b1.models: has no models",
    },
    {
        name: "an unknown model on an engine",
        base: replaced("models: [m]", "models: [m, mm]"),
        issue: `base:9 endpoints.e1.models[1]: model "mm" is not in models`,
    },
    {
        name: "an unknown model in a stage",
        base: replaced("model: m }", "model: mm }"),
        issue: `base:17 pipelines.hold.stages[0].model: "mm" is not in models`,
    },
    {
        name: "a model that no endpoint of the pool serves",
        base: replaced("models: [m]", "models: []"),
        issue: `base:17 pipelines.hold.stages[0].model: no endpoint of pool "engines" serves`,
    },
    {
        name: "a pool without endpoints",
        base: replaced("pool: booking, idempotent", "pool: bookings, idempotent"),
        issue: `base:18 pipelines.hold.stages[1].pool: no endpoint is in pool "bookings"`,
    },
    {
        name: "a pool with endpoints of two kinds",
        base: replaced("pool: booking, warmLimit", "pool: engines, warmLimit"),
        issue: "base:10 endpoints.b1.kind: holds endpoints of kind engine",
    },
    {
        name: "a duplicate stage name",
        base: replaced("name: place", "name: check"),
        issue: "base:18 pipelines.hold.stages[1].name: appears more than once",
    },
    {
        name: "two stages that are not idempotent",
        base: replaced("model: m }", "model: m, idempotent: false }"),
        issue: "base:16 pipelines.hold.stages: more than one",
    },
    {
        name: "a hedge on a stage that is not idempotent",
        base: replaced("idempotent: false", "idempotent: false, hedge: true"),
        issue: "base:18 pipelines.hold.stages[1].hedge: can't be hedged",
    },
    {
        name: "a stream before the last stage",
        base: replaced("model: m }", "model: m, stream: true }"),
        issue: "base:17 pipelines.hold.stages[0].stream: only the last",
    },
    { name: "no voter", base: replaced(", control: voter", ""), issue: "base:5 hosts: no host is a voter" },
    {
        name: "a majority of voters in one data centre",
        base: replaced("    south: { region: r }", "    south: { region: r }\n    east: { region: r }")
            .replace("endpoints:\n", `${voters.slice(1)}endpoints:\n`),
        issue: "base:5 dataCentres.east: no majority",
    },
    {
        name: "an election timeout below the heartbeat",
        base: `${validBase}timing: { electionMs: 200 }\n`,
        issue: "base:21 timing.electionMs: 3 times groupHeartbeatMs",
    },
    {
        name: "a daemon section in a committed document",
        base: `${validBase}daemon: { host: n1 }\n`,
        issue: "base:21 daemon: belongs to one process",
    },
    {
        name: "an overlay without a data centre",
        overlays: { west: "limits: {}\n" },
        issue: `west:1 : no data centre "west"`,
    },
    {
        name: "an invalid value in an overlay",
        overlays: { north: "# ours\nlimits:\n    bodyBytes: -1\n" },
        issue: "north:3 limits.bodyBytes: >=1",
    },
    {
        name: "an invalid value in a list of an overlay",
        overlays: { south: "pipelines:\n    hold:\n        stages:\n            - { name: check }\n" },
        issue: "south:4 pipelines.hold.stages[0].pool: expected string",
    },
    {
        name: "an overlay that removes the endpoint of a stage",
        overlays: { south: "endpoints:\n    b1: null\n" },
        issue: `base:18 pipelines.hold.stages[1].pool: no endpoint is in pool "booking"`,
    },
    {
        name: "an overlay that removes a key that is not set",
        overlays: { south: "endpoints:\n    b2: null\n" },
        issue: "south:2 endpoints.b2: the key is not set",
    },
    {
        name: "an overlay that changes a host",
        overlays: { south: `hosts:\n    s1: { peerAddress: "127.0.0.2:3" }\n` },
        issue: "south:1 hosts: same on every site",
    },
];

function reportedIssues(input: InvalidInput): readonly ConfigIssue[] {
    return checkDocuments(input.base ?? validBase, input.overlays ?? {}).caseOf<readonly ConfigIssue[]>({
        Left: (err: ConfigError) => err.issues,
        Right: () => [],
    });
}

for (const input of invalidInputs) {
    test(`checkDocuments refuses ${input.name}`, () => {
        const end = input.issue.indexOf(": ");
        const place = input.issue.slice(0, end);
        const message = input.issue.slice(end + 2);
        const issues = reportedIssues(input);
        const issuesAtPlace = issues.filter(issue => `${issue.file}:${issue.line} ${issue.path}` === place);
        assert.ok(issuesAtPlace.some(issue => issue.message.includes(message)), JSON.stringify(issues));
    });
}

test("checkDocuments returns the settings of each data centre", () => {
    const sites = checkDocuments(validBase, { south: "limits:\n    queuedRequests: 7\n" }).unsafeCoerce();
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
    { name: "an undefined overlay changes nothing", base: { a: 1 }, overlay: undefined, merged: { a: 1 } },
];

for (const row of merges) {
    test(`mergeDocuments: ${row.name}`, () => assert.deepEqual(mergeDocuments(row.base, row.overlay), row.merged));
}

for (const site of ["bramwell", "reading"]) {
    test(`the example ${site} is valid with each of its overlays`, () => {
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
