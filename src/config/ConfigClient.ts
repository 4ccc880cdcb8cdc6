/**
 * Configuration on a host without a replica. It long-polls the control host of its data centre, or else another control
 * host or a peer, for the next version, and serves the version that it has to peers.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, DataCentreId, HostId, Random } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { LeaderClient } from "../replication/LeaderClient.js";
import type { EventLog } from "../telemetry/Types.js";
import { ConfigDistribution } from "./ConfigDistribution.js";
import { changeMethod, type ChangeReply, pullMethod, type PullReply } from "./ConfigMessages.js";
import { collectReports, readFromAny } from "./ConfigReports.js";
import { LeaseServiceClient } from "./LeaseServiceClient.js";
import type {
    CommittedConfig,
    CommittedDocument,
    ConfigChange,
    ConfigChangeError,
    ConfigChangeResult,
    ConfigReader,
    ConfigSource,
    ConfigView,
    ConfigWriter,
    ConfirmedConfig,
    DocumentChecker,
    DocumentName,
    HostReport,
    Lease,
    LeaseError,
    LeaseService,
} from "./Types.js";
import { ViewPublisher } from "./ViewPublisher.js";

/** Long-poll duration: how long a pull waits at its source for a newer version. */
const pullWaitMs = 2000;
/** Time for a reply to arrive, on top of the time that the other host may take to produce it. */
const replyMarginMs = 500;
/** Bounds of the pause after all sources have been tried. It doubles each time once this host has a configuration. */
const minRetryMs = 250;
const maxRetryMs = 2000;
/** Time after the start in which only a state that a quorum has confirmed is accepted. */
const confirmWindowMs = 3000;
/** Timeout of a change at one control host. */
const changeAttemptMs = 3000;
const leaderRetryPauseMs = 100;

export interface ConfigClientOptions {
    readonly self: HostId;
    readonly site: DataCentreId;
    /** Control hosts, those of this data centre first. */
    readonly controlHosts: () => readonly HostId[];
    /** Other hosts of this data centre. */
    readonly peers: () => readonly HostId[];
    readonly checker: DocumentChecker;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
}

export class ConfigClient implements ConfigSource, ConfigWriter, ConfigReader, LeaseService {
    public readonly name = "config client";
    public readonly onChange: ConfigSource["onChange"];
    private readonly views: ViewPublisher;
    private readonly distribution: ConfigDistribution;
    private readonly leases: LeaseServiceClient;
    private documents: Readonly<Record<DocumentName, CommittedDocument>> = {};
    /** Newest configuration that this host has, whether or not it is in force. */
    private held: CommittedConfig | undefined;
    /** True while this host pulls from a control host that knows the leader; false while it pulls from a peer. */
    private isCurrent = false;

    public constructor(private readonly options: ConfigClientOptions) {
        const { self, site, checker, transport, clock, random, log } = options;
        this.views = new ViewPublisher(site, checker, log);
        this.onChange = this.views.onChange;
        this.distribution = new ConfigDistribution({
            committed: () => this.held,
            isCurrent: () => this.isCurrent,
            confirm: async () => false,
        }, clock);
        this.distribution.register(options.registry);
        const hosts = options.controlHosts;
        const leader = new LeaderClient({ self, transport, clock, hosts, pauseMs: leaderRetryPauseMs });
        this.leases = new LeaseServiceClient(self, clock, leader, random);
    }

    public current(): ConfigView | undefined {
        return this.views.current();
    }

    public acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>> {
        return this.leases.acquire(name, durationMs, timeoutMs);
    }

    public release(name: string): Promise<void> {
        return this.leases.release(name);
    }

    /** Tries the control hosts in turn. The id of the change makes it safe to send it to several of them. */
    public async change(
        change: ConfigChange,
        timeoutMs: number,
    ): Promise<Either<ConfigChangeError, ConfigChangeResult>> {
        const { clock, transport, controlHosts } = this.options;
        const deadlineMs = clock.nowMs() + timeoutMs;
        let mayBeAccepted = false;
        let message = "no control host is known";
        while (clock.nowMs() < deadlineMs) {
            for (const host of controlHosts()) {
                const attemptTimeoutMs = Math.min(changeAttemptMs, deadlineMs - clock.nowMs());
                if (attemptTimeoutMs <= 0) {
                    break;
                }
                const req = { change, timeoutMs: attemptTimeoutMs - Math.min(replyMarginMs, attemptTimeoutMs / 4) };
                const reply = await transport.call(host, changeMethod, req, { timeoutMs: attemptTimeoutMs });
                const changeReply = reply.map<ChangeReply | undefined>(one => one).orDefault(undefined);
                if (changeReply?.kind === "answered") {
                    return Right(changeReply.result);
                }
                message = reply.caseOf({
                    Left: error => `${host}: ${error.message}`,
                    Right: () => refusalMessageOf(changeReply),
                });
                const isReplyLost = reply.caseOf({ Left: error => error.kind === "no-reply", Right: () => false });
                mayBeAccepted ||= isReplyLost || changeReply?.kind === "unknown";
            }
            await clock.sleep(Math.min(minRetryMs, Math.max(0, deadlineMs - clock.nowMs())));
        }
        return Left({ kind: mayBeAccepted ? "unknown" : "not-accepted", message });
    }

    public read(timeoutMs: number): Promise<Either<string, ConfirmedConfig>> {
        return readFromAny(this.options.controlHosts(), this.options.transport, timeoutMs);
    }

    public reports(): Promise<readonly HostReport[]> {
        return collectReports(this.options.controlHosts(), this.options.transport);
    }

    /** Follows the committed configuration until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        const confirmUntilMs = clock.nowMs() + confirmWindowMs;
        let attempts = 0;
        let pauseMs = minRetryMs;
        while (!signal.aborted) {
            const sources = this.sources();
            const source = sources[attempts % Math.max(1, sources.length)];
            const mustConfirm = this.held === undefined && clock.nowMs() < confirmUntilMs;
            const reply = source === undefined ? undefined : await this.pull(source, mustConfirm, signal);
            const isUsable = reply?.config !== undefined && (!mustConfirm || reply.isConfirmed);
            if (isUsable && reply?.config !== undefined) {
                this.take(reply.config);
            }
            const isSourceCurrent = reply?.isCurrent ?? false;
            this.isCurrent = isSourceCurrent && this.options.controlHosts().some(host => host === source);
            if (isSourceCurrent && (isUsable || !mustConfirm)) {
                pauseMs = minRetryMs;
                continue;
            }
            attempts += 1;
            if (attempts % Math.max(1, sources.length) === 0) {
                await clock.sleep(pauseMs, signal);
                pauseMs = this.held === undefined ? minRetryMs : Math.min(maxRetryMs, pauseMs * 2);
            }
        }
    }

    private sources(): readonly HostId[] {
        const { self, controlHosts, peers } = this.options;
        return [...new Set([...controlHosts(), ...peers()])].filter(host => host !== self);
    }

    private async pull(source: HostId, confirm: boolean, signal: AbortSignal): Promise<PullReply | undefined> {
        const { self: host, site, transport } = this.options;
        const documents = Object.fromEntries(
            Object.entries(this.documents).map(([name, document]) => [name, document.version]),
        );
        const req = {
            host,
            site,
            inForce: this.views.version,
            held: this.held?.version ?? 0,
            documents,
            waitMs: pullWaitMs,
            confirm,
        };
        const reply = await transport.call(source, pullMethod, req, { timeoutMs: pullWaitMs + replyMarginMs, signal });
        return reply.map<PullReply | undefined>(one => one).orDefault(undefined);
    }

    /** Merges a pulled update with the documents that this host already has. Older versions are ignored. */
    private take(update: CommittedConfig): void {
        if (update.version <= (this.held?.version ?? 0)) {
            return;
        }
        const newer = Object.entries(update.documents).filter(([name, document]) =>
            document.version > (this.documents[name]?.version ?? 0)
        );
        this.documents = { ...this.documents, ...Object.fromEntries(newer) };
        this.held = { ...update, documents: this.documents };
        this.views.publish(this.held);
        this.distribution.notify();
    }
}

function refusalMessageOf(reply: ChangeReply | undefined): string {
    return reply === undefined || reply.kind === "answered" ? "" : reply.message;
}
