/** Switches that break a method for the length of one test, to see that a check catches it. */
import assert from "node:assert/strict";

/** Any method of any class, as a switch sees it. */
export type Method = (this: Record<string, unknown>, ...args: unknown[]) => unknown;

export interface MethodMutation {
    readonly target: object;
    readonly method: string;
    /** Makes the broken method from the right one. */
    broken(right: Method): Method;
}

export function breakMethod(
    target: { readonly prototype: object; },
    method: string,
    broken: MethodMutation["broken"],
): MethodMutation {
    return { target: target.prototype, method, broken };
}

/** Runs with the methods broken, and mends them afterwards. */
export async function withMutations<T>(switches: readonly MethodMutation[], run: () => Promise<T>): Promise<T> {
    const right = switches.map(one => Object.getOwnPropertyDescriptor(one.target, one.method));
    switches.forEach((one, at) => {
        assert.ok(right[at]?.value !== undefined, `there is no method ${one.method}`);
        Object.defineProperty(one.target, one.method, { ...right[at], value: one.broken(right[at].value as Method) });
    });
    try {
        return await run();
    }
    finally {
        switches.forEach((one, at) => Object.defineProperty(one.target, one.method, right[at]!));
    }
}
