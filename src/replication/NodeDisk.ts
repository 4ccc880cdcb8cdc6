/** {@link Disk} over node:fs. Files that are appended to stay open until they are renamed or removed. */
import { type FileHandle, mkdir, open, readdir, readFile, rename, rm, truncate, writeFile } from "node:fs/promises";
import { type Either, Left, Right } from "purify-ts";
import type { Disk, DiskError } from "./Types.js";

function errorCode(error: unknown): string | undefined {
    return error instanceof Error && "code" in error ? String(error.code) : undefined;
}

async function attempt<T>(operation: () => Promise<T>): Promise<Either<DiskError, T>> {
    try {
        return Right(await operation());
    }
    catch (error) {
        const code = errorCode(error);
        const full = code === "ENOSPC" || code === "EDQUOT";
        return Left({
            kind: full ? "full" : "failed",
            message: error instanceof Error ? error.message : String(error),
        });
    }
}

export class NodeDisk implements Disk {
    private readonly appending = new Map<string, FileHandle>();

    public read(path: string): Promise<Either<DiskError, Uint8Array | undefined>> {
        return attempt(async () => {
            try {
                return await readFile(path);
            }
            catch (error) {
                if (errorCode(error) === "ENOENT") {
                    return undefined;
                }
                throw error;
            }
        });
    }

    public list(dir: string): Promise<Either<DiskError, readonly string[]>> {
        return attempt(() => readdir(dir));
    }

    public makeDir(dir: string): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            await mkdir(dir, { recursive: true });
        });
    }

    public append(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            const file = await this.openForAppend(path);
            let written = 0;
            while (written < data.length) {
                const result = await file.write(data, written);
                written += result.bytesWritten;
            }
        });
    }

    public write(path: string, data: Uint8Array): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            await this.closeFile(path);
            await writeFile(path, data);
        });
    }

    public truncate(path: string, length: number): Promise<Either<DiskError, void>> {
        return attempt(() => truncate(path, length));
    }

    public sync(path: string): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            const file = await this.openForAppend(path);
            await file.datasync();
        });
    }

    public syncDir(dir: string): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            const handle = await open(dir, "r");
            try {
                await handle.sync();
            }
            finally {
                await handle.close();
            }
        });
    }

    public rename(from: string, to: string): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            await this.closeFile(from);
            await this.closeFile(to);
            await rename(from, to);
        });
    }

    public remove(path: string): Promise<Either<DiskError, void>> {
        return attempt(async () => {
            await this.closeFile(path);
            await rm(path, { force: true });
        });
    }

    public async close(): Promise<void> {
        for (const path of [...this.appending.keys()]) {
            await this.closeFile(path);
        }
    }

    private async openForAppend(path: string): Promise<FileHandle> {
        const opened = this.appending.get(path);
        if (opened !== undefined) {
            return opened;
        }
        const file = await open(path, "a");
        this.appending.set(path, file);
        return file;
    }

    private async closeFile(path: string): Promise<void> {
        const file = this.appending.get(path);
        this.appending.delete(path);
        await file?.close();
    }
}
