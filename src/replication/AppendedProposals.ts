/** Proposals of this host that are in its log and wait to be applied, by index. */
import type { Json } from "./Types.js";

export type ProposalEnd =
    | { readonly kind: "applied"; readonly result: Json; }
    /** Another entry was committed in its place: the proposal can never be committed. */
    | { readonly kind: "replaced"; }
    | { readonly kind: "lost"; readonly message: string; };

interface Waiter {
    readonly term: number;
    readonly resolve: (end: ProposalEnd) => void;
}

export class AppendedProposals {
    private readonly waiting = new Map<number, Waiter[]>();

    public add(index: number, term: number, resolve: (end: ProposalEnd) => void): void {
        this.waiting.set(index, [...this.waiting.get(index) ?? [], { term, resolve }]);
    }

    /** Ends the proposals that stood at an index which has been applied. */
    public applied(index: number, term: number, result: Json): void {
        const waiters = this.waiting.get(index) ?? [];
        this.waiting.delete(index);
        for (const waiter of waiters) {
            waiter.resolve(waiter.term === term ? { kind: "applied", result } : { kind: "replaced" });
        }
    }

    /** Ends all proposals at or below an index without their results, which a snapshot has skipped. */
    public skipped(index: number): void {
        for (const [at, waiters] of this.waiting) {
            if (at <= index) {
                this.waiting.delete(at);
                waiters.forEach(waiter =>
                    waiter.resolve({ kind: "lost", message: "a snapshot has skipped the result" })
                );
            }
        }
    }

    public loseAll(message: string): void {
        const all = [...this.waiting.values()].flat();
        this.waiting.clear();
        all.forEach(waiter => waiter.resolve({ kind: "lost", message }));
    }
}
