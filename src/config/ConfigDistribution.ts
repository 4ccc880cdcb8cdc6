/**
 * Gives the committed configuration to hosts that ask for it, and keeps the version in force that each of them
 * reports. A request waits for a newer version, so that a change reaches every host in one round trip.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerRegistry } from "../peer/Types.js";
import { Notifier } from "../replication/Notifier.js";
import { pullMethod, type PullReply, type PullRequest, reportsMethod } from "./ConfigMessages.js";
import { baseDocument, type CommittedConfig, type HostReport } from "./Types.js";

/** Reports older than this are dropped, and so are the oldest beyond the number. */
const reportLifeMs = 600_000;
const maxReports = 4096;

/** Where the distribution takes the configuration from. */
export interface CommittedSource {
    /** Undefined before anything is committed. */
    committed(): CommittedConfig | undefined;
    /** True while this host would learn of a newer version at once. */
    isCurrent(): boolean;
    /** Brings the committed state up to date with a quorum; false when none can be reached. */
    confirm(): Promise<boolean>;
}

export class ConfigDistribution {
    private readonly changed: Notifier;
    private readonly reports = new Map<HostId, { readonly version: number; readonly atMs: number; }>();

    public constructor(private readonly source: CommittedSource, private readonly clock: Clock) {
        this.changed = new Notifier(clock);
    }

    public register(registry: PeerRegistry): void {
        registry.handle(pullMethod, (req, from) => this.pull(req, from));
        registry.handle(reportsMethod, async () => this.listReports());
    }

    /** Wakes the hosts that wait for a newer version. */
    public notify(): void {
        this.changed.notify();
    }

    /** Notes the version in force on a host. */
    public report(host: HostId, version: number): void {
        this.reports.delete(host);
        this.reports.set(host, { version, atMs: this.clock.nowMs() });
        for (const [oldest, { atMs }] of this.reports) {
            if (this.reports.size <= maxReports && this.clock.nowMs() - atMs < reportLifeMs) {
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
            await this.changed.wait(deadlineMs - this.clock.nowMs());
        }
        const version = this.version();
        const reply: PullReply = { version, isCurrent: this.source.isCurrent(), isConfirmed };
        return version > req.held ? { ...reply, config: this.partFor(req) } : reply;
    }

    private version(): number {
        return this.source.committed()?.version ?? 0;
    }

    /** The base and the site's overlay, as far as the asking host lacks them. */
    private partFor(req: PullRequest): CommittedConfig | undefined {
        const config = this.source.committed();
        if (config === undefined) {
            return undefined;
        }
        const wanted = Object.entries(config.documents).filter(([name, document]) =>
            (name === baseDocument || name === req.site) && (req.documents[name] ?? 0) < document.version
        );
        return { ...config, documents: Object.fromEntries(wanted) };
    }
}
