/**
 * Reads KNOWN-RED.txt: tests that fail for a fault that is known and not yet mended. One entry a line,
 * fields separated by " | ": test name, command and seed, what was seen, issue. "#" starts a comment.
 */
export interface KnownRedEntry {
    /** The test's exact name, "file > test > subtest". */
    readonly test: string;
    readonly command: string;
    readonly seen: string;
    readonly issue: string;
}

export interface TestVerdict {
    readonly name: string;
    readonly passed: boolean;
}

export interface RunVerdict {
    readonly failures: readonly string[];
    readonly passedOver: readonly KnownRedEntry[];
    /** Entries whose test passed, or is not there any more. */
    readonly stale: readonly string[];
}

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

/** Judges a run: failures that are not listed, and entries that are stale, fail it. */
export function judgeRun(verdicts: readonly TestVerdict[], known: readonly KnownRedEntry[]): RunVerdict {
    const listed = new Map(known.map(entry => [entry.test, entry]));
    const failed = new Set(verdicts.filter(verdict => !verdict.passed).map(verdict => verdict.name));
    const present = new Set(verdicts.map(verdict => verdict.name));
    const stale = known
        .filter(entry => !failed.has(entry.test))
        .map(entry => `${entry.test}: ${present.has(entry.test) ? "passes now" : "no such test"}`);
    return {
        failures: [...failed].filter(name => !listed.has(name)),
        passedOver: known.filter(entry => failed.has(entry.test)),
        stale,
    };
}
