/**
 * Decides on the leader when a suspected part of prompts is condemned, and when one is released again. A part that many
 * requests share is suspected with each crash, but soon cleared by an answer on it; therefore a part must have stayed
 * suspected for a while, however many endpoints crash at once. Time is the leader's own, and starts anew with a leader.
 */
import type { Clock } from "../common/Types.js";
import { crashesUntilCondemned, type PartCrashes, type PartCrashRecord } from "./PartCrashes.js";
import type { PartKey } from "./Types.js";

/** Several times what a crash, its suspicion and a clearing answer take to be known everywhere. */
const minSuspectedMs = 1500;
/** A condemned part gets one more chance after this time; if it crashes endpoints again, it is condemned again. */
const condemnedForMs = 600_000;

export type PartVerdict =
    | { readonly kind: "condemn-part"; readonly key: PartKey; }
    | { readonly kind: "release-part"; readonly key: PartKey; };

export class PartJudge {
    /** When this host first saw each suspicion or condemnation, by its serial number. */
    private readonly sinceMs = new Map<string, number>();

    public constructor(private readonly parts: PartCrashes, private readonly clock: Clock) {}

    /** The next verdict that is due; call it regularly while this host leads. */
    public verdict(): PartVerdict | undefined {
        const { suspected, condemned } = this.parts;
        this.note([...suspected.map(keyOfSuspicion), ...condemned.map(keyOfCondemnation)]);
        const due = suspected
            .filter(one => one.endpoints.length >= crashesUntilCondemned)
            .filter(one => this.ageMs(keyOfSuspicion(one)) >= minSuspectedMs)
            .sort((a, b) => b.endpoints.length - a.endpoints.length || b.position - a.position);
        const [guilty] = due;
        if (guilty !== undefined) {
            return { kind: "condemn-part", key: guilty.key };
        }
        const served = condemned.find(one => this.ageMs(keyOfCondemnation(one)) >= condemnedForMs);
        return served === undefined ? undefined : { kind: "release-part", key: served.key };
    }

    /** Forgets all times, as a host does that does not lead. */
    public reset(): void {
        this.sinceMs.clear();
    }

    private note(current: readonly string[]): void {
        const known = new Set(current);
        for (const key of this.sinceMs.keys()) {
            if (!known.has(key)) {
                this.sinceMs.delete(key);
            }
        }
        const nowMs = this.clock.nowMs();
        current.filter(key => !this.sinceMs.has(key)).forEach(key => this.sinceMs.set(key, nowMs));
    }

    private ageMs(key: string): number {
        return this.clock.nowMs() - (this.sinceMs.get(key) ?? Infinity);
    }
}

function keyOfSuspicion({ serial }: PartCrashRecord): string {
    return `suspected ${serial}`;
}

function keyOfCondemnation({ serial }: PartCrashRecord): string {
    return `condemned ${serial}`;
}
