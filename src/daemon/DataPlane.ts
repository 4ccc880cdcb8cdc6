/** Builds the components that serve requests on one host: membership, endpoints, slots, jobs and pipeline runner. */
import { DisposableStore } from "../common/DisposableStore.js";
import type { Disposable, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import { ConfiguredAddresses, EndpointConnections } from "../endpoints/EndpointConnections.js";
import { EndpointTable } from "../endpoints/EndpointTable.js";
import { HttpEngineLink } from "../endpoints/EngineLink.js";
import { HttpLoadSource } from "../endpoints/HttpLoadSource.js";
import { HttpStageClient } from "../endpoints/HttpStageClient.js";
import { OrderIssuer } from "../endpoints/OrderIssuer.js";
import { OwnerAuthority } from "../endpoints/OwnerAuthority.js";
import { OwnerEpochs } from "../endpoints/OwnerEpochs.js";
import { PlacementService } from "../endpoints/PlacementService.js";
import { SlotHolderClient } from "../endpoints/SlotHolderClient.js";
import { SlotOwner } from "../endpoints/SlotOwner.js";
import { HeartbeatMembership } from "../membership/HeartbeatMembership.js";
import { HttpPlatformList } from "../membership/HttpPlatformList.js";
import { StagedPipelineRunner } from "../pipeline/StagedPipelineRunner.js";
import { PeerMarkAnnouncer } from "../records/PeerMarkAnnouncer.js";
import { ReplicatedClaims } from "../records/ReplicatedClaims.js";
import { ReplicatedJobs } from "../records/ReplicatedJobs.js";
import { ReplicatedQuarantine } from "../records/ReplicatedQuarantine.js";
import { BlockPrefixIndex } from "../routing/BlockPrefixIndex.js";
import { CacheWatcher } from "../routing/CacheWatcher.js";
import { CostRouter } from "../routing/CostRouter.js";
import { HttpCacheSource } from "../routing/HttpCacheSource.js";
import type { Service } from "../supervise/Types.js";
import type { ControlPlane } from "./ControlPlane.js";
import { JobWorker } from "./JobWorker.js";
import type { DaemonBase } from "./Types.js";

/** Components for membership, endpoints and their slots, and orders to engines. */
interface EndpointComponents {
    readonly membership: HeartbeatMembership;
    readonly directory: EndpointTable;
    readonly connections: EndpointConnections;
    readonly owner: SlotOwner;
    readonly holder: SlotHolderClient;
    readonly services: readonly Service[];
}

export interface DataPlane
    extends Disposable, Pick<EndpointComponents, "membership" | "directory" | "owner" | "services"> {
    readonly jobs: ReplicatedJobs;
    readonly runner: StagedPipelineRunner;
}

export function buildDataPlane(base: DaemonBase, controlPlane: ControlPlane, config: ConfigSource): DataPlane {
    const { clock, log, dataCentre, metrics, random } = base;
    const store = new DisposableStore();
    const endpoints = buildEndpoints(base, controlPlane, config, store);
    const { directory, connections, holder } = endpoints;
    const limits = () => {
        const settings = config.current()?.settings ?? base.settings;
        return { ...settings.limits, ...settings.timing };
    };
    const jobs = new ReplicatedJobs(controlPlane.records, clock, log, limits);
    const quarantine = buildQuarantine(base, controlPlane, config);
    const prefixes = new BlockPrefixIndex(log);
    const source = new HttpCacheSource(connections, clock);
    const watcher = new CacheWatcher({ config, directory, source, index: prefixes, dataCentre, clock, log });
    const runner = store.add(
        new StagedPipelineRunner({
            config,
            router: new CostRouter({ directory, prefixes, dataCentre }),
            directory,
            slots: holder,
            client: store.add(new HttpStageClient({ config, clock, connections })),
            claims: new ReplicatedClaims(controlPlane.records, clock, log, limits),
            quarantine,
            clock,
            log,
            metrics,
            random,
        }),
    );
    const worker = new JobWorker({ jobs, runner, config, clock, dataCentre });
    return {
        membership: endpoints.membership,
        directory,
        owner: endpoints.owner,
        jobs,
        runner,
        services: [...endpoints.services, watcher, quarantine, worker],
        dispose: () => store.dispose(),
    };
}

function buildEndpoints(
    base: DaemonBase,
    control: ControlPlane,
    config: ConfigSource,
    store: DisposableStore,
): EndpointComponents {
    const { clock, log, transport, registry, dataCentre } = base;
    const platform = new HttpPlatformList(config, clock);
    const membership = new HeartbeatMembership({
        self: base.host,
        dataCentre,
        incarnation: base.incarnation,
        transport,
        registry,
        config,
        clock,
        log,
        platform,
    });
    const leases = control.config;
    const epochs = new OwnerEpochs({ membership, leases, transport, registry, clock, log });
    const authority = new OwnerAuthority(membership, config, epochs);
    const connections = new EndpointConnections(new ConfiguredAddresses(config), clock);
    const loads = new HttpLoadSource(connections, clock);
    const owner = new SlotOwner({ membership, authority, config, registry, transport, clock, log, loads, platform });
    const localOwner = owner;
    const holder = new SlotHolderClient({ membership, authority, config, registry, transport, clock, localOwner });
    const closing = new AbortController();
    store.add({ dispose: () => closing.abort() });
    const link = new HttpEngineLink(connections, clock, closing.signal);
    const issuer = new OrderIssuer({ dataCentre, leases, link, clock, log });
    const placement = new PlacementService({ membership, config, registry, transport, owner, issuer, link, clock });
    const directory = store.add(new EndpointTable({ dataCentre, config, held: holder, clock, platform }));
    const services = [platform, membership, epochs, owner, holder, issuer, placement];
    return { membership, directory, connections, owner, holder, services };
}

/** Builds this host's copy of the quarantine; its new crash marks are sent to all other configured hosts. */
function buildQuarantine(base: DaemonBase, control: ControlPlane, config: ConfigSource): ReplicatedQuarantine {
    const { host, settings, transport, registry, clock, log } = base;
    const hosts = () => Object.keys((config.current()?.settings ?? settings).hosts) as HostId[];
    const marks = new PeerMarkAnnouncer(transport, registry, () => hosts().filter(id => id !== host));
    return new ReplicatedQuarantine(control.records, clock, log, marks);
}
