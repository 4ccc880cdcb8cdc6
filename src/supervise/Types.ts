/** Services under supervision: started in order, restarted with backoff, stopped in reverse order. */

/** A part of a daemon with a life of its own. */
export interface Service {
    readonly name: string;
    /** Runs until the signal is aborted. Returning or throwing before that is a failure and leads to a restart. */
    run(signal: AbortSignal): Promise<void>;
    /** Ends work in progress before `run` is aborted; resolves when done or when the grace time has passed. */
    drain?(graceMs: number): Promise<DrainReport>;
}

/** What a planned stop left unfinished. */
export interface DrainReport {
    readonly unfinished: number;
    readonly what: string;
}
