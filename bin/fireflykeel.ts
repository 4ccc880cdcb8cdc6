#!/usr/bin/env node
/** Entry point of the fireflykeel command line; see src/cli/Program.ts. */
import { PlatformCommandLine } from "../platform/CommandLine.js";
import { runProgram } from "../src/cli/Program.js";
import { SystemClock } from "../src/common/SystemClock.js";

process.exitCode = await runProgram(process.argv, {
    out: text => process.stdout.write(`${text}\n`),
    err: text => process.stderr.write(`${text}\n`),
}, new PlatformCommandLine(new SystemClock()));
