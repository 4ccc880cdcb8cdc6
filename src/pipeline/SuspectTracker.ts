/**
 * Requests that may crash endpoints, by fingerprint: what the records group holds, and what this host saw itself while
 * the group is slow or cut off. After one crash a request runs only alone; after a crash alone it runs no more.
 */
import type { Fingerprint, Quarantine } from "../records/Types.js";

/** Fingerprints that this host remembers by itself. */
const maxRemembered = 1000;

type LocalState = "suspect" | "quarantined";

export class SuspectTracker {
    private readonly local = new Map<Fingerprint, LocalState>();

    public constructor(private readonly quarantine: Quarantine) {}

    public isQuarantined(fingerprint: Fingerprint): boolean {
        return this.local.get(fingerprint) === "quarantined" || this.quarantine.isQuarantined(fingerprint);
    }

    public isSuspect(fingerprint: Fingerprint): boolean {
        return this.local.get(fingerprint) === "suspect" || this.quarantine.isSuspect(fingerprint);
    }

    /**
     * Records a crash while the request ran; `alone` when no other call was on the endpoint. False when the records
     * group could not be told.
     */
    public async crashed(fingerprint: Fingerprint, alone: boolean): Promise<boolean> {
        if (this.local.get(fingerprint) !== "quarantined") {
            this.remember(fingerprint, alone ? "quarantined" : "suspect");
        }
        const reported = await this.quarantine.reportCrash(fingerprint, alone);
        return reported.isRight();
    }

    /** Records that a suspect has ended alone without a crash. */
    public async survived(fingerprint: Fingerprint): Promise<void> {
        if (this.local.get(fingerprint) === "suspect") {
            this.local.delete(fingerprint);
        }
        await this.quarantine.reportNoCrash(fingerprint);
    }

    private remember(fingerprint: Fingerprint, state: LocalState): void {
        this.local.delete(fingerprint);
        this.local.set(fingerprint, state);
        const oldest = this.local.keys().next();
        if (this.local.size > maxRemembered && oldest.done !== true) {
            this.local.delete(oldest.value);
        }
    }
}
