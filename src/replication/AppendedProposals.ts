/** Proposals that this host has appended to its log as leader, by index, until their entries are applied. */
import type { Json } from "./Types.js";

export type ProposalOutcome =
    | { readonly kind: "applied"; readonly result: Json; }
    /** Another entry was committed at its index: the proposal can never be committed. */
    | { readonly kind: "replaced"; }
    /** This host can't tell whether the proposal was or will be committed. */
    | { readonly kind: "lost"; readonly message: string; };

interface AppendedProposal {
    readonly term: number;
    readonly resolve: (outcome: ProposalOutcome) => void;
}

export class AppendedProposals {
    private readonly byIndex = new Map<number, AppendedProposal[]>();

    public add(index: number, term: number, resolve: (outcome: ProposalOutcome) => void): void {
        this.byIndex.set(index, [...this.byIndex.get(index) ?? [], { term, resolve }]);
    }

    /** Resolves the proposals at an index whose entry was applied; `term` is the term of that entry. */
    public resolveApplied(index: number, term: number, result: Json): void {
        const proposals = this.byIndex.get(index) ?? [];
        this.byIndex.delete(index);
        for (const proposal of proposals) {
            proposal.resolve(proposal.term === term ? { kind: "applied", result } : { kind: "replaced" });
        }
    }

    /** Ends all proposals up to an index as lost: an installed snapshot has skipped their results. */
    public loseUpTo(index: number): void {
        for (const [proposalIndex, proposals] of this.byIndex) {
            if (proposalIndex <= index) {
                this.byIndex.delete(proposalIndex);
                proposals.forEach(proposal =>
                    proposal.resolve({ kind: "lost", message: "the result was skipped by a snapshot" })
                );
            }
        }
    }

    /** Ends all proposals as lost, with the reason. */
    public loseAll(message: string): void {
        const all = [...this.byIndex.values()].flat();
        this.byIndex.clear();
        all.forEach(proposal => proposal.resolve({ kind: "lost", message }));
    }
}
