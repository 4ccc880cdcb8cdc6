/**
 * Which parts of prompts crash endpoints. A part is suspected while endpoints have crashed with it and no answer on it has
 * been completed since; one that stays suspected over several crashes is condemned. A crash that a condemned part explains
 * counts against no other part. Everything is bounded, and a part gets in only by a crash.
 */
import type { PartKey } from "./Types.js";

/** Number of crashed endpoints after which a part may be condemned. */
export const crashesUntilCondemned = 3;
/** Number of crashed endpoints that are kept for one part. */
const maxCrashes = 16;
const maxSuspected = 512;
const maxCondemned = 256;

/** The crashes of one part, as kept in a snapshot. */
export interface PartCrashRecord {
    readonly key: PartKey;
    /** Starts of endpoints that crashed while an answer on the part was running. */
    readonly endpoints: readonly string[];
    /** Greatest position in a prompt; of two parts with equal crashes the later one is the more specific. */
    readonly position: number;
    /** Tells a suspicion from an earlier one of the same part. */
    readonly serial: number;
}

export class PartCrashes {
    /** Each in the order in which the parts got in. */
    private readonly suspectedParts = new Map<PartKey, PartCrashRecord>();
    private readonly condemnedParts = new Map<PartKey, PartCrashRecord>();
    private lastSerial = 0;

    public get suspected(): readonly PartCrashRecord[] {
        return [...this.suspectedParts.values()];
    }

    public get condemned(): readonly PartCrashRecord[] {
        return [...this.condemnedParts.values()];
    }

    /** Records that an endpoint crashed while an answer on a prompt was running; `keys` in the order of the prompt. */
    public recordCrash(endpoint: string, keys: readonly PartKey[]): void {
        const guilty = keys.find(key => this.condemnedParts.has(key));
        if (guilty !== undefined) {
            this.condemnedParts.set(guilty, withCrash(this.condemnedParts.get(guilty)!, endpoint, 0));
            this.forgetExplained([endpoint]);
            return;
        }
        if (this.condemned.some(one => one.endpoints.includes(endpoint))) {
            return;
        }
        keys.forEach((key, position) => {
            const known = this.suspectedParts.get(key) ?? this.newSuspicion(key);
            this.suspectedParts.set(key, withCrash(known, endpoint, position));
        });
        this.forgetLeastSuspected();
    }

    /** Ends the suspicion of parts on which an answer was completed. */
    public clear(keys: readonly PartKey[]): void {
        keys.forEach(key => this.suspectedParts.delete(key));
    }

    /** Condemns a part, if it is still suspected. */
    public condemn(key: PartKey): void {
        const record = this.suspectedParts.get(key);
        if (record === undefined) {
            return;
        }
        this.suspectedParts.delete(key);
        this.condemnedParts.set(key, record);
        this.forgetExplained(record.endpoints);
        for (const oldest of this.condemnedParts.keys()) {
            if (this.condemnedParts.size <= maxCondemned) {
                break;
            }
            this.condemnedParts.delete(oldest);
        }
    }

    /** Ends the condemnation of a part; its crashes no longer count. */
    public release(key: PartKey): void {
        this.condemnedParts.delete(key);
    }

    public snapshot(): { suspected: readonly PartCrashRecord[]; condemned: readonly PartCrashRecord[]; } {
        return { suspected: this.suspected, condemned: this.condemned };
    }

    public restore(suspected: readonly PartCrashRecord[], condemned: readonly PartCrashRecord[]): void {
        this.suspectedParts.clear();
        this.condemnedParts.clear();
        suspected.forEach(one => this.suspectedParts.set(one.key, one));
        condemned.forEach(one => this.condemnedParts.set(one.key, one));
        this.lastSerial = Math.max(0, ...[...suspected, ...condemned].map(one => one.serial));
    }

    private newSuspicion(key: PartKey): PartCrashRecord {
        this.lastSerial += 1;
        return { key, endpoints: [], position: 0, serial: this.lastSerial };
    }

    /** Takes crashes that a condemned part explains off all suspected parts. */
    private forgetExplained(explained: readonly string[]): void {
        for (const record of this.suspected) {
            const endpoints = record.endpoints.filter(one => !explained.includes(one));
            if (endpoints.length === 0) {
                this.suspectedParts.delete(record.key);
            }
            else if (endpoints.length < record.endpoints.length) {
                this.suspectedParts.set(record.key, { ...record, endpoints });
            }
        }
    }

    /** Drops the part with the fewest crashes, the oldest of several, so that new ones don't drive out a likely one. */
    private forgetLeastSuspected(): void {
        while (this.suspectedParts.size > maxSuspected) {
            const least = this.suspected.reduce((a, b) => b.endpoints.length < a.endpoints.length ? b : a);
            this.suspectedParts.delete(least.key);
        }
    }
}

function withCrash(record: PartCrashRecord, endpoint: string, position: number): PartCrashRecord {
    const endpoints = record.endpoints.includes(endpoint)
        ? record.endpoints
        : [...record.endpoints, endpoint].slice(-maxCrashes);
    return { ...record, endpoints, position: Math.max(record.position, position) };
}
