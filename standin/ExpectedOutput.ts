/**
 * The output of a stand-in for a stage: a pure function of the stage's name, the input and the previous outputs, so
 * that a test can check that a caller got the complete answer to its own request.
 */
import { createHash } from "node:crypto";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { StageBody } from "../src/endpoints/Types.js";

/**
 * Words are added to an output until its length in characters, prefix included, reaches a random number that is at
 * least `minChars` and less than `minChars + charsRange`.
 */
const minChars = 300;
const charsRange = 400;

const words = "the old grey cat sleeps near a warm stove while rain falls and quiet readers turn another page".split(
    " ",
);

/** Digest of a stage's name and input, independent of the order of object keys; a key of {@link StandInCounters}. */
export function inputDigest(stage: string, input: unknown): string {
    return createHash("sha256").update(stage).update("\n").update(canonicalJson(input)).digest("hex");
}

/** The output of a stage, several hundred characters long. */
export function expectedOutput(stage: string, body: StageBody): string {
    const digest = inputDigest(stage, { input: body.input ?? null, previous: body.previous });
    const random = new SeededRandom(Number.parseInt(digest.slice(0, 8), 16));
    const length = minChars + random.below(charsRange);
    let text = `${stage} ${digest.slice(0, 16)}:`;
    while (text.length < length) {
        text += ` ${words[random.below(words.length)]}`;
    }
    return text;
}

/** The output of a pipeline's last stage, given the names of its stages in order. */
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
