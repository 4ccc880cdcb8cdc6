/**
 * Disaster recovery after the disks of a majority are lost for good: makes a surviving replica the only voter of its
 * group. The daemon must not run at the same time. All entries on the survivor become committed, whether they were
 * acknowledged or not; acknowledged entries that it does not have are lost.
 */
import { type Either, Left, Right } from "purify-ts";
import type { HostId } from "../common/Types.js";
import { GroupStorage, type StoredState } from "./GroupStorage.js";
import type { Disk, LogEntry, StorageError } from "./Types.js";

export interface RecoveredGroup {
    readonly replica: string;
    readonly lastIndex: number;
    readonly term: number;
}

export type RecoveryError = StorageError | { readonly kind: "empty"; readonly message: string; };

/** Changes the replica in `dir` so that `self` is the group's only member. May be repeated. */
export async function recoverAsSoleVoter(
    disk: Disk,
    dir: string,
    self: HostId,
): Promise<Either<RecoveryError, RecoveredGroup>> {
    const identity = await disk.read(`${dir}/identity`);
    if (identity.isRight() && identity.extract() === undefined) {
        return Left({ kind: "empty", message: `${dir} holds no replica` });
    }
    const storage = new GroupStorage(disk, dir);
    const opened = await storage.open(() => "");
    if (opened.isLeft()) {
        return opened;
    }
    const stored = opened.unsafeCoerce();
    const lastIndex = stored.log.index + stored.log.entries.length;
    if (lastIndex === 0) {
        return Left({ kind: "empty", message: `${dir} holds no replica that has taken part in a group` });
    }
    return rewrite(storage, stored, lastIndex, self);
}

async function rewrite(
    storage: GroupStorage,
    stored: StoredState,
    lastIndex: number,
    self: HostId,
): Promise<Either<RecoveryError, RecoveredGroup>> {
    const { replica } = stored;
    const term = stored.vote.term + 1;
    const members: LogEntry = { kind: "members", term, members: [{ host: self, replica, role: "voter" }] };
    const voted = await storage.saveVote({ term, votedFor: self });
    const appended = voted.isLeft() ? voted : await storage.append(lastIndex + 1, [members], lastIndex + 1);
    return appended.isLeft() ? appended : Right({ replica, lastIndex: lastIndex + 1, term });
}
