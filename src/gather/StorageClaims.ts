/**
 * Bounds which submissions may start by the result storage of a cell. A submission starts only when all its results fit
 * beside what started submissions still need; those go first. Otherwise several submissions that are each half complete
 * could fill the storage and wait for each other until their results expire.
 *
 * This order can't deadlock over a chain of stages either: the results of a stage wait only for the next one, whose
 * started submissions always complete, and those of the last stage only for their reader.
 */
import type { DataCentreId } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import type { BatchEndpoints } from "./BatchEndpoints.js";
import type { PieceQueue, StartableStorage } from "./PieceQueue.js";

export interface StorageClaims {
    /** Storage for submissions that have not started; undefined when each endpoint's own free storage bounds them. */
    startable(dataCentre: DataCentreId, traits: BatchTraits): StartableStorage | undefined;
}

/** Each call starts what fits into its endpoint's free storage. */
export class NoClaims implements StorageClaims {
    public startable(): undefined {
        return undefined;
    }
}

/** Keeps storage of the cell for the rest of the submissions that have started. */
export class CellStorageClaims implements StorageClaims {
    public constructor(private readonly queue: PieceQueue, private readonly endpoints: BatchEndpoints) {}

    public startable(dataCentre: DataCentreId, traits: BatchTraits): StartableStorage {
        const claimedBytes = this.queue.startedBytes(dataCentre);
        const usable = this.endpoints.usable().filter(one => one.listed.dataCentre === dataCentre && !one.isSuspect);
        const freeBytes = usable.reduce((sum, one) => sum + Math.max(0, one.storage.availableBytes(traits)), 0);
        return {
            bytes: freeBytes - claimedBytes,
            capacityBytes: usable.length * traits.resultRoomBytes,
            isUnclaimed: claimedBytes === 0,
        };
    }
}
