/** Collects what control hosts know of the versions in force, and what they have confirmed. */
import { type Either, Left, Right } from "purify-ts";
import type { HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { type ConfigReadReply, readMethod, reportsMethod } from "./ConfigMessages.js";
import type { ConfirmedConfig, HostReport } from "./Types.js";

const reportsTimeoutMs = 1000;
const readTryMs = 2000;

/** Joins the reports of several control hosts; the newest of each host counts. */
export async function collectReports(
    hosts: readonly HostId[],
    transport: PeerTransport,
    own: readonly HostReport[] = [],
): Promise<readonly HostReport[]> {
    const replies = await Promise.all(
        hosts.map(host => transport.call(host, reportsMethod, {}, { timeoutMs: reportsTimeoutMs })),
    );
    const newest = new Map<HostId, HostReport>();
    for (const report of [own, ...replies.map(reply => reply.orDefault([]))].flat()) {
        const known = newest.get(report.host);
        if (known === undefined || report.ageMs < known.ageMs) {
            newest.set(report.host, report);
        }
    }
    return [...newest.values()].sort((a, b) => a.host < b.host ? -1 : 1);
}

/** Asks one control host after the other for the configuration that a quorum confirms. */
export async function readFromAny(
    hosts: readonly HostId[],
    transport: PeerTransport,
    timeoutMs: number,
): Promise<Either<string, ConfirmedConfig>> {
    let message = "no control host is known";
    const tryMs = Math.min(readTryMs, timeoutMs);
    for (const host of hosts) {
        const reply = await transport.call(host, readMethod, { timeoutMs: tryMs }, { timeoutMs: tryMs });
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
