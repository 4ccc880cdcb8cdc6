/**
 * Tasks that nobody awaits. A rejection that nobody handles ends the process, with all its requests; most are caused by
 * data of another process, which must cost no more than the task.
 */
import { InvariantError } from "../common/Invariant.js";
import { EventId } from "./Events.js";
import type { EventLog } from "./Types.js";

/**
 * The message of what a task has thrown. Throws a broken invariant again: in a handler of a rejection, that ends the
 * process as before.
 */
export function failureMessage(err: unknown): string {
    if (err instanceof InvariantError) {
        throw err;
    }
    return err instanceof Error ? err.stack ?? err.message : String(err);
}

/** Lets a task run by itself; logs a rejection with the name of the task. A broken invariant still ends the process. */
export function inBackground(log: EventLog, task: string, work: Promise<unknown>): void {
    work.catch((err: unknown) => log.event(EventId.BackgroundTaskFailed, { task, message: failureMessage(err) }));
}
