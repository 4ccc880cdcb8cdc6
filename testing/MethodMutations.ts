/** Mutations that replace a method while one test runs, to verify that a check detects the fault. */
import assert from "node:assert/strict";

/** Any method of any class. */
export type Method = (this: Record<string, unknown>, ...args: unknown[]) => unknown;

export interface MethodMutation {
    readonly target: object;
    readonly method: string;
    /** Returns the faulty method that replaces the original one. */
    broken(original: Method): Method;
}

/** Describes the replacement of a method of a class by a faulty one. */
export function breakMethod(
    target: { readonly prototype: object; },
    method: string,
    broken: MethodMutation["broken"],
): MethodMutation {
    return { target: target.prototype, method, broken };
}

/** Runs with the methods replaced, and restores them afterwards; throws if a method does not exist. */
export async function withMutations<T>(mutations: readonly MethodMutation[], run: () => Promise<T>): Promise<T> {
    const originals = mutations.map(one => Object.getOwnPropertyDescriptor(one.target, one.method));
    mutations.forEach((one, at) => {
        assert.ok(originals[at]?.value !== undefined, `there is no method ${one.method}`);
        Object.defineProperty(one.target, one.method, {
            ...originals[at],
            value: one.broken(originals[at].value as Method),
        });
    });
    try {
        return await run();
    }
    finally {
        mutations.forEach((one, at) => Object.defineProperty(one.target, one.method, originals[at]!));
    }
}
