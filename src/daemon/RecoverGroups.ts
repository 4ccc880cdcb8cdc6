/** Implements `fireflykeel control recover`: makes the replicas in a data folder the only voters of their groups. */
import { join } from "node:path";
import { Either } from "purify-ts";
import type { HostId } from "../common/Types.js";
import { NodeDisk } from "../replication/NodeDisk.js";
import { recoverAsSoleVoter } from "../replication/Recovery.js";
import { groupNames } from "./ControlPlane.js";

/** Returns one report line for each group, or the first error. The host's daemon must not be running. */
export async function recoverGroups(dataDir: string, host: HostId): Promise<Either<string, readonly string[]>> {
    const disk = new NodeDisk();
    const lines: Either<string, string>[] = [];
    for (const group of groupNames) {
        const recovered = await recoverAsSoleVoter(disk, join(dataDir, group), host);
        lines.push(
            recovered
                .map(({ lastIndex, term }) =>
                    `${group}: ${host} is the only voter, at entry ${lastIndex} of term ${term}`
                )
                .mapLeft(error => `${group}: ${error.message}`),
        );
    }
    return Either.sequence(lines);
}
