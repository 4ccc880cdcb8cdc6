/**
 * Runs a site's daemons and stand-ins as separate processes on loopback, with all their files in one folder. Used by
 * the experiments and by the tests with real processes.
 */
import { copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { basename, join, resolve } from "node:path";
import { stringify } from "yaml";
import type { Clock } from "../src/common/Types.js";
import { loadSettings } from "../src/config/Loader.js";
import type { Settings } from "../src/config/Schema.js";
import type { StandInSpeed } from "../standin/Types.js";
import { Processes } from "./Processes.js";
import type { StandInProcessOptions } from "./standInProcess.js";

export interface ClusterOptions {
    /** Folder for configuration files, data and logs; it is emptied first. */
    readonly folder: string;
    readonly baseFile: string;
    /** Overlay files, by data centre. */
    readonly overlays: Readonly<Record<string, string>>;
    readonly engineSpeed: Partial<StandInSpeed>;
    readonly seed: number;
    /** Whether the stand-ins start cold; default true. */
    readonly startsCold?: boolean;
    readonly clock: Clock;
    /** Addresses that a host connects to instead of the configured ones, by host or endpoint. */
    readonly dial?: (host: string) => Readonly<Record<string, string>>;
}

/** The folder of the compiled scripts. */
const compiledFolder = resolve(import.meta.dirname, "..");
const daemonScript = join(compiledFolder, "bin/fireflykeel.js");
const standInScript = join(compiledFolder, "bench/standInProcess.js");

/** Keys for experiments on loopback; they protect nothing else. */
export const operatorKey = "operator-key-of-a-bench";
const peerKey = "peer-key-of-a-bench-run";

export class Cluster {
    public readonly settings: Settings;
    public readonly processes: Processes;

    public constructor(private readonly options: ClusterOptions) {
        rmSync(options.folder, { recursive: true, force: true });
        mkdirSync(options.folder, { recursive: true });
        this.settings = loadSettings(options.baseFile, []).unsafeCoerce();
        this.processes = new Processes(options.folder, options.clock);
        copyFileSync(options.baseFile, this.path("base.yaml"));
        for (const [site, file] of Object.entries(options.overlays)) {
            copyFileSync(file, this.path(`${site}.yaml`));
        }
        writeFileSync(this.path("operator.key"), operatorKey);
        writeFileSync(this.path("peer.key"), peerKey);
    }

    /** Paths of the daemons' log files. */
    public get logFiles(): string[] {
        return Object.keys(this.settings.hosts).map(host => this.path(`${host}.log`));
    }

    /** Starts one process with the stand-ins of each data centre; the first one also simulates the platform. */
    public startStandIns(): void {
        for (const [index, dataCentre] of Object.keys(this.settings.dataCentres).entries()) {
            const only = Object.entries(this.settings.endpoints)
                .filter(([, endpoint]) => endpoint.dataCentre === dataCentre)
                .map(([id]) => id);
            const { engineSpeed, seed } = this.options;
            const file = this.path(`standins-${dataCentre}.json`);
            const options: StandInProcessOptions = {
                baseFile: this.path("base.yaml"),
                overlayFiles: this.siteOverlay(dataCentre),
                only,
                platform: index === 0,
                engineSpeed,
                startsCold: this.options.startsCold ?? true,
                seed: seed + index,
            };
            writeFileSync(file, JSON.stringify(options));
            this.processes.start(`standins-${dataCentre}`, standInScript, [file]);
        }
    }

    public startDaemons(): void {
        Object.keys(this.settings.hosts).forEach(host => this.startDaemon(host));
    }

    /** Starts a host's daemon, also again after it has ended. */
    public startDaemon(host: string): void {
        const settings = Object.entries(this.settings.hosts).find(([id]) => id === host)?.[1];
        const daemon = {
            host,
            operatorKeyFile: this.path("operator.key"),
            peerKeyFile: this.path("peer.key"),
            logFile: this.path(`${host}.log`),
            dial: this.options.dial?.(host) ?? {},
            ...(settings?.control === "none" ? {} : { dataDir: this.path(`data-${host}`) }),
        };
        writeFileSync(this.path(`host-${host}.yaml`), stringify({ daemon }));
        const overlays = [...this.siteOverlay(settings?.dataCentre ?? ""), this.path(`host-${host}.yaml`)];
        const overlayArgs = overlays.flatMap(file => ["--overlay", file]);
        this.processes.start(host, daemonScript, ["serve", "--config", this.path("base.yaml"), ...overlayArgs]);
    }

    public hostsOf(dataCentre: string): string[] {
        return Object.entries(this.settings.hosts)
            .filter(([, host]) => host.dataCentre === dataCentre)
            .map(([id]) => id);
    }

    public stop(): Promise<void> {
        return this.processes.stopAll();
    }

    private siteOverlay(dataCentre: string): string[] {
        return Object.hasOwn(this.options.overlays, dataCentre) ? [this.path(`${dataCentre}.yaml`)] : [];
    }

    private path(name: string): string {
        return join(this.options.folder, basename(name));
    }
}
