/**
 * Invariants: conditions that hold regardless of external faults. A broken one is a bug in the program, and the only
 * error that stops the process.
 */

/** Thrown by {@link invariant}. The supervisor passes it to `onFatal`, which stops the process. */
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
