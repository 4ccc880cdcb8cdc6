/**
 * Entry hosts in a rendezvous order for each key, such as a cell or an endpoint, those of a preferred data centre
 * first. The order of all hosts is kept until a host joins or is removed, so that nothing is ranked anew when only
 * endpoints change or a host falls silent.
 */
import type { DataCentreId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { EntryHost } from "./Types.js";

export class HostRanks {
    private readonly ranked = new Map<string, readonly HostId[]>();
    private readonly liveRanked = new Map<string, readonly HostId[]>();
    private hosts: readonly EntryHost[] = [];
    private ids = "";
    private dataCentres: ReadonlyMap<HostId, DataCentreId> = new Map();

    /** Live hosts in the order for a key: those in the given data centre first. */
    public live(key: string, centre: DataCentreId | undefined, hosts: readonly EntryHost[]): readonly HostId[] {
        this.setHosts(hosts);
        const known = this.liveRanked.get(key) ?? this.rank(key, centre).filter(host => this.dataCentres.has(host));
        this.liveRanked.set(key, known);
        return known;
    }

    /** True when a live host is in one of the data centres. */
    public isIn(host: HostId, dataCentres: ReadonlySet<DataCentreId>): boolean {
        const dataCentre = this.dataCentres.get(host);
        return dataCentre !== undefined && dataCentres.has(dataCentre);
    }

    private setHosts(hosts: readonly EntryHost[]): void {
        if (hosts === this.hosts) {
            return;
        }
        this.hosts = hosts;
        this.dataCentres = new Map(hosts.filter(one => one.isLive).map(one => [one.host, one.dataCentre]));
        this.liveRanked.clear();
        const ids = hosts.map(one => one.host).join(" ");
        if (ids !== this.ids) {
            this.ids = ids;
            this.ranked.clear();
        }
    }

    private rank(key: string, centre: DataCentreId | undefined): readonly HostId[] {
        const known = this.ranked.get(key);
        if (known !== undefined) {
            return known;
        }
        const isNear = (one: EntryHost) => centre === undefined || one.dataCentre === centre;
        const near = this.hosts.filter(isNear).map(one => one.host);
        const far = this.hosts.filter(one => !isNear(one)).map(one => one.host);
        const ranked = [...rankByWeight(key, near), ...rankByWeight(key, far)];
        this.ranked.set(key, ranked);
        return ranked;
    }
}
