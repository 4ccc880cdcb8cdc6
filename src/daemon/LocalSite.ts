/** Runs all configured hosts in one process, each with its own data folder, for demonstrations and tests. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import type { InvariantError } from "../common/Invariant.js";
import type { HostId } from "../common/Types.js";
import type { Settings } from "../config/Schema.js";
import type { DrainReport } from "../supervise/Types.js";
import { Daemon } from "./Daemon.js";
import type { DaemonKeys } from "./Keys.js";

export interface LocalSiteOptions {
    readonly settings: Settings;
    /** Configuration texts by document: "base", and one overlay for each data centre. */
    readonly documents: Readonly<Record<string, string>>;
    readonly keys: DaemonKeys;
    /** Folder that holds a data folder for each host. */
    readonly dir: string;
    readonly sink: (line: string) => void;
    readonly onFatal: (err: InvariantError) => void;
}

export class LocalSite {
    private readonly daemons = new Map<HostId, Daemon>();

    public constructor(private readonly options: LocalSiteOptions) {}

    /** Starts every host; resolves once a committed configuration is in force on all. */
    public async start(): Promise<void> {
        const hosts = Object.keys(this.options.settings.hosts) as HostId[];
        await Promise.all(hosts.map(host => this.startHost(host)));
    }

    /** Starts one host; also restarts a host that was stopped. */
    public async startHost(host: HostId): Promise<void> {
        const { settings, documents, keys, dir, sink, onFatal } = this.options;
        const dataCentre = settings.hosts[host]?.dataCentre ?? "";
        const seeds = Object.fromEntries(
            Object.entries(documents).filter(([name]) => name === "base" || name === dataCentre),
        );
        const dataDir = join(dir, host);
        mkdirSync(dataDir, { recursive: true });
        const daemon = new Daemon({
            settings: { ...settings, daemon: { host, dataDir, dial: {} } },
            seeds,
            keys,
            sink,
            onFatal,
        });
        this.daemons.set(host, daemon);
        await daemon.start();
    }

    /** Stops one host as planned. */
    public async stopHost(host: HostId): Promise<readonly DrainReport[]> {
        const daemon = this.daemons.get(host);
        this.daemons.delete(host);
        return await daemon?.stop("site") ?? [];
    }

    /** Ends one host without a drain. */
    public async abortHost(host: HostId): Promise<void> {
        await this.daemons.get(host)?.abort();
        this.daemons.delete(host);
    }

    /** Ends every host without a drain. */
    public async abort(): Promise<void> {
        await Promise.all([...this.daemons.keys()].map(host => this.abortHost(host)));
    }
}
