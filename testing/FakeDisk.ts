/**
 * A {@link Disk} in memory with the semantics of a real one: written data and names last only once they are synced.
 * {@link FakeDisk.crash} gives the disk as the next start finds it. Faults: full, failing sync, flipped bits, and a
 * last write that is torn at a chosen byte.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Disk, DiskError } from "../src/replication/Types.js";

interface FakeFile {
    data: Uint8Array;
    /** The content that would survive a crash. */
    synced: Uint8Array;
}

/** What a crash does to appended bytes that were not synced. */
export type CrashLoss =
    | { readonly kind: "lose-all"; }
    /** Keeps so many bytes of the unsynced tail; with `zeros`, the rest of the tail reads as zeros. */
    | { readonly kind: "keep"; readonly bytes: number; readonly zeros: boolean; };

export type DiskOperation = "append" | "write" | "sync" | "syncDir" | "rename" | "remove" | "truncate";

export class FakeDisk implements Disk {
    /** Set to make appends and writes fail as on a full disk. */
    public isFull = false;
    /** Set to make syncs fail. */
    public failSync = false;
    /** Called before each operation that changes something; false makes the process stop there for good. */
    public gate: (operation: DiskOperation, path: string) => boolean | Promise<boolean> = () => true;
    private files: Map<string, FakeFile>;
    private syncedNames: Map<string, FakeFile>;
    private isCrashed = false;

    public constructor(files: ReadonlyMap<string, Uint8Array> = new Map()) {
        this.files = new Map([...files].map(([path, data]) => [path, { data, synced: data }]));
        this.syncedNames = new Map(this.files);
    }

    /** The disk that the next start finds; this one answers nothing any more. */
    public crash(tear: CrashLoss = { kind: "lose-all" }): FakeDisk {
        this.isCrashed = true;
        return new FakeDisk(new Map([...this.syncedNames].map(([path, file]) => [path, tornContent(file, tear)])));
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

    public erase(): void {
        this.files = new Map();
        this.syncedNames = new Map();
    }

    public async read(path: string): Promise<Either<DiskError, Uint8Array | undefined>> {
        await this.pass(undefined, path);
        return Right(this.files.get(path)?.data);
    }

    public async list(dir: string): Promise<Either<DiskError, readonly string[]>> {
        const prefix = `${dir}/`;
        return Right(
            [...this.files.keys()].filter(path => path.startsWith(prefix)).map(path => path.slice(prefix.length)),
        );
    }

    public async makeDir(): Promise<Either<DiskError, void>> {
        return Right(undefined);
    }

    public async append(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        await this.pass("append", path);
        if (this.isFull) {
            return full();
        }
        const file = this.files.get(path) ?? { data: new Uint8Array(), synced: new Uint8Array() };
        file.data = Buffer.concat([file.data, data]);
        this.files.set(path, file);
        return Right(undefined);
    }

    public async write(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        await this.pass("write", path);
        if (this.isFull) {
            return full();
        }
        this.files.set(path, { data: Uint8Array.from(data), synced: new Uint8Array() });
        return Right(undefined);
    }

    public async truncate(path: string, length: number): Promise<Either<DiskError, void>> {
        await this.pass("truncate", path);
        const file = this.files.get(path)!;
        file.data = file.data.subarray(0, length);
        return Right(undefined);
    }

    public async sync(path: string): Promise<Either<DiskError, void>> {
        await this.pass("sync", path);
        if (this.failSync) {
            return Left({ kind: "failed", message: "sync failed" });
        }
        const file = this.files.get(path)!;
        file.synced = file.data;
        return Right(undefined);
    }

    public async syncDir(dir: string): Promise<Either<DiskError, void>> {
        await this.pass("syncDir", dir);
        this.syncedNames = new Map(this.files);
        return Right(undefined);
    }

    public async rename(from: string, to: string): Promise<Either<DiskError, void>> {
        await this.pass("rename", to);
        this.files.set(to, this.files.get(from)!);
        this.files.delete(from);
        return Right(undefined);
    }

    public async remove(path: string): Promise<Either<DiskError, void>> {
        await this.pass("remove", path);
        this.files.delete(path);
        return Right(undefined);
    }

    /** A crashed process never gets an answer. */
    private async pass(operation: DiskOperation | undefined, path: string): Promise<void> {
        const isLetThrough = operation === undefined || await this.gate(operation, path);
        if (this.isCrashed || !isLetThrough) {
            await new Promise<never>(() => undefined);
        }
    }
}

function full(): Either<DiskError, void> {
    return Left({ kind: "full", message: "no space left on the disk" });
}

function tornContent(file: FakeFile, tear: CrashLoss): Uint8Array {
    if (tear.kind === "lose-all" || file.data.length <= file.synced.length) {
        return file.synced;
    }
    const kept = file.data.subarray(0, file.synced.length + tear.bytes);
    const rest = tear.zeros ? new Uint8Array(file.data.length - kept.length) : new Uint8Array();
    return Buffer.concat([kept, rest]);
}
