/**
 * Runs one attempt of a request, or two that race. The first that has an event or a complete answer wins: it alone may
 * write to the caller, and the other is cancelled. While none has won, the race ends only with the last attempt.
 */
import { invariant } from "../common/Invariant.js";
import { type AttemptOutcome, notRunStatuses } from "./Types.js";

/** An attempt's part in the race. */
export interface Contender {
    readonly isHedge: boolean;
    /** True once another attempt has won. */
    readonly hasLostRace: boolean;
    /** True while another attempt is running. */
    readonly hasRival: boolean;
    /** Aborted when the request has ended or another attempt has won. */
    readonly signal: AbortSignal;
    /** True if this attempt may write to the caller. The first one to ask wins. */
    claim(): boolean;
    /** Records that the answer has begun to arrive, so that a hedge is no longer useful. */
    recordFirstByte(): void;
}

/** An attempt that has ended. */
export interface EndedAttempt<Choice> {
    readonly choice: Choice;
    readonly outcome: AttemptOutcome;
}

export interface RaceEnd<Choice> {
    /** The attempt that decides what becomes of the request. */
    readonly decisive: EndedAttempt<Choice>;
    readonly others: readonly EndedAttempt<Choice>[];
}

interface Entry<Choice> {
    readonly choice: Choice;
    readonly abortController: AbortController;
    readonly ended: Promise<AttemptOutcome>;
    outcome: AttemptOutcome | undefined;
}

/** Without a winner, the attempt with the first of these outcomes is decisive: those that may have run come first. */
const decisiveOrder: readonly AttemptOutcome["kind"][] = ["replied", "cancelled", "broken", "not-run", "unsent"];

export class AttemptRace<Choice> {
    private readonly entries: Entry<Choice>[] = [];
    private readonly openController = new AbortController();
    private winner: Entry<Choice> | undefined;

    public constructor(
        /** Aborted when the request has ended. */
        private readonly signal: AbortSignal,
        private readonly run: (choice: Choice, contender: Contender) => Promise<AttemptOutcome>,
    ) {
        signal.addEventListener("abort", this.onAbort);
    }

    /** Aborted once a hedge is no longer useful: an answer has begun to arrive, or an attempt or the request has ended. */
    public get closed(): AbortSignal {
        return this.openController.signal;
    }

    /** Number of attempts in which the request may have run or may still run. */
    public get possibleRuns(): number {
        return this.entries.filter(({ outcome }) => outcome === undefined || mayHaveRun(outcome)).length;
    }

    /** Number of attempts that have not ended. */
    public get running(): number {
        return this.entries.filter(({ outcome }) => outcome === undefined).length;
    }

    /** Starts an attempt; the second one is a hedge, which must not start once the race is {@link closed}. */
    public enter(choice: Choice): void {
        const abortController = new AbortController();
        if (this.signal.aborted) {
            abortController.abort();
        }
        const isHedge = this.entries.length > 0;
        const hasLostRace = () => this.winner !== undefined && this.winner !== entry;
        const hasRival = () => this.entries.some(one => one !== entry && one.outcome === undefined);
        const contender: Contender = {
            isHedge,
            get hasRival() {
                return hasRival();
            },
            get hasLostRace() {
                return hasLostRace();
            },
            signal: abortController.signal,
            claim: () => this.claim(entry),
            recordFirstByte: () => this.openController.abort(),
        };
        // The attempt starts after the entry is in the list, since it may ask at once how many are running.
        const ended = Promise.resolve().then(() => this.runEntry(entry, contender));
        const entry: Entry<Choice> = { choice, abortController, ended, outcome: undefined };
        this.entries.push(entry);
    }

    /** Resolves once all attempts have ended. */
    public async end(): Promise<RaceEnd<Choice>> {
        // A hedge starts only while the first attempt is running, so the second wait includes it.
        await this.entries[0]?.ended;
        const ended = await Promise.all(
            this.entries.map(async entry => ({ entry, choice: entry.choice, outcome: await entry.ended })),
        );
        this.signal.removeEventListener("abort", this.onAbort);
        const rankOf = ({ outcome }: EndedAttempt<Choice>) => decisiveOrder.indexOf(outcome.kind);
        const [decisive, ...others] = ended.sort((one, other) =>
            Number(other.entry === this.winner) - Number(one.entry === this.winner) || rankOf(one) - rankOf(other)
        );
        invariant(decisive !== undefined, "a race has an attempt");
        return { decisive, others };
    }

    private async runEntry(entry: Entry<Choice>, contender: Contender): Promise<AttemptOutcome> {
        const outcome = await this.run(entry.choice, contender);
        entry.outcome = outcome;
        if (isAnswer(outcome)) {
            this.claim(entry);
        }
        this.openController.abort();
        return outcome;
    }

    private claim(entry: Entry<Choice>): boolean {
        if (this.winner === undefined) {
            this.winner = entry;
            this.openController.abort();
            this.entries.filter(one => one !== entry).forEach(one => one.abortController.abort());
        }
        return this.winner === entry;
    }

    private readonly onAbort = () => {
        this.openController.abort();
        this.entries.forEach(one => one.abortController.abort());
    };
}

/** True when the request may have run in an attempt with this outcome. */
export function mayHaveRun({ kind }: AttemptOutcome): boolean {
    return kind !== "unsent" && kind !== "not-run";
}

/** True for a complete reply that is passed to the caller even if another attempt could still succeed. */
function isAnswer(outcome: AttemptOutcome): boolean {
    return outcome.kind === "replied" && outcome.reply.status < 500 && !notRunStatuses.includes(outcome.reply.status);
}
