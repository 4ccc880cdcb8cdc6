/** What a failure to connect says: whether the other end refused, could not be reached, or was never tried. */

/**
 * "refused": the other end, or the way to it, rejected the connection. "timeout": it can't be reached from here. "local":
 * this process has no descriptor, port or memory for the connection, which says nothing of the other end.
 */
export type ConnectFailure = "refused" | "timeout" | "local";

const failures: Readonly<Record<string, ConnectFailure>> = {
    EMFILE: "local",
    ENFILE: "local",
    ENOBUFS: "local",
    ENOMEM: "local",
    EADDRNOTAVAIL: "local",
    EADDRINUSE: "local",
    EAGAIN: "local",
    EACCES: "local",
    EPERM: "local",
    ENETUNREACH: "timeout",
    ENETDOWN: "timeout",
    EHOSTUNREACH: "timeout",
    EHOSTDOWN: "timeout",
    ETIMEDOUT: "timeout",
};

/** Tells what an error of a socket that has not connected means. */
export function connectFailureOf({ code }: NodeJS.ErrnoException): ConnectFailure {
    return failures[code ?? ""] ?? "refused";
}
