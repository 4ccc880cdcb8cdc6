/**
 * A {@link Disk} in memory with the semantics of a real one: written data and names survive a crash only once they are
 * synced. {@link FakeDisk.crash} returns the disk as the next start finds it. Faults: a full disk, failing syncs,
 * flipped bits, and a last write that is torn at a chosen byte.
 */
import { dirname } from "node:path";
import { type Either, Left, Right } from "purify-ts";
import type { Random } from "../src/common/Types.js";
import type { Disk, DiskError } from "../src/replication/Types.js";

interface FakeFile {
    data: Uint8Array;
    /** The content that survives a crash. */
    synced: Uint8Array;
}

/** What a crash does to appended bytes that were not synced. */
export type CrashLoss =
    | { readonly kind: "lose-all"; }
    /** Keeps the first `bytes` bytes of the unsynced tail; with `zeros`, the rest of the tail reads as zeros. */
    | { readonly kind: "keep"; readonly bytes: number; readonly zeros: boolean; }
    /** Loses, tears or keeps each unsynced tail and each unsynced change of a name, independently of the others. */
    | { readonly kind: "random"; readonly random: Random; };

export type DiskOperation = "append" | "write" | "sync" | "syncDir" | "rename" | "remove" | "truncate";

export class FakeDisk implements Disk {
    /** Set to make appends and writes fail as on a full disk. */
    public isFull = false;
    /** Share of the bytes that a full disk still takes of a write before it fails. */
    public takenWhenFull = 0;
    /** Set to make syncs fail. */
    public failSync = false;
    /** Called before each operation that changes the disk; after false the operation never completes, as in a crash. */
    public gate: (operation: DiskOperation, path: string) => boolean | Promise<boolean> = () => true;
    private files: Map<string, FakeFile>;
    private syncedNames: Map<string, FakeFile>;
    /** Directories that were created and whose parent was not synced since. */
    private readonly newDirs = new Set<string>();
    private isCrashed = false;

    public constructor(files: ReadonlyMap<string, Uint8Array> = new Map()) {
        this.files = new Map([...files].map(([path, data]) => [path, { data, synced: data }]));
        this.syncedNames = new Map(this.files);
    }

    /** Returns the disk as the next start finds it; operations on this one never complete any more. */
    public crash(loss: CrashLoss = { kind: "lose-all" }): FakeDisk {
        this.isCrashed = true;
        const isLost = () => loss.kind !== "random" || loss.random.next() < 0.5;
        const lostDirs = new Set([...this.newDirs].filter(isLost));
        const paths = [...new Set([...this.syncedNames.keys(), ...this.files.keys()])]
            .filter(path => !lostDirs.has(dirname(path)));
        const kept = paths.flatMap(path => {
            const file = (isLost() ? this.syncedNames : this.files).get(path);
            return file === undefined ? [] : [[path, contentAfterCrash(file, loss)] as const];
        });
        return new FakeDisk(new Map(kept));
    }

    public paths(): readonly string[] {
        return [...this.files.keys()];
    }

    public content(path: string): Uint8Array | undefined {
        return this.files.get(path)?.data;
    }

    /** Flips one bit of a file, durably. */
    public flipBit(path: string, bit: number): void {
        const file = this.files.get(path)!;
        const data = Uint8Array.from(file.data);
        data[bit >> 3]! ^= 1 << (bit & 7);
        file.data = data;
        file.synced = data;
    }

    /** Removes all files, durably. */
    public erase(): void {
        this.files = new Map();
        this.syncedNames = new Map();
    }

    public async read(path: string): Promise<Either<DiskError, Uint8Array | undefined>> {
        await this.checkGate(undefined, path);
        return Right(this.files.get(path)?.data);
    }

    public async list(dir: string): Promise<Either<DiskError, readonly string[]>> {
        const prefix = `${dir}/`;
        return Right(
            [...this.files.keys()].filter(path => path.startsWith(prefix)).map(path => path.slice(prefix.length)),
        );
    }

    public async makeDir(dir: string): Promise<Either<DiskError, void>> {
        if (![...this.files.keys()].some(path => dirname(path) === dir)) {
            this.newDirs.add(dir);
        }
        return Right(undefined);
    }

    public async append(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        await this.checkGate("append", path);
        const file = this.files.get(path) ?? { data: new Uint8Array(), synced: new Uint8Array() };
        file.data = Buffer.concat([file.data, this.taken(data)]);
        this.files.set(path, file);
        return this.isFull ? diskFull() : Right(undefined);
    }

    public async write(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        await this.checkGate("write", path);
        this.files.set(path, { data: Uint8Array.from(this.taken(data)), synced: new Uint8Array() });
        return this.isFull ? diskFull() : Right(undefined);
    }

    public async truncate(path: string, length: number): Promise<Either<DiskError, void>> {
        await this.checkGate("truncate", path);
        const file = this.files.get(path)!;
        file.data = file.data.subarray(0, length);
        return Right(undefined);
    }

    public async sync(path: string): Promise<Either<DiskError, void>> {
        await this.checkGate("sync", path);
        if (this.failSync) {
            return Left({ kind: "failed", message: "sync failed" });
        }
        const file = this.files.get(path)!;
        file.synced = file.data;
        return Right(undefined);
    }

    public async syncDir(dir: string): Promise<Either<DiskError, void>> {
        await this.checkGate("syncDir", dir);
        this.syncedNames = new Map(this.files);
        [...this.newDirs].filter(one => dirname(one) === dir).forEach(one => this.newDirs.delete(one));
        return Right(undefined);
    }

    public async rename(from: string, to: string): Promise<Either<DiskError, void>> {
        await this.checkGate("rename", to);
        this.files.set(to, this.files.get(from)!);
        this.files.delete(from);
        return Right(undefined);
    }

    public async remove(path: string): Promise<Either<DiskError, void>> {
        await this.checkGate("remove", path);
        this.files.delete(path);
        return Right(undefined);
    }

    /** The part of a write that the disk has room for. */
    private taken(data: Uint8Array): Uint8Array {
        return this.isFull ? data.subarray(0, Math.floor(data.length * this.takenWhenFull)) : data;
    }

    /** Calls the gate if the operation changes the disk; never resolves after a crash, or if the gate returns false. */
    private async checkGate(operation: DiskOperation | undefined, path: string): Promise<void> {
        const isAllowed = operation === undefined || await this.gate(operation, path);
        if (this.isCrashed || !isAllowed) {
            await new Promise<never>(() => undefined);
        }
    }
}

function diskFull(): Either<DiskError, void> {
    return Left({ kind: "full", message: "no space left on the disk" });
}

function contentAfterCrash(file: FakeFile, loss: CrashLoss): Uint8Array {
    if (loss.kind === "lose-all" || file.data.length <= file.synced.length) {
        return file.synced;
    }
    if (loss.kind === "random") {
        const { random } = loss;
        const bytes = random.below(file.data.length - file.synced.length + 1);
        return contentAfterCrash(file, { kind: "keep", bytes, zeros: random.next() < 0.5 });
    }
    const kept = file.data.subarray(0, file.synced.length + loss.bytes);
    const rest = loss.zeros ? new Uint8Array(file.data.length - kept.length) : new Uint8Array();
    return Buffer.concat([kept, rest]);
}
