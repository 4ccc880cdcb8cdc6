/** Entry hosts that were heard, by this control host or by another one, and when. */
import type { Clock, HostId } from "../common/Types.js";
import type { EntryHostStatus } from "./FleetMessages.js";

/** A host that was silent for this long keeps its share of limits no more; far beyond any lease. */
const forgetAfterMs = 20_000;

interface Heard extends Omit<EntryHostStatus, "silentMs"> {
    readonly heardMs: number;
}

export class EntryHostRegistry {
    private readonly hosts = new Map<HostId, Heard>();

    public constructor(private readonly clock: Clock) {}

    /** Takes note of a host, unless something newer is known of it. */
    public record({ silentMs, ...host }: EntryHostStatus): void {
        const heardMs = this.clock.nowMs() - silentMs;
        const known = this.hosts.get(host.host);
        if (known === undefined || known.heardMs < heardMs) {
            this.hosts.set(host.host, { ...host, heardMs });
        }
    }

    /** All that are known, in the order of their ids. */
    public list(): EntryHostStatus[] {
        const nowMs = this.clock.nowMs();
        for (const [id, { heardMs }] of this.hosts) {
            if (nowMs - heardMs > forgetAfterMs) {
                this.hosts.delete(id);
            }
        }
        return [...this.hosts.values()]
            .map(({ heardMs, ...host }) => ({ ...host, silentMs: Math.max(0, Math.round(nowMs - heardMs)) }))
            .sort((a, b) => (a.host < b.host ? -1 : 1));
    }
}
