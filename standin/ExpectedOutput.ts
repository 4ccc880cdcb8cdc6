/**
 * The output that a stand-in gives for a stage: a pure function of the stage's name, the input and the outputs before,
 * so that a test can tell whether a caller got the whole answer to their own request.
 */
import { createHash } from "node:crypto";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { StageBody } from "../src/endpoints/Types.js";

/** Length of an output in characters: at least the first, and less than the sum. */
const leastChars = 300;
const spreadChars = 400;

const words = "the old grey cat sleeps near a warm stove while rain falls and quiet readers turn another page".split(
    " ",
);

/** Digest of an input that does not depend on the order of keys; counters of runs are kept under it. */
export function inputDigest(stage: string, input: unknown): string {
    return createHash("sha256").update(stage).update("\n").update(canonicalJson(input)).digest("hex");
}

/** The output of a stage, several hundred characters long. */
export function expectedOutput(stage: string, body: StageBody): string {
    const digest = inputDigest(stage, { input: body.input ?? null, previous: body.previous });
    const random = new SeededRandom(Number.parseInt(digest.slice(0, 8), 16));
    const length = leastChars + random.below(spreadChars);
    let text = `${stage} ${digest.slice(0, 16)}:`;
    while (text.length < length) {
        text += ` ${words[random.below(words.length)]}`;
    }
    return text;
}

/** The last stage's output of a pipeline, given its stages' names in order. */
export function expectedAnswer(stages: readonly string[], input: unknown): string {
    const previous: Record<string, string> = {};
    let output = "";
    for (const stage of stages) {
        output = expectedOutput(stage, { input, previous });
        previous[stage] = output;
    }
    return output;
}

function canonicalJson(value: unknown): string {
    return JSON.stringify(value ?? null, (_key, part: unknown) => {
        if (part === null || typeof part !== "object" || Array.isArray(part)) {
            return part;
        }
        return Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)));
    });
}
