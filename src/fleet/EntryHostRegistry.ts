/**
 * Entry hosts that have contacted this control host or another one, with the time of the last contact. The published
 * list changes only when a host joins, restarts, stops or falls silent, not with every contact.
 */
import type { Clock, HostId } from "../common/Types.js";
import { type EntryHostStatus, tagOf } from "./FleetMessages.js";
import { type ListPart, ListVersions } from "./ListVersions.js";

/** A host that has been silent for this long is removed and no longer counts for quotas; far beyond any lease. */
const removeAfterMs = 20_000;
/** An entry host that has been silent for this long counts as gone; it sends a request about once a second. */
const maxSilenceMs = 2500;
/** Interval at which hosts are checked for silence. */
const silenceCheckMs = 100;

interface RegisteredHost extends Omit<EntryHostStatus, "silentMs"> {
    readonly lastContactMs: number;
}

export class EntryHostRegistry {
    private readonly hosts = new Map<HostId, RegisteredHost>();
    private readonly versions = new ListVersions<EntryHostStatus>(hostOf, publishedText);
    /** Hosts that have contacted this control host itself since the last {@link takeDirect}. */
    private readonly direct = new Set<HostId>();
    private mayHaveChanged = true;
    private checkedMs = -Infinity;

    public constructor(private readonly clock: Clock) {}

    /** Records the status of a host, unless a newer one is known. */
    public record({ silentMs, ...host }: EntryHostStatus): void {
        const lastContactMs = this.clock.nowMs() - silentMs;
        const known = this.hosts.get(host.host);
        if (known !== undefined && known.lastContactMs > lastContactMs) {
            return;
        }
        const isSame = known !== undefined && known.incarnation === host.incarnation
            && known.isLeaving === host.isLeaving && lastContactMs - known.lastContactMs < maxSilenceMs;
        this.mayHaveChanged ||= !isSame;
        this.hosts.set(host.host, { ...host, lastContactMs });
    }

    /** Records a message of a host to this control host. */
    public recordContact(host: Omit<EntryHostStatus, "silentMs">): void {
        this.direct.add(host.host);
        this.record({ ...host, silentMs: 0 });
    }

    /** Hosts that have contacted this control host since the last call. */
    public takeDirect(): readonly EntryHostStatus[] {
        const direct = [...this.direct].flatMap(host => this.hosts.get(host) ?? []);
        this.direct.clear();
        return direct.map(one => this.statusOf(one));
    }

    /** Adds hosts to those of the next {@link takeDirect}, since their status was not delivered. */
    public returnDirect(hosts: readonly EntryHostStatus[]): void {
        hosts.forEach(({ host }) => this.direct.add(host));
    }

    /** All known hosts except the given ones. */
    public others(known: readonly EntryHostStatus[]): readonly EntryHostStatus[] {
        const left = new Set(known.map(one => one.host));
        return [...this.hosts.values()].filter(one => !left.has(one.host)).map(one => this.statusOf(one));
    }

    /** Tag of the published list. */
    public get tag(): string {
        this.update();
        return this.versions.tag;
    }

    /** What a holder of version `held` of the published list lacks. */
    public since(held: string): ListPart<EntryHostStatus> {
        this.update();
        return this.versions.since(held);
    }

    /** Publishes a new version if a host has joined, restarted, stopped, fallen silent or been removed. */
    private update(): void {
        const nowMs = this.clock.nowMs();
        if (!this.mayHaveChanged && nowMs - this.checkedMs < silenceCheckMs) {
            return;
        }
        this.mayHaveChanged = false;
        this.checkedMs = nowMs;
        for (const [id, { lastContactMs }] of this.hosts) {
            if (nowMs - lastContactMs > removeAfterMs) {
                this.hosts.delete(id);
            }
        }
        const list = [...this.hosts.values()].map(one => this.statusOf(one))
            .sort((a, b) => (a.host < b.host ? -1 : 1));
        this.versions.add(tagOf(list.map(publishedText)), list);
    }

    private statusOf({ lastContactMs, ...host }: RegisteredHost): EntryHostStatus {
        return { ...host, silentMs: Math.max(0, Math.round(this.clock.nowMs() - lastContactMs)) };
    }
}

/** True while other hosts may send work to the host. */
export function isLive({ silentMs, isLeaving }: EntryHostStatus): boolean {
    return silentMs < maxSilenceMs && !isLeaving;
}

export function hostOf({ host }: EntryHostStatus): string {
    return host;
}

/** What the published list says of a host. */
function publishedText(status: EntryHostStatus): string {
    return `${status.host} ${status.incarnation} ${isLive(status)}`;
}
