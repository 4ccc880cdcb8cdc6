/** Checks the command line through {@link runProgram}: help texts, exit codes and error messages. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { runProgram } from "./Program.js";
import { ExitCode } from "./Types.js";

const examples = new URL("../../../examples/", import.meta.url).pathname;
let dir = "";

before(() => {
    dir = mkdtempSync(join(tmpdir(), "fireflykeel-cli-"));
    writeFileSync(join(dir, "key"), "a key of operators\n");
    writeFileSync(join(dir, "bad.yaml"), "name: x\nhosts: {}\nsurprise: 1\n");
});

after(() => rmSync(dir, { recursive: true, force: true }));

async function runCommand(args: readonly string[]): Promise<{ exit: number; out: string; err: string; }> {
    const out: string[] = [];
    const err: string[] = [];
    const output = { out: (text: string) => out.push(text), err: (text: string) => err.push(text) };
    const exit = await runProgram(["node", "fireflykeel", ...args], output);
    return { exit, out: out.join("\n"), err: err.join("\n") };
}

const commands: readonly (readonly string[])[] = [
    [],
    ["serve"],
    ["standin"],
    ["demo"],
    ["status"],
    ["drain"],
    ["config"],
    ["config", "check"],
    ["config", "render"],
    ["config", "apply"],
    ["config", "show"],
    ["config", "log"],
    ["config", "status"],
    ["dc", "out"],
    ["dc", "in"],
    ["control", "status"],
    ["control", "add"],
    ["control", "remove"],
    ["control", "replace"],
    ["control", "recover"],
    ["jobs", "list"],
    ["jobs", "show"],
    ["jobs", "cancel"],
    ["timeline"],
];

for (const command of commands) {
    test(`help of "${command.join(" ")}" names the exit codes`, async () => {
        const { exit, out } = await runCommand([...command, "--help"]);
        assert.equal(exit, ExitCode.Ok);
        assert.match(out, /Exit codes: 0 done/);
    });
}

const fileCases: { name: string; args: () => string[]; exit: ExitCode; text: RegExp; }[] = [
    {
        name: "the example bramwell is valid",
        args: () => [
            "config",
            "check",
            ...["base", "harbour", "meadow", "quarry"].map(file => `${examples}bramwell/${file}.yaml`),
        ],
        exit: ExitCode.Ok,
        text: /valid: 3 data centres/,
    },
    {
        name: "the example reading is valid",
        args: () => [
            "config",
            "check",
            ...["base", "also", "belso", "csarnok", "domb"].map(file => `${examples}reading/${file}.yaml`),
        ],
        exit: ExitCode.Ok,
        text: /valid: 4 data centres/,
    },
    {
        name: "an unknown key is reported with file, line and path",
        args: () => ["config", "check", join(dir, "bad.yaml")],
        exit: ExitCode.Failed,
        text: /bad\.yaml:3: surprise: unknown key/,
    },
    {
        name: "an unknown command is a usage error",
        args: () => ["conjure"],
        exit: ExitCode.Usage,
        text: /unknown command/,
    },
    {
        name: "a missing argument is a usage error",
        args: () => ["dc", "out", "--key-file", join(dir, "key")],
        exit: ExitCode.Usage,
        text: /missing required argument/,
    },
    {
        name: "a missing option is a usage error",
        args: () => ["dc", "out"],
        exit: ExitCode.Usage,
        text: /required option '--key-file/,
    },
    {
        name: "a command without a host to call is a usage error",
        args: () => ["status", "--key-file", join(dir, "key")],
        exit: ExitCode.Usage,
        text: /name the hosts to ask/,
    },
    {
        name: "a missing key file is reported",
        args: () => ["status", "--key-file", join(dir, "nokey"), "--address", "127.0.0.1:9"],
        exit: ExitCode.Unavailable,
        text: /key file can't be read/,
    },
    {
        name: "a host that refuses connections is unavailable",
        args: () => ["status", "--key-file", join(dir, "key"), "--address", "127.0.0.1:9"],
        exit: ExitCode.Unavailable,
        text: /ECONNREFUSED/,
    },
    {
        name: "a recovery without --accept-loss is a usage error",
        args: () => ["control", "recover", "--data-dir", dir, "--host", "h1"],
        exit: ExitCode.Usage,
        text: /--accept-loss/,
    },
    {
        name: "a recovery of a directory without replicas fails",
        args: () => ["control", "recover", "--data-dir", dir, "--host", "h1", "--accept-loss"],
        exit: ExitCode.Failed,
        text: /holds no replica/,
    },
    {
        name: "serve without a host fails",
        args: () => ["serve", "--config", `${examples}demo/base.yaml`],
        exit: ExitCode.Failed,
        text: /name the host that this process is/,
    },
];

for (const row of fileCases) {
    test(row.name, async () => {
        const { exit, out, err } = await runCommand(row.args());
        assert.equal(exit, row.exit, err);
        assert.match(`${out}\n${err}`, row.text);
    });
}

const replies: { status: number; body: string; exit: ExitCode; }[] = [
    { status: 200, body: "{\"version\":3}", exit: ExitCode.Ok },
    { status: 401, body: "", exit: ExitCode.Failed },
    { status: 409, body: "{\"outcome\":\"conflict\"}", exit: ExitCode.Failed },
    { status: 422, body: "{\"outcome\":\"invalid\"}", exit: ExitCode.Failed },
    { status: 503, body: "{\"outcome\":\"not-accepted\"}", exit: ExitCode.Unavailable },
    { status: 504, body: "{\"outcome\":\"unknown\"}", exit: ExitCode.Unknown },
];

for (const row of replies) {
    test(`status ${row.status} gives exit code ${row.exit}, after a host that can't be reached`, async () => {
        const server = http.createServer((req, res) => {
            req.resume();
            res.writeHead(row.status).end(row.body);
        });
        await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const target = ["--key-file", join(dir, "key"), "--address", "127.0.0.1:9", address];
        const { exit } = await runCommand(["dc", "out", "north", "--id", "c1", ...target]);
        server.close();
        assert.equal(exit, row.exit);
    });
}

test("a lost reply gives the exit code for an unknown outcome", async () => {
    const server = http.createServer(req => req.socket.destroy());
    await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const { exit } = await runCommand(["dc", "in", "north", "--key-file", join(dir, "key"), "--address", address]);
    server.close();
    assert.equal(exit, ExitCode.Unknown);
});
