/**
 * Tracks requests that may crash endpoints, by fingerprint. It combines the quarantine of the records group with the
 * crashes seen by this host, which apply even while the group is slow or unreachable. After one crash a request is
 * suspect and runs only alone; after a crash while alone it is quarantined and not run any more.
 */
import type { Fingerprint, Quarantine } from "../records/Types.js";

/** Maximum number of fingerprints kept locally. */
const maxLocalFingerprints = 1000;

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
     * Records that an endpoint crashed while running the request; `alone` when no other call was on it. Resolves to
     * false when the crash could not be reported to the records group.
     */
    public async recordCrash(fingerprint: Fingerprint, alone: boolean): Promise<boolean> {
        if (this.local.get(fingerprint) !== "quarantined") {
            this.remember(fingerprint, alone ? "quarantined" : "suspect");
        }
        const reported = await this.quarantine.reportCrash(fingerprint, alone);
        return reported.isRight();
    }

    /** Clears a suspect that ran alone without a crash. */
    public async clearSuspect(fingerprint: Fingerprint): Promise<void> {
        if (this.local.get(fingerprint) === "suspect") {
            this.local.delete(fingerprint);
        }
        await this.quarantine.reportNoCrash(fingerprint);
    }

    private remember(fingerprint: Fingerprint, state: LocalState): void {
        this.local.delete(fingerprint);
        this.local.set(fingerprint, state);
        const oldest = this.local.keys().next();
        if (this.local.size > maxLocalFingerprints && oldest.done !== true) {
            this.local.delete(oldest.value);
        }
    }
}
