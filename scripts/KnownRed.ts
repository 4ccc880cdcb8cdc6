/**
 * Reads KNOWN-RED.txt, the list of tests that fail for a known fault that is not fixed yet, and evaluates test runs
 * against it. One entry per line, with fields separated by " | ": test name, command and seed, what was seen, issue.
 * "#" starts a comment. A command that begins with "beside load: " marks a test that fails only beside other load, and one
 * that begins with "older Node.js: " a test that fails only with the HTTP parser of some supported versions of Node.js.
 */

/** One entry of the list. */
export interface KnownRedEntry {
    /** The test's exact name, "file > test > subtest". */
    readonly test: string;
    readonly command: string;
    /** What was seen when the test failed. */
    readonly seen: string;
    readonly issue: string;
}

export interface TestVerdict {
    readonly name: string;
    readonly passed: boolean;
}

export interface RunVerdict {
    /** Names of the failed tests that are not listed. */
    readonly failures: readonly string[];
    /** Entries whose test failed. */
    readonly tolerated: readonly KnownRedEntry[];
    /** Entries whose test passed or does not exist any more. */
    readonly stale: readonly string[];
}

/** Throws an error when an entry does not have exactly four fields. */
export function parseKnownRed(text: string): readonly KnownRedEntry[] {
    const lines = text.split("\n").map(line => line.trim()).filter(line => line !== "" && !line.startsWith("#"));
    return lines.map(line => {
        const [test, command, seen, issue, ...rest] = line.split(" | ");
        if (
            test === undefined || command === undefined || seen === undefined || issue === undefined || rest.length > 0
        ) {
            throw new Error(`KNOWN-RED.txt: an entry needs four fields separated by " | ": ${line}`);
        }
        return { test, command, seen, issue };
    });
}

/** Begin the commands of tests that pass on an idle machine, or with another version of Node.js. */
const conditionMarks: readonly string[] = ["beside load: ", "older Node.js: "];

/** Evaluates a run, which fails on failures that are not listed and on stale entries. */
export function evaluateRun(verdicts: readonly TestVerdict[], known: readonly KnownRedEntry[]): RunVerdict {
    const listed = new Map(known.map(entry => [entry.test, entry]));
    const failed = new Set(verdicts.filter(verdict => !verdict.passed).map(verdict => verdict.name));
    const present = new Set(verdicts.map(verdict => verdict.name));
    const stale = known
        .filter(entry => !failed.has(entry.test))
        .filter(entry => !present.has(entry.test) || !conditionMarks.some(mark => entry.command.startsWith(mark)))
        .map(entry => `${entry.test}: ${present.has(entry.test) ? "passes now" : "no such test"}`);
    return {
        failures: [...failed].filter(name => !listed.has(name)),
        tolerated: known.filter(entry => failed.has(entry.test)),
        stale,
    };
}
