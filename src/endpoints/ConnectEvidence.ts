/**
 * What failed connections to an endpoint prove, made by this host and by another one that it has asked. A refusal met by a
 * sound host proves that no process listens there. A time-out counts only when a sound host meets one too, since a host
 * that has lost its own paths meets time-outs everywhere. A host that could not be asked, or did not reply in time, proves
 * nothing.
 */
import type { ConnectError } from "./EndpointConnections.js";

/** Judges a failed direct connection by what another host has met; `isConfirmed` of its error says that it is sound. */
export function judgeFailure(own: ConnectError, helper: ConnectError): ConnectError {
    if (helper.isConfirmed !== true) {
        return { ...own, isConfirmed: false };
    }
    // A refusal reaches the sound host from the endpoint's machine, whatever has become of this host's own path.
    const isRefused = helper.kind === "refused";
    return { ...own, kind: isRefused ? "refused" : own.kind, isConfirmed: isRefused || own.kind === helper.kind };
}
