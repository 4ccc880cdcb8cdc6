/**
 * Decides which host owns an endpoint, and which share of the endpoint's limit the owner may grant.
 *
 * - The view is certain, with all hosts of the data centre accounted for: the first host in rendezvous order that is
 *   alive, or that is leaving when none is alive, grants the whole limit.
 * - The view is uncertain: each host grants its static share, and the shares add up to the limit. A host that reaches
 *   no other host grants nothing, since it could not learn that its data centre was taken out of service.
 * - The view is uncertain but an owner epoch is in force, confirmed by the config group: the hosts of the epoch divide
 *   the endpoints by rendezvous, and leave only the static shares of the hosts outside the epoch ungranted.
 */
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { Membership, MembershipView } from "../membership/Types.js";
import type { EpochSource, OwnerEpoch } from "./OwnerEpochs.js";
import { rankHosts, staticShare } from "./Rendezvous.js";

/** Prefix of ownership keys under which a single host grants the whole limit. */
export const soleOwnerKeyPrefix = "certain/";

export interface Ownership {
    /** Host that grants most of the endpoint's slots, as far as this host knows. */
    readonly owner: HostId | undefined;
    readonly isOwn: boolean;
    /** Changes whenever a different set of hosts grants the endpoint's slots. */
    readonly key: string;
    /** Number of slots that this host may grant of the given limit. */
    share(limit: number): number;
}

const noOwnership: Ownership = { owner: undefined, isOwn: false, key: "none", share: () => 0 };

export class OwnerAuthority {
    public constructor(
        private readonly membership: Membership,
        private readonly config: ConfigSource,
        private readonly epochs: EpochSource | undefined,
    ) {}

    /** Returns the current ownership; no owner is named in other data centres, or when this host reaches no other. */
    public ownership(endpoint: EndpointId): Ownership {
        const settings = this.config.current()?.settings;
        const dataCentre = settings?.endpoints[endpoint]?.dataCentre;
        if (settings === undefined || dataCentre !== this.membership.dataCentre) {
            return noOwnership;
        }
        const configured = this.hostsOf(dataCentre);
        const view = this.membership.view();
        if (view.certain) {
            return this.certainOwner(endpoint, configured);
        }
        const epoch = this.epochs?.current();
        if (epoch !== undefined) {
            return this.epochOwner(endpoint, configured, epoch);
        }
        if (isCutOff(view)) {
            return { ...noOwnership, key: "cut-off" };
        }
        return {
            owner: this.membership.self,
            isOwn: true,
            key: "static",
            share: limit => staticShare(endpoint, limit, configured, this.membership.self),
        };
    }

    /** Hosts to ask for slots of an endpoint in another data centre, first choice first. */
    public candidates(endpoint: EndpointId): HostId[] {
        const dataCentre = this.config.current()?.settings.endpoints[endpoint]?.dataCentre;
        return dataCentre === undefined ? [] : rankHosts(endpoint, this.hostsOf(dataCentre));
    }

    private hostsOf(dataCentre: DataCentreId): HostId[] {
        const hosts = this.config.current()?.settings.hosts ?? {};
        return Object.entries(hosts)
            .filter(([, host]) => host.dataCentre === dataCentre)
            .map(([id]) => id as HostId)
            .sort();
    }

    private certainOwner(endpoint: EndpointId, configured: readonly HostId[]): Ownership {
        const local = this.membership.view().local.filter(one => configured.includes(one.host));
        const alive = local.filter(one => one.state === "alive").map(one => one.host);
        const leaving = local.filter(one => one.state === "leaving").map(one => one.host);
        const hosts = alive.length > 0 ? alive : leaving;
        const owner = rankHosts(endpoint, hosts)[0];
        const isOwn = owner === this.membership.self;
        return { owner, isOwn, key: `${soleOwnerKeyPrefix}${owner}`, share: limit => (isOwn ? limit : 0) };
    }

    private epochOwner(endpoint: EndpointId, configured: readonly HostId[], epoch: OwnerEpoch): Ownership {
        const owner = rankHosts(endpoint, epoch.hosts)[0];
        const isOwn = owner === this.membership.self;
        const outside = configured.filter(host => !epoch.hosts.includes(host));
        const share = (limit: number) => {
            const reserved = outside.reduce((sum, host) => sum + staticShare(endpoint, limit, configured, host), 0);
            return isOwn ? limit - reserved : 0;
        };
        return { owner, isOwn, key: `epoch/${epoch.epoch}/${[...epoch.hosts].sort().join(",")}`, share };
    }
}

/**
 * True for a host that reaches no other host, neither in its own data centre nor in any other. A change that closes an
 * endpoint could not reach it.
 */
function isCutOff(view: MembershipView): boolean {
    const reachesLocalHost = view.local.filter(one => one.state === "alive" || one.state === "leaving").length > 1;
    return !reachesLocalHost && ![...view.remote.values()].some(one => one.reachable);
}
