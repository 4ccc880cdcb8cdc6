/**
 * Serves the committed configuration to hosts that pull it, and records the version in force that each of them reports.
 * A pull waits for a newer version (long polling), so that a change reaches every host in one round trip.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerRegistry } from "../peer/Types.js";
import { Notifier } from "../replication/Notifier.js";
import { pullMethod, type PullReply, type PullRequest, reportsMethod } from "./ConfigMessages.js";
import { baseDocument, type CommittedConfig, type HostReport } from "./Types.js";

/** Bounds on the age and the number of kept reports; the oldest are dropped first. */
const maxReportAgeMs = 600_000;
const maxReports = 4096;

/** Source of the configuration that is served. */
export interface CommittedSource {
    /** Undefined before anything is committed. */
    committed(): CommittedConfig | undefined;
    /** True while this host learns of newer versions without delay. */
    isCurrent(): boolean;
    /** Brings the committed state up to date with a quorum; false when no quorum can be reached. */
    confirm(): Promise<boolean>;
}

export class ConfigDistribution {
    private readonly versionChanged: Notifier;
    private readonly reports = new Map<HostId, { readonly version: number; readonly atMs: number; }>();

    public constructor(private readonly source: CommittedSource, private readonly clock: Clock) {
        this.versionChanged = new Notifier(clock);
    }

    public register(registry: PeerRegistry): void {
        registry.handle(pullMethod, (req, from) => this.pull(req, from));
        registry.handle(reportsMethod, async () => this.listReports());
    }

    /** Wakes the pulls that wait for a newer version. */
    public notify(): void {
        this.versionChanged.notify();
    }

    /** Records the version in force on a host. */
    public report(host: HostId, version: number): void {
        this.reports.delete(host);
        this.reports.set(host, { version, atMs: this.clock.nowMs() });
        for (const [oldest, { atMs }] of this.reports) {
            if (this.reports.size <= maxReports && this.clock.nowMs() - atMs < maxReportAgeMs) {
                return;
            }
            this.reports.delete(oldest);
        }
    }

    public listReports(): readonly HostReport[] {
        const nowMs = this.clock.nowMs();
        return [...this.reports].map(([host, { version, atMs }]) => ({ host, version, ageMs: nowMs - atMs }));
    }

    private async pull(req: PullRequest, from: HostId): Promise<PullReply> {
        this.report(from, req.inForce);
        const isConfirmed = req.confirm && await this.source.confirm();
        const deadlineMs = this.clock.nowMs() + req.waitMs;
        while (this.version() <= req.held && this.clock.nowMs() < deadlineMs && this.source.isCurrent()) {
            await this.versionChanged.wait(deadlineMs - this.clock.nowMs());
        }
        const version = this.version();
        const reply: PullReply = { version, isCurrent: this.source.isCurrent(), isConfirmed };
        return version > req.held ? { ...reply, config: this.updateFor(req) } : reply;
    }

    private version(): number {
        return this.source.committed()?.version ?? 0;
    }

    /** The base and the site's overlay, without the documents that the requesting host already has in this version. */
    private updateFor(req: PullRequest): CommittedConfig | undefined {
        const config = this.source.committed();
        if (config === undefined) {
            return undefined;
        }
        const missing = Object.entries(config.documents).filter(([name, document]) =>
            (name === baseDocument || name === req.site) && (req.documents[name] ?? 0) < document.version
        );
        return { ...config, documents: Object.fromEntries(missing) };
    }
}
