/** Interfaces of supervised services: started in order, restarted with backoff, stopped in reverse order. */

/** A long-running component of a daemon. */
export interface Service {
    readonly name: string;
    /** Runs until the signal is aborted. Returning or throwing before that is a failure and leads to a restart. */
    run(signal: AbortSignal): Promise<void>;
    /** Completes work in progress before `run` is aborted; resolves when done or when the grace time has passed. */
    drain?(graceMs: number): Promise<DrainReport>;
}

/** Work that a planned stop left unfinished. */
export interface DrainReport {
    /** Number of unfinished work items. */
    readonly unfinished: number;
    /** Plural noun for the work items, for example "requests" or "jobs". */
    readonly what: string;
}
