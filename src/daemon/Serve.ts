/** Implements `fireflykeel serve`: runs one daemon until a signal. */
import { createWriteStream, readFileSync, type WriteStream } from "node:fs";
import { Either } from "purify-ts";
import type { InvariantError } from "../common/Invariant.js";
import type { DataCentreId } from "../common/Types.js";
import type { DaemonSettings, Settings } from "../config/Schema.js";
import { Daemon } from "./Daemon.js";
import { readKeys } from "./Keys.js";

/** How serving ended: drained, with work left unfinished, or not started because of invalid settings or keys. */
export type ServeResult = "stopped" | "work-left" | "invalid";

/** Exit code after a broken invariant. */
const brokenInvariantExitCode = 70;
/** Exit code after a second signal. */
const secondSignalExitCode = 6;

/** Serves until SIGTERM or SIGINT. A second signal ends the process immediately, with an error message. */
export async function serveUntilSignal(
    settings: Settings,
    baseFile: string,
    overlayFiles: readonly string[],
    printError: (text: string) => void,
): Promise<ServeResult> {
    const { daemon } = settings;
    const settingsError = validateDaemonSettings(settings);
    if (daemon === undefined || settingsError !== undefined) {
        printError(settingsError ?? "the settings have no daemon section");
        return "invalid";
    }
    const keys = readKeys(daemon);
    if (keys.isLeft()) {
        printError(keys.swap().unsafeCoerce().message);
        return "invalid";
    }
    const log = openLog(daemon);
    const running = new Daemon({
        settings: { ...settings, daemon },
        seeds: readSeeds(baseFile, overlayFiles, settings.hosts[daemon.host]?.dataCentre),
        keys: keys.unsafeCoerce(),
        sink: line => log.write(`${line}\n`),
        onFatal: err => stopOnBrokenInvariant(err, printError),
    });
    return runDaemon(running, printError);
}

async function runDaemon(daemon: Daemon, printError: (text: string) => void): Promise<ServeResult> {
    const abort = new AbortController();
    const firstSignal = new Promise<string>(resolve => {
        const onSignal = (signal: NodeJS.Signals) => {
            if (abort.signal.aborted) {
                printError(`second signal (${signal}): exiting immediately, work in progress is aborted`);
                process.exit(secondSignalExitCode);
            }
            abort.abort();
            resolve(signal);
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
    void daemon.start(abort.signal);
    const left = await Promise.race([firstSignal.then(signal => daemon.stop(signal)), daemon.whenStopped]);
    for (const report of left) {
        printError(`left unfinished: ${report.unfinished} ${report.what}`);
    }
    return left.length > 0 ? "work-left" : "stopped";
}

/** Validates the settings of this process; returns the error message, or undefined when they are valid. */
function validateDaemonSettings(settings: Settings): string | undefined {
    const { daemon } = settings;
    if (daemon?.host === undefined) {
        return "name the host that this process is, by --host or by daemon.host";
    }
    const host = settings.hosts[daemon.host];
    if (host === undefined) {
        return `there is no host "${daemon.host}" in the settings`;
    }
    if (host.control !== "none" && daemon.dataDir === undefined) {
        return `host "${daemon.host}" is a control host and needs --data-dir or daemon.dataDir`;
    }
    return undefined;
}

function openLog(daemon: DaemonSettings): Pick<WriteStream, "write"> | NodeJS.WriteStream {
    return daemon.logFile === undefined ? process.stdout : createWriteStream(daemon.logFile, { flags: "a" });
}

/** Reads the texts of the base file and of the overlay named after the data centre. Unreadable files count as empty. */
function readSeeds(
    baseFile: string,
    overlayFiles: readonly string[],
    dataCentre: DataCentreId | undefined,
): Readonly<Record<string, string>> {
    const base = Either.encase(() => readFileSync(baseFile, "utf8")).orDefault("");
    const overlay = overlayFiles.find(file => new RegExp(`(^|/)${dataCentre ?? ""}\\.ya?ml$`).test(file));
    if (overlay === undefined || dataCentre === undefined) {
        return { base };
    }
    return { base, [dataCentre]: Either.encase(() => readFileSync(overlay, "utf8")).orDefault("") };
}

function stopOnBrokenInvariant(err: InvariantError, printError: (text: string) => void): void {
    printError(err.message);
    process.exit(brokenInvariantExitCode);
}
