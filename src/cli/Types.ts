/** Types shared by the commands of the command line. */
import type { PlatformDocuments } from "./DocumentCommand.js";

/** Where a command writes its lines. */
export interface Output {
    readonly out: (text: string) => void;
    readonly err: (text: string) => void;
}

/** Exit codes, listed in the help of every command. */
export enum ExitCode {
    Ok = 0,
    /** The request was refused: invalid file, conflict, not found. */
    Failed = 1,
    /** The command line is invalid. */
    Usage = 2,
    /** No host could be reached or none has a quorum; nothing was changed. */
    Unavailable = 3,
    /** The change may or may not have been accepted; sending it again with the same id returns its result. */
    Unknown = 4,
    /** A planned stop left work unfinished. */
    WorkLeft = 5,
    /** A checked configuration is usable, but has warnings. */
    Warnings = 6,
}

/** Sets the exit code of the running command. */
export type SetExit = (code: ExitCode) => void;

/** Passed by the program to each command. */
export interface CommandContext {
    readonly output: Output;
    readonly setExit: SetExit;
    /** Undefined where the program has no adapter for a platform. */
    readonly platform?: PlatformDocuments | undefined;
}
