/** A slot held by one request; it carries one call and is released exactly once. */
import { invariant } from "../common/Invariant.js";
import type { EndpointId } from "../common/Types.js";
import type { CallEnd, CallEvidence, Slot } from "./Types.js";

export interface SlotCallbacks {
    /** @returns the era in which the call begins, or undefined when it may not begin. */
    begin(): number | undefined;
    /** `era` is undefined when no call has begun. */
    end(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): void;
}

export class HeldSlot implements Slot {
    private era: number | undefined;
    private released = false;

    public constructor(
        public readonly endpoint: EndpointId,
        public readonly expiresAtMs: number,
        public readonly exclusive: boolean,
        private readonly callbacks: SlotCallbacks,
    ) {}

    public begin(): boolean {
        const isUnused = !this.released && this.era === undefined;
        invariant(isUnused, "a slot carries one call", { endpoint: this.endpoint });
        this.era = this.callbacks.begin();
        return this.era !== undefined;
    }

    public release(end: CallEnd, evidence?: CallEvidence): void {
        invariant(!this.released, "a slot is released exactly once", { endpoint: this.endpoint });
        this.released = true;
        this.callbacks.end(end, evidence, this.era);
    }
}
