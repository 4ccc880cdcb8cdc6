/** What the commands of the command line share. */

/** Where a command writes its lines. */
export interface Output {
    readonly out: (text: string) => void;
    readonly err: (text: string) => void;
}

/** Exit codes; every command's help names them. */
export enum ExitCode {
    Ok = 0,
    /** The command was carried out and the answer is no: invalid file, conflict, not found. */
    Failed = 1,
    /** The command line could not be understood. */
    Usage = 2,
    /** No host could be reached or none has a quorum; nothing was changed. */
    Unavailable = 3,
    /** The change may or may not have been accepted; sending it again with the same id tells. */
    Unknown = 4,
    /** A planned stop left work unfinished. */
    WorkLeft = 5,
}

/** Sets the exit code of the running command. */
export type SetExit = (code: ExitCode) => void;

/** What a command gets from the program. */
export interface CommandContext {
    readonly output: Output;
    readonly setExit: SetExit;
}
