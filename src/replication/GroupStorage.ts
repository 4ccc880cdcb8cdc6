/**
 * Files of one group in its directory: `identity` (replica id), `vote` (term and vote), `snapshot-N`, and one log
 * file `log-G`, whose first record contains the index that it starts after. Every file but the log is written to a
 * temporary file, synced and renamed. The log is appended to, and rewritten at each start and each compaction, so that
 * the entries read at a start are durable even if an earlier sync failed.
 */
import { decode, encode } from "cborg";
import { dirname } from "node:path";
import { type Either, Left, Right } from "purify-ts";
import type { HostId } from "../common/Types.js";
import { encodeFrame, parseFrames } from "./Frame.js";
import type { Disk, GroupSnapshot, LogEntry, Member, StorageError } from "./Types.js";

/** A log that starts after `index`, with the term and the members as of that index. */
export interface StoredLog {
    readonly index: number;
    readonly term: number;
    readonly members: readonly Member[];
    readonly entries: readonly LogEntry[];
    /** Highest index known to be committed. */
    readonly commitIndex: number;
}

export interface StoredVote {
    readonly term: number;
    readonly votedFor: HostId | undefined;
}

export interface StoredState {
    readonly replica: string;
    readonly vote: StoredVote;
    readonly snapshot: GroupSnapshot | undefined;
    readonly log: StoredLog;
}

/** A record of the log file: its start, or entries that replace all entries from `first` on. */
type LogRecord =
    | { readonly kind: "start"; readonly index: number; readonly term: number; readonly members: readonly Member[]; }
    | {
        readonly kind: "entries";
        readonly first: number;
        readonly entries: readonly LogEntry[];
        readonly commit: number;
    };

const logName = /^log-(\d+)$/;
const snapshotName = /^snapshot-(\d+)$/;
/** Bound on entries in one record of a rewritten log file. */
const entriesPerRecord = 256;

const encodeOptions = { ignoreUndefinedProperties: true };

function encodeRecord(value: unknown): Uint8Array {
    return encodeFrame(encode(value, encodeOptions));
}

export class GroupStorage {
    private generation = 0;
    private currentLogBytes = 0;

    public constructor(private readonly disk: Disk, private readonly dir: string) {}

    /** Size of the log file, in bytes. */
    public get logBytes(): number {
        return this.currentLogBytes;
    }

    /** Reads the stored state, or initializes an empty directory with the replica id from `makeReplicaId`. */
    public async open(makeReplicaId: () => string): Promise<Either<StorageError, StoredState>> {
        const created = await this.disk.makeDir(this.dir);
        // Without it, a power loss may take the directory with everything in it.
        const durable = created.isLeft() ? created : await this.disk.syncDir(dirname(this.dir));
        const listed = durable.isLeft() ? durable : await this.disk.list(this.dir);
        if (listed.isLeft()) {
            return listed;
        }
        const names = listed.unsafeCoerce();
        const identity = await this.readValue<{ replica: string; }>("identity");
        if (identity.isLeft()) {
            return identity;
        }
        const stored = identity.unsafeCoerce();
        if (stored !== undefined) {
            return this.readState(stored.replica, names);
        }
        if (names.some(name => name === "vote" || snapshotName.test(name))) {
            return Left(this.damagedFile("identity", 0, "the file is missing although the directory has been used"));
        }
        return this.initialize(makeReplicaId());
    }

    /** Saves a term and vote; durable when it resolves. They must not be sent to other hosts before that. */
    public async saveVote(vote: StoredVote): Promise<Either<StorageError, void>> {
        return this.replaceFile("vote", encodeRecord(vote));
    }

    /** Replaces all entries from `first` on. Durable when it resolves; they must not be acknowledged before that. */
    public async append(
        first: number,
        entries: readonly LogEntry[],
        commit: number,
    ): Promise<Either<StorageError, void>> {
        const record: LogRecord = { kind: "entries", first, entries, commit };
        const path = this.path(`log-${this.generation}`);
        const frame = encodeRecord(record);
        this.currentLogBytes += frame.length;
        const appended = await this.disk.append(path, frame);
        return appended.isLeft() ? appended : this.disk.sync(path);
    }

    /** Saves a snapshot durably. Call {@link rewriteLog} and then {@link removeOld} afterwards. */
    public async saveSnapshot(snapshot: GroupSnapshot): Promise<Either<StorageError, void>> {
        return this.replaceFile(`snapshot-${snapshot.index}`, encodeRecord(snapshot));
    }

    /** Writes the whole log to a new file, the next generation. */
    public async rewriteLog(log: StoredLog): Promise<Either<StorageError, void>> {
        const start: LogRecord = { kind: "start", index: log.index, term: log.term, members: log.members };
        const frames = [encodeRecord(start)];
        for (let done = 0; done < log.entries.length; done += entriesPerRecord) {
            const entries = log.entries.slice(done, done + entriesPerRecord);
            const first = log.index + 1 + done;
            const commit = Math.min(log.commitIndex, first + entries.length - 1);
            frames.push(encodeRecord({ kind: "entries", first, entries, commit } satisfies LogRecord));
        }
        const next = this.generation + 1;
        const data = Buffer.concat(frames);
        const written = await this.replaceFile(`log-${next}`, data);
        if (written.isRight()) {
            this.generation = next;
            this.currentLogBytes = data.length;
        }
        return written;
    }

    /** Removes old log generations, snapshots before `snapshotIndex` and temporary files. */
    public async removeOld(snapshotIndex: number): Promise<Either<StorageError, void>> {
        const listed = await this.disk.list(this.dir);
        if (listed.isLeft()) {
            return listed;
        }
        for (const name of listed.unsafeCoerce()) {
            const log = logName.exec(name)?.[1];
            const snapshot = snapshotName.exec(name)?.[1];
            const isOldLog = log !== undefined && Number(log) < this.generation;
            const isOldSnapshot = snapshot !== undefined && Number(snapshot) < snapshotIndex;
            if (isOldLog || isOldSnapshot || name.endsWith(".tmp")) {
                const removed = await this.disk.remove(this.path(name));
                if (removed.isLeft()) {
                    return removed;
                }
            }
        }
        return Right(undefined);
    }

    /** Initializes an empty directory. The identity is written last: without it the directory counts as empty. */
    private async initialize(replica: string): Promise<Either<StorageError, StoredState>> {
        const log: StoredLog = { index: 0, term: 0, members: [], entries: [], commitIndex: 0 };
        const rewritten = await this.rewriteLog(log);
        const saved = rewritten.isLeft() ? rewritten : await this.replaceFile("identity", encodeRecord({ replica }));
        return saved.map(() => ({ replica, vote: { term: 0, votedFor: undefined }, snapshot: undefined, log }));
    }

    private async readState(replica: string, names: readonly string[]): Promise<Either<StorageError, StoredState>> {
        const vote = await this.readValue<StoredVote>("vote");
        if (vote.isLeft()) {
            return vote;
        }
        const snapshotIndex = highestNumber(names, snapshotName);
        const snapshot = snapshotIndex === undefined
            ? Right(undefined)
            : await this.readValue<GroupSnapshot>(`snapshot-${snapshotIndex}`);
        if (snapshot.isLeft()) {
            return snapshot;
        }
        const log = await this.readLog(highestNumber(names, logName));
        if (log.isLeft()) {
            return log;
        }
        return this.assembleState(
            replica,
            vote.unsafeCoerce(),
            snapshot.unsafeCoerce(),
            log.unsafeCoerce(),
        );
    }

    /** Combines vote, snapshot and log; fails when one of them is missing or older than the others. */
    private async assembleState(
        replica: string,
        vote: StoredVote | undefined,
        snapshot: GroupSnapshot | undefined,
        stored: StoredLog,
    ): Promise<Either<StorageError, StoredState>> {
        if (stored.index > (snapshot?.index ?? 0)) {
            return Left(
                this.damagedFile("snapshot", 0, `the log starts after ${stored.index}, and no snapshot reaches it`),
            );
        }
        const log = snapshot === undefined ? stored : alignWithSnapshot(stored, snapshot);
        const lastTerm = log.entries.at(-1)?.term ?? log.term;
        if ((vote?.term ?? 0) < lastTerm) {
            return Left(this.damagedFile("vote", 0, `the file is missing or older than the log (term ${lastTerm})`));
        }
        const rewritten = await this.rewriteLog(log);
        const cleaned = rewritten.isLeft() ? rewritten : await this.removeOld(snapshot?.index ?? 0);
        return cleaned.map(() => ({ replica, vote: vote ?? { term: 0, votedFor: undefined }, snapshot, log }));
    }

    private async readLog(generation: number | undefined): Promise<Either<StorageError, StoredLog>> {
        if (generation === undefined) {
            return Left(this.damagedFile("log", 0, "no log file although the directory has been used"));
        }
        this.generation = generation;
        const name = `log-${generation}`;
        const read = await this.disk.read(this.path(name));
        const frames = read.chain(data =>
            parseFrames(data ?? new Uint8Array()).mapLeft(damage =>
                this.damagedFile(name, damage.offset, damage.message)
            )
        );
        if (frames.isLeft()) {
            return frames;
        }
        const payloads = frames.unsafeCoerce().payloads;
        return this.replay(name, payloads.map(payload => decode(payload) as LogRecord));
    }

    private replay(name: string, records: readonly LogRecord[]): Either<StorageError, StoredLog> {
        const start = records[0];
        if (start?.kind !== "start") {
            return Left(this.damagedFile(name, 0, "the log does not begin with its start record"));
        }
        const entries: LogEntry[] = [];
        let commitIndex = start.index;
        for (const record of records) {
            if (record.kind === "start") {
                continue;
            }
            const kept = record.first - start.index - 1;
            if (kept < 0 || kept > entries.length) {
                return Left(this.damagedFile(name, 0, `a record of entry ${record.first} leaves a gap`));
            }
            entries.length = kept;
            entries.push(...record.entries);
            commitIndex = Math.max(commitIndex, record.commit);
        }
        if (commitIndex > start.index + entries.length) {
            return Left(this.damagedFile(name, 0, `entry ${commitIndex} was committed and is missing`));
        }
        return Right({ index: start.index, term: start.term, members: start.members, entries, commitIndex });
    }

    private async readValue<T>(name: string): Promise<Either<StorageError, T | undefined>> {
        const data = await this.disk.read(this.path(name));
        if (data.isLeft()) {
            return data;
        }
        const bytes = data.unsafeCoerce();
        if (bytes === undefined) {
            return Right(undefined);
        }
        const frames = parseFrames(bytes);
        const payload = frames.map(parsed => parsed.payloads[0]).orDefault(undefined);
        if (payload === undefined) {
            return Left(this.damagedFile(name, 0, "bad checksum, or the file is too short"));
        }
        return Right(decode(payload) as T);
    }

    /** Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the directory. */
    private async replaceFile(name: string, data: Uint8Array): Promise<Either<StorageError, void>> {
        const path = this.path(name);
        const temporaryPath = `${path}.tmp`;
        const written = await this.disk.write(temporaryPath, data);
        const synced = written.isLeft() ? written : await this.disk.sync(temporaryPath);
        const renamed = synced.isLeft() ? synced : await this.disk.rename(temporaryPath, path);
        return renamed.isLeft() ? renamed : this.disk.syncDir(this.dir);
    }

    private damagedFile(name: string, offset: number, message: string): StorageError {
        return { kind: "damaged", file: this.path(name), offset, message };
    }

    private path(name: string): string {
        return `${this.dir}/${name}`;
    }
}

function highestNumber(names: readonly string[], pattern: RegExp): number | undefined {
    const numbers = names.map(name => pattern.exec(name)?.[1]).filter(text => text !== undefined).map(Number);
    return numbers.length === 0 ? undefined : Math.max(...numbers);
}

/**
 * Aligns the log with the snapshot. A snapshot from the leader may be newer than the log, or replace entries that were
 * never committed; the log is then dropped.
 */
function alignWithSnapshot(log: StoredLog, snapshot: GroupSnapshot): StoredLog {
    const term = snapshot.index === log.index ? log.term : log.entries[snapshot.index - log.index - 1]?.term;
    if (term === snapshot.term) {
        return { ...log, commitIndex: Math.max(log.commitIndex, snapshot.index) };
    }
    const { index, members } = snapshot;
    return { index, term: snapshot.term, members, entries: [], commitIndex: index };
}
