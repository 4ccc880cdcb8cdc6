/** Entry hosts that have contacted this control host or another one, with the time of the last contact. */
import type { Clock, HostId } from "../common/Types.js";
import type { EntryHostStatus } from "./FleetMessages.js";

/** A host that has been silent for this long is removed and no longer counts for quotas; far beyond any lease. */
const removeAfterMs = 20_000;

interface RegisteredHost extends Omit<EntryHostStatus, "silentMs"> {
    readonly lastContactMs: number;
}

export class EntryHostRegistry {
    private readonly hosts = new Map<HostId, RegisteredHost>();

    public constructor(private readonly clock: Clock) {}

    /** Records the status of a host, unless a newer one is known. */
    public record({ silentMs, ...host }: EntryHostStatus): void {
        const lastContactMs = this.clock.nowMs() - silentMs;
        const known = this.hosts.get(host.host);
        if (known === undefined || known.lastContactMs < lastContactMs) {
            this.hosts.set(host.host, { ...host, lastContactMs });
        }
    }

    /** All known hosts, ordered by id. */
    public list(): EntryHostStatus[] {
        const nowMs = this.clock.nowMs();
        for (const [id, { lastContactMs }] of this.hosts) {
            if (nowMs - lastContactMs > removeAfterMs) {
                this.hosts.delete(id);
            }
        }
        return [...this.hosts.values()]
            .map(({ lastContactMs, ...host }) => ({
                ...host,
                silentMs: Math.max(0, Math.round(nowMs - lastContactMs)),
            }))
            .sort((a, b) => (a.host < b.host ? -1 : 1));
    }
}
