/** What carries requests on one host: membership, endpoints and slots, records of requests, and the pipeline runner. */
import type { HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { EndpointTable } from "../endpoints/EndpointTable.js";
import { HttpLoadSource } from "../endpoints/HttpLoadSource.js";
import { HttpStageClient } from "../endpoints/HttpStageClient.js";
import { OwnerAuthority } from "../endpoints/OwnerAuthority.js";
import { SlotHolderClient } from "../endpoints/SlotHolderClient.js";
import { SlotOwner } from "../endpoints/SlotOwner.js";
import { HeartbeatMembership } from "../membership/HeartbeatMembership.js";
import { HttpPlatformList } from "../membership/HttpPlatformList.js";
import { StagedPipelineRunner } from "../pipeline/StagedPipelineRunner.js";
import { PeerMarks } from "../records/PeerMarks.js";
import { ReplicatedClaims } from "../records/ReplicatedClaims.js";
import { ReplicatedJobs } from "../records/ReplicatedJobs.js";
import { ReplicatedQuarantine } from "../records/ReplicatedQuarantine.js";
import { BlockPrefixIndex } from "../routing/BlockPrefixIndex.js";
import { CostRouter } from "../routing/CostRouter.js";
import type { Service } from "../supervise/Types.js";
import type { ControlPart } from "./ControlPart.js";
import { JobWorker } from "./JobWorker.js";
import type { DaemonBase } from "./Types.js";

export interface WorkPart {
    readonly membership: HeartbeatMembership;
    readonly directory: EndpointTable;
    readonly owner: SlotOwner;
    readonly holder: SlotHolderClient;
    readonly jobs: ReplicatedJobs;
    readonly runner: StagedPipelineRunner;
    /** In order of start. */
    readonly services: readonly Service[];
}

export function buildWork(base: DaemonBase, control: ControlPart, config: ConfigSource): WorkPart {
    const { clock, log, transport, registry, dataCentre, random, metrics } = base;
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
    const authority = new OwnerAuthority(membership, config, undefined);
    const connections = new EndpointConnections(config, clock);
    const loads = new HttpLoadSource(connections, clock);
    const owner = new SlotOwner({ membership, authority, config, registry, transport, clock, log, loads, platform });
    const holder = new SlotHolderClient({
        membership,
        authority,
        config,
        registry,
        transport,
        clock,
        localOwner: owner,
    });
    const directory = new EndpointTable({ dataCentre, config, held: holder, clock, platform });
    const limits = () => {
        const settings = config.current()?.settings ?? base.settings;
        return { ...settings.limits, ...settings.timing };
    };
    const claims = new ReplicatedClaims(control.records, clock, log, limits);
    const jobs = new ReplicatedJobs(control.records, clock, log, limits);
    const quarantine = buildQuarantine(base, control, config);
    const runner = new StagedPipelineRunner({
        config,
        router: new CostRouter({ directory, prefixes: new BlockPrefixIndex(log), dataCentre }),
        directory,
        slots: holder,
        client: new HttpStageClient({ config, clock, connections }),
        claims,
        quarantine,
        clock,
        log,
        metrics,
        random,
    });
    const worker = new JobWorker({ jobs, runner, config, clock, dataCentre });
    return {
        membership,
        directory,
        owner,
        holder,
        jobs,
        runner,
        services: [platform, membership, owner, holder, quarantine, worker],
    };
}

/** The host's copy of the crash marks; the other configured hosts are told of new ones. */
function buildQuarantine(base: DaemonBase, control: ControlPart, config: ConfigSource): ReplicatedQuarantine {
    const { host, settings, transport, registry, clock, log } = base;
    const hosts = () => Object.keys((config.current()?.settings ?? settings).hosts) as HostId[];
    const marks = new PeerMarks(transport, registry, () => hosts().filter(id => id !== host));
    return new ReplicatedQuarantine(control.records, clock, log, marks);
}
