/**
 * Invariants: conditions that hold whatever the outside world does. A broken one is a defect of the program,
 * and the only thing that stops the process.
 */

/** Thrown by {@link invariant}. The supervisor's top level logs it and stops the process; nothing else catches it. */
export class InvariantError extends Error {
    public constructor(public readonly invariant: string, public readonly details: Readonly<Record<string, unknown>>) {
        super(`invariant "${invariant}" is broken: ${JSON.stringify(details)}`);
        this.name = "InvariantError";
    }
}

/** Throws {@link InvariantError} unless the condition holds. */
export function invariant(
    condition: boolean,
    name: string,
    details: Readonly<Record<string, unknown>> = {},
): asserts condition {
    if (!condition) {
        throw new InvariantError(name, details);
    }
}
