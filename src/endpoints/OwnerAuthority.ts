/**
 * Who owns an endpoint, and which part of its limit the owner may give out.
 *
 * - All hosts of the data centre are accounted for: the first living host in rendezvous order owns all of the limit.
 * - The view is uncertain: each host has its static part of the limit, and the parts add up to the limit. A host that
 *   hears from nobody has none, since it would not hear either that its data centre has been taken out.
 * - The view is uncertain but the config group has confirmed an owner epoch: the hosts that the epoch's holder sees
 *   share ownership by rendezvous, and leave out only the static parts of those that it does not see.
 */
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { Membership, MembershipView } from "../membership/Types.js";
import type { EpochSource, OwnerEpoch } from "./OwnerEpochs.js";
import { rankHosts, staticShare } from "./Rendezvous.js";

/** Start of the keys under which one host gives out all of a limit. */
export const soleKey = "certain/";

export interface Ownership {
    /** Host that grants most of the endpoint's slots, as far as this host knows. */
    readonly owner: HostId | undefined;
    readonly isOwn: boolean;
    /** Changes whenever another set of hosts gives out the endpoint's slots. */
    readonly key: string;
    /** Part of a limit that this host may give out. */
    share(limit: number): number;
}

const nobody: Ownership = { owner: undefined, isOwn: false, key: "none", share: () => 0 };

export class OwnerAuthority {
    public constructor(
        private readonly membership: Membership,
        private readonly config: ConfigSource,
        private readonly epochs: EpochSource | undefined,
    ) {}

    public ownership(endpoint: EndpointId): Ownership {
        const settings = this.config.current()?.settings;
        const dataCentre = settings?.endpoints[endpoint]?.dataCentre;
        if (settings === undefined || dataCentre !== this.membership.dataCentre) {
            return nobody;
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
            return { ...nobody, key: "cut-off" };
        }
        return {
            owner: this.membership.self,
            isOwn: true,
            key: "static",
            share: limit => staticShare(endpoint, limit, configured, this.membership.self),
        };
    }

    /** Hosts to ask for slots of an endpoint of another data centre, in order. */
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
        return { owner, isOwn, key: `${soleKey}${owner}`, share: limit => (isOwn ? limit : 0) };
    }

    private epochOwner(endpoint: EndpointId, configured: readonly HostId[], epoch: OwnerEpoch): Ownership {
        const owner = rankHosts(endpoint, epoch.hosts)[0];
        const isOwn = owner === this.membership.self;
        const outside = configured.filter(host => !epoch.hosts.includes(host));
        const share = (limit: number) => {
            const left = outside.reduce((sum, host) => sum + staticShare(endpoint, limit, configured, host), 0);
            return isOwn ? limit - left : 0;
        };
        return { owner, isOwn, key: `epoch/${epoch.epoch}/${[...epoch.hosts].sort().join(",")}`, share };
    }
}

/**
 * True for a host that hears from nobody: neither from its data centre, although other hosts may live there, nor from
 * any other one. An order to send nothing more could not reach it.
 */
function isCutOff(view: MembershipView): boolean {
    const hearsLocal = view.local.filter(one => one.state === "alive" || one.state === "leaving").length > 1;
    return !hearsLocal && ![...view.remote.values()].some(one => one.reachable);
}
