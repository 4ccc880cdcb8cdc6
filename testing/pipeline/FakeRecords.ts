/** In-memory claims and quarantine that all runners of a test share, with faults that tests set. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId, RequestId } from "../../src/common/Types.js";
import type {
    Claim,
    ClaimKey,
    ClaimResult,
    Claims,
    Fingerprint,
    Quarantine,
    RecordedOutcome,
    RecordsError,
} from "../../src/records/Types.js";

interface Entry {
    readonly digest: string;
    readonly request: RequestId;
    outcome: RecordedOutcome | undefined;
    waiters: (() => void)[];
}

export class FakeClaims implements Claims {
    public readonly entries = new Map<string, Entry>();
    /** While set, the error that every claim returns. */
    public claimError: RecordsError | undefined;
    /** Number of further calls of `finish` that fail. */
    public finishErrors = 0;
    public isReachable = true;
    /** Time that each commit takes, in milliseconds. */
    public commitMs = 1;
    public released = 0;

    public constructor(private readonly clock: Clock) {}

    public async confirmReachable(): Promise<Either<RecordsError, void>> {
        return this.isReachable ? Right(undefined) : Left({ kind: "not-recorded", message: "no quorum" });
    }

    public async claim(
        key: ClaimKey,
        bodyDigest: string,
        request: RequestId,
    ): Promise<Either<RecordsError, ClaimResult>> {
        await this.clock.sleep(this.commitMs);
        if (this.claimError !== undefined) {
            return Left(this.claimError);
        }
        const name = this.nameOf(key);
        const entry = this.entries.get(name);
        if (entry === undefined) {
            this.entries.set(name, { digest: bodyDigest, request, outcome: undefined, waiters: [] });
            return Right({ kind: "claimed", claim: this.claimOf(key, request) });
        }
        if (entry.digest !== bodyDigest) {
            return Right({ kind: "key-reused" });
        }
        return Right(
            entry.outcome === undefined
                ? { kind: "running", host: "h1" as HostId, request: entry.request }
                : { kind: "recorded", outcome: entry.outcome },
        );
    }

    public async wait(key: ClaimKey, timeoutMs: number, signal: AbortSignal): Promise<RecordedOutcome | undefined> {
        const entry = this.entries.get(this.nameOf(key));
        if (entry !== undefined && entry.outcome === undefined) {
            const ended = new Promise<void>(resolve => entry.waiters.push(resolve));
            await Promise.race([ended, this.clock.sleep(timeoutMs, signal)]);
        }
        return entry?.outcome;
    }

    private claimOf(key: ClaimKey, request: RequestId): Claim {
        const name = this.nameOf(key);
        return {
            key,
            request,
            finish: async outcome => {
                await this.clock.sleep(this.commitMs);
                if (this.finishErrors > 0) {
                    this.finishErrors -= 1;
                    return Left({ kind: "unknown", message: "no quorum" });
                }
                const entry = this.entries.get(name)!;
                entry.outcome = outcome;
                entry.waiters.forEach(resolve => resolve());
                return Right(undefined);
            },
            release: async () => {
                await this.clock.sleep(this.commitMs);
                this.released += 1;
                this.entries.get(name)?.waiters.forEach(resolve => resolve());
                this.entries.delete(name);
                return Right(undefined);
            },
        };
    }

    private nameOf(key: ClaimKey): string {
        return `${key.workspace}/${key.key}`;
    }
}

export class FakeQuarantine implements Quarantine {
    public readonly suspects = new Set<Fingerprint>();
    public readonly quarantined = new Set<Fingerprint>();

    public isQuarantined(fingerprint: Fingerprint): boolean {
        return this.quarantined.has(fingerprint);
    }

    public isSuspect(fingerprint: Fingerprint): boolean {
        return this.suspects.has(fingerprint);
    }

    public async reportCrash(fingerprint: Fingerprint, alone: boolean): Promise<Either<RecordsError, void>> {
        if (alone && this.suspects.has(fingerprint)) {
            this.quarantined.add(fingerprint);
        }
        this.suspects.add(fingerprint);
        return Right(undefined);
    }

    public async reportNoCrash(fingerprint: Fingerprint): Promise<Either<RecordsError, void>> {
        this.suspects.delete(fingerprint);
        return Right(undefined);
    }
}
