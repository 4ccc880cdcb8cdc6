/** Runs stand-ins in one process: `node standInProcess.js FILE`; FILE holds {@link StandInProcessOptions} as JSON. */
import { readFileSync } from "node:fs";
import { loadSettings } from "../src/config/Loader.js";
import { runStandIns } from "../standin/main.js";
import type { StandInSpeed } from "../standin/Types.js";

export interface StandInProcessOptions {
    readonly baseFile: string;
    readonly overlayFiles: readonly string[];
    /** Ids of the endpoints to run. */
    readonly only: readonly string[];
    readonly platform: boolean;
    readonly engineSpeed: Partial<StandInSpeed>;
    readonly startsCold: boolean;
    readonly seed: number;
}

const options = JSON.parse(readFileSync(process.argv[2] ?? "", "utf8")) as StandInProcessOptions;
const settings = loadSettings(options.baseFile, options.overlayFiles).unsafeCoerce();
const running = await runStandIns(settings, options);
process.on("SIGTERM", () => {
    running.dispose();
    process.exit(0);
});
