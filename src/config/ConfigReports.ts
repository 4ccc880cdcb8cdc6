/** Reads the reported versions in force, and the configuration that a quorum confirms, from control hosts. */
import { type Either, Left, Right } from "purify-ts";
import type { HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { type ConfigReadReply, readMethod, reportsMethod } from "./ConfigMessages.js";
import type { ConfirmedConfig, HostReport } from "./Types.js";

const reportsTimeoutMs = 1000;
/** Timeout of a read at one control host. */
const readAttemptMs = 2000;

/** Merges the reports of several control hosts, keeping the newest of each host. Hosts that don't reply are skipped. */
export async function collectReports(
    hosts: readonly HostId[],
    transport: PeerTransport,
    localReports: readonly HostReport[] = [],
): Promise<readonly HostReport[]> {
    const replies = await Promise.all(
        hosts.map(host => transport.call(host, reportsMethod, {}, { timeoutMs: reportsTimeoutMs })),
    );
    const newestByHost = new Map<HostId, HostReport>();
    for (const report of [localReports, ...replies.map(reply => reply.orDefault([]))].flat()) {
        const known = newestByHost.get(report.host);
        if (known === undefined || report.ageMs < known.ageMs) {
            newestByHost.set(report.host, report);
        }
    }
    return [...newestByHost.values()].sort((a, b) => a.host < b.host ? -1 : 1);
}

/** Tries the control hosts in turn for the configuration that a quorum confirms. Left: the last host's error. */
export async function readFromAny(
    hosts: readonly HostId[],
    transport: PeerTransport,
    timeoutMs: number,
): Promise<Either<string, ConfirmedConfig>> {
    let message = "no control host is known";
    const attemptTimeoutMs = Math.min(readAttemptMs, timeoutMs);
    for (const host of hosts) {
        const reply = await transport.call(host, readMethod, { timeoutMs: attemptTimeoutMs }, {
            timeoutMs: attemptTimeoutMs,
        });
        const answer = reply.caseOf<ConfigReadReply>({
            Left: error => ({ kind: "failed", message: error.message }),
            Right: one => one,
        });
        if (answer.kind === "read") {
            return Right(answer.confirmed);
        }
        message = `${host}: ${answer.message}`;
    }
    return Left(message);
}
