/**
 * Proposes configuration changes on a host with a replica. The merged documents of all sites are checked against the
 * newest committed state, and the command names the version that they were checked with. If the documents have changed
 * when the command is applied, the change is checked and proposed again until it is accepted or refused.
 */
import { type Either, Left, Right } from "purify-ts";
import type { ChangeId, Clock, HostId } from "../common/Types.js";
import type { Json, ReplicatedLog } from "../replication/Types.js";
import type { ChangeCommandResult, ConfigCommand, SeedCommandResult } from "./ConfigCommands.js";
import type { ConfigState } from "./ConfigState.js";
import {
    baseDocument,
    type CommittedConfig,
    type ConfigChange,
    type ConfigChangeError,
    type ConfigChangeResult,
    type ConfigIssue,
    type DocumentChecker,
    type DocumentName,
} from "./Types.js";

type ChangeOutcome = Either<ConfigChangeError, ConfigChangeResult>;

export class ChangeProposer {
    public constructor(
        private readonly self: HostId,
        private readonly raft: ReplicatedLog,
        private readonly state: ConfigState,
        private readonly checker: DocumentChecker,
        private readonly clock: Clock,
    ) {}

    /** Checks and proposes a change until it is accepted or refused, or until the timeout. */
    public async change(change: ConfigChange, timeoutMs: number): Promise<ChangeOutcome> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        while (this.clock.nowMs() < deadlineMs) {
            const read = await this.raft.readBarrier(deadlineMs - this.clock.nowMs());
            if (read.isLeft()) {
                return Left({ kind: "not-accepted", message: `no quorum can be reached: ${read.extract().message}` });
            }
            const knownOutcome = this.resultWithoutProposal(change);
            if (knownOutcome !== undefined) {
                return knownOutcome;
            }
            const checkedWith = this.state.documentsVersion;
            const command: ConfigCommand = { kind: "change", change, checkedWith, host: this.self };
            const result = await this.propose<ChangeCommandResult>(command, deadlineMs);
            const outcome = result.chain(toOutcome);
            if (outcome !== recheckOutcome) {
                return outcome;
            }
        }
        return Left({ kind: "not-accepted", message: "timed out: other changes were committed first" });
    }

    /**
     * Proposes this control host's own files for the documents that the group does not have yet. Returns the names of
     * the documents that were added.
     */
    public async seed(
        documents: Readonly<Record<DocumentName, string>>,
        timeoutMs: number,
    ): Promise<
        Either<ConfigChangeError | { kind: "invalid"; issues: readonly ConfigIssue[]; }, readonly DocumentName[]>
    > {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        const checkedWith = this.state.documentsVersion;
        const texts = { ...documents, ...textsOf(this.state.committed()) };
        const issues = this.check(texts);
        if (issues.length > 0) {
            return Left({ kind: "invalid", issues });
        }
        const id = `seed:${this.self}` as ChangeId;
        const command: ConfigCommand = { kind: "seed", id, documents, checkedWith, host: this.self };
        const result = await this.propose<SeedCommandResult>(command, deadlineMs);
        return result.map(one => one.kind === "seeded" ? one.documents : []);
    }

    /** Results that need no proposal: the stored result of a resent change, or a refusal by the checks. */
    private resultWithoutProposal(change: ConfigChange): ChangeOutcome | undefined {
        const known = this.state.storedResult(change);
        if (known !== undefined) {
            return toOutcome(known);
        }
        const config = this.state.committed();
        if (change.kind === "put-document") {
            const currentVersion = config.documents[change.document]?.version ?? 0;
            const texts = { ...textsOf(config), [change.document]: change.text };
            const issues = currentVersion === change.baseVersion ? this.check(texts) : [];
            return issues.length > 0 ? Right({ kind: "invalid", issues }) : undefined;
        }
        const issue = this.unknownNameIssue(change, config);
        return issue === undefined ? undefined : Right({ kind: "invalid", issues: [issue] });
    }

    private check(texts: Readonly<Record<DocumentName, string>>): readonly ConfigIssue[] {
        const { [baseDocument]: base, ...overlays } = texts;
        if (base === undefined) {
            return [{ file: baseDocument, line: 0, path: "", message: "there is no base document yet" }];
        }
        return this.checker(base, overlays).caseOf<readonly ConfigIssue[]>({
            Left: error => error.issues,
            Right: () => [],
        });
    }

    private unknownNameIssue(
        change: Exclude<ConfigChange, { kind: "put-document"; }>,
        config: CommittedConfig,
    ): ConfigIssue | undefined {
        const { [baseDocument]: base = "", ...overlays } = textsOf(config);
        const sites = this.checker(base, overlays).orDefault({});
        const isDataCentre = change.kind === "set-data-centre";
        const name = isDataCentre ? change.dataCentre : change.endpoint;
        const isKnown = Object.values(sites).some(settings =>
            Object.hasOwn(isDataCentre ? settings.dataCentres : settings.endpoints, name)
        );
        const message = `no ${isDataCentre ? "data centre" : "endpoint"} has the name ${name}`;
        return isKnown ? undefined : { file: "", line: 0, path: name, message };
    }

    private async propose<T>(command: ConfigCommand, deadlineMs: number): Promise<Either<ConfigChangeError, T>> {
        const timeoutMs = Math.max(1, deadlineMs - this.clock.nowMs());
        const proposed = await this.raft.propose(command as unknown as Json, timeoutMs);
        return proposed
            .mapLeft((error): ConfigChangeError => ({ kind: error.kind, message: error.message }))
            .map(result => result as unknown as T);
    }
}

/** Sentinel: the documents changed after the check, so the change has to be checked and proposed again. */
const recheckOutcome: ChangeOutcome = Left({ kind: "not-accepted", message: "the documents have changed" });

function toOutcome(result: ChangeCommandResult): ChangeOutcome {
    switch (result.kind) {
        case "recheck":
            return recheckOutcome;
        case "id-reused":
            return Left({ kind: "not-accepted", message: "the change id is already in use for another change" });
        default:
            return Right(result);
    }
}

function textsOf(config: CommittedConfig): Record<DocumentName, string> {
    return Object.fromEntries(Object.entries(config.documents).map(([name, document]) => [name, document.text]));
}
