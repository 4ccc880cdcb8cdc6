#!/usr/bin/env node
/** Entry point of the fireflykeel command line; see src/cli/Program.ts. */
import { runProgram } from "../src/cli/Program.js";

process.exitCode = await runProgram(process.argv, {
    out: text => process.stdout.write(`${text}\n`),
    err: text => process.stderr.write(`${text}\n`),
});
