/** JSON documents with one odd value, such as other writers, endpoints and callers may send, for property tests. */
import fc from "fast-check";

const levels = 20_000;

/** JSON texts: numbers that no double or no sum bears, other types, deep nesting, names of Object's own properties. */
const oddTexts: readonly string[] = [
    "1e999",
    "-1e999",
    "1e308",
    "-1e308",
    "1e15",
    "9007199254740993",
    "-1",
    "-0",
    "0.5",
    "65536",
    "null",
    "true",
    "[]",
    "{}",
    "[null]",
    "\"\"",
    "\"-1\"",
    "\"NaN\"",
    "\"constructor\"",
    "\"__proto__\"",
    "\"a,b\"",
    "\"a\\r\\nb\"",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"\u2028\u00e9\"",
    `"${"x".repeat(10_000)}"`,
    "{\"__proto__\":{\"Id\":\"x\"},\"toString\":null}",
    "[".repeat(levels) + "]".repeat(levels),
    "{\"a\":".repeat(levels) + "0" + "}".repeat(levels),
];

type Path = readonly (string | number)[];

/** JSON texts of the document with one of its values, at any depth, replaced by an odd one, or left out. */
export function withOddValue(document: unknown): fc.Arbitrary<string> {
    const paths = pathsOf(document).filter(path => path.length > 0);
    return fc.tuple(fc.constantFrom(...paths), fc.option(fc.constantFrom(...oddTexts)))
        .map(([path, odd]) =>
            JSON.stringify(replaced(document, path, odd === null ? undefined : marker))
                .replace(JSON.stringify(marker), () => odd ?? "")
        );
}

const marker = "the odd value";

function pathsOf(value: unknown): readonly Path[] {
    return typeof value === "object" && value !== null
        ? [[], ...Object.entries(value).flatMap(([key, one]) => pathsOf(one).map(path => [key, ...path]))]
        : [[]];
}

function replaced(value: unknown, [key, ...rest]: Path, by: unknown): unknown {
    if (key === undefined) {
        return by;
    }
    const copy: unknown = structuredClone(value);
    const fields = copy as Record<string | number, unknown>;
    fields[key] = replaced(fields[key], rest, by);
    return copy;
}

/** The numbers in a decoded value; those that JSON can't carry to another host end as null. */
export function numbersIn(value: unknown): readonly number[] {
    if (typeof value === "number") {
        return [value];
    }
    if (value instanceof Map) {
        return numbersIn([...value]);
    }
    return typeof value === "object" && value !== null ? Object.values(value).flatMap(numbersIn) : [];
}
