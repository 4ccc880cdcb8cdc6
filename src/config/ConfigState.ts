/**
 * The state machine of the config group: documents, data centres taken out, leaving endpoints, results of recent
 * changes, and leases. It is deterministic: documents are checked by the proposer, and a command whose check is older
 * than the documents is returned for another check, so that replicas of different program versions can't diverge.
 */
import { invariant } from "../common/Invariant.js";
import type { ChangeId, DataCentreId, EndpointId, HostId } from "../common/Types.js";
import type { Json, StateMachine } from "../replication/Types.js";
import { changeDigest, ChangeResultWindow, type StoredChangeResult } from "./ChangeResultWindow.js";
import type {
    ChangeCommand,
    ChangeCommandResult,
    ConfigCommand,
    SeedCommand,
    SeedCommandResult,
} from "./ConfigCommands.js";
import { LeaseRecords, type LeaseSnapshot } from "./LeaseRecords.js";
import type {
    CommittedConfig,
    CommittedDocument,
    ConfigChange,
    ConfigChangeResult,
    ConfigLogEntry,
    DocumentName,
} from "./Types.js";

/** Number of accepted changes kept for `config log`. */
const maxHistoryEntries = 200;

interface ConfigSnapshot {
    readonly version: number;
    readonly documentsVersion: number;
    readonly documents: Readonly<Record<DocumentName, CommittedDocument>>;
    readonly outDataCentres: readonly DataCentreId[];
    readonly leavingEndpoints: readonly EndpointId[];
    /** Results of recent changes; `answers` is their name in stored snapshots. */
    readonly answers: readonly StoredChangeResult[];
    readonly history: readonly ConfigLogEntry[];
    readonly leases: LeaseSnapshot;
}

export class ConfigState implements StateMachine {
    /** Commits are persisted, so that a restarted host never has an older version in force than before. */
    public readonly notesCommits = true;
    public readonly leases = new LeaseRecords();
    private readonly results = new ChangeResultWindow();
    private version = 0;
    private currentDocumentsVersion = 0;
    private documents = new Map<DocumentName, CommittedDocument>();
    private outDataCentres = new Set<DataCentreId>();
    private leavingEndpoints = new Set<EndpointId>();
    private historyEntries: ConfigLogEntry[] = [];

    /** Increases with each change of a document. */
    public get documentsVersion(): number {
        return this.currentDocumentsVersion;
    }

    /** Accepted changes, the newest last. */
    public get history(): readonly ConfigLogEntry[] {
        return this.historyEntries;
    }

    public committed(): CommittedConfig {
        return {
            version: this.version,
            documents: Object.fromEntries(this.documents),
            outDataCentres: [...this.outDataCentres],
            leavingEndpoints: [...this.leavingEndpoints],
        };
    }

    /** The stored result of a change that was sent before; undefined for a new change. */
    public storedResult(change: ConfigChange): ConfigChangeResult | { readonly kind: "id-reused"; } | undefined {
        const known = this.results.find(change.id);
        if (known === undefined) {
            return undefined;
        }
        return known.digest === changeDigest(change) ? known.result : { kind: "id-reused" };
    }

    public apply(command: Json): Json {
        const result = this.applyCommand(command as unknown as ConfigCommand);
        return result as Json;
    }

    public snapshot(): Json {
        const snapshot: ConfigSnapshot = {
            ...this.committed(),
            documentsVersion: this.currentDocumentsVersion,
            answers: this.results.list(),
            history: this.historyEntries,
            leases: this.leases.snapshot(),
        };
        return snapshot as unknown as Json;
    }

    public restore(json: Json): void {
        const snapshot = json as unknown as ConfigSnapshot;
        invariant(snapshot.version >= this.version, "the configuration's version never falls", {
            from: this.version,
            to: snapshot.version,
        });
        this.version = snapshot.version;
        this.currentDocumentsVersion = snapshot.documentsVersion;
        this.documents = new Map(Object.entries(snapshot.documents));
        this.outDataCentres = new Set(snapshot.outDataCentres);
        this.leavingEndpoints = new Set(snapshot.leavingEndpoints);
        this.results.restore(snapshot.answers);
        this.historyEntries = [...snapshot.history];
        this.leases.restore(snapshot.leases);
    }

    private applyCommand(command: ConfigCommand): unknown {
        switch (command.kind) {
            case "change":
                return this.applyChange(command);
            case "seed":
                return this.applySeed(command);
            case "grant-lease":
                return this.leases.grant(command);
            case "extend-lease":
                return this.leases.extend(command) ?? null;
            case "release-lease":
                this.leases.release(command);
                return null;
            default:
                return null;
        }
    }

    private applyChange(command: ChangeCommand): ChangeCommandResult {
        const { change, host } = command;
        const known = this.storedResult(change);
        if (known !== undefined) {
            return known;
        }
        const result = this.executeChange(command);
        if (result.kind === "accepted" || result.kind === "conflict") {
            this.results.add(change, result);
        }
        if (result.kind === "accepted" && result.version === this.version + 1) {
            this.accept(change.id, host, summaryOf(change));
        }
        return result;
    }

    private executeChange(command: ChangeCommand): ChangeCommandResult {
        const { change } = command;
        const version = this.version + 1;
        if (change.kind === "put-document") {
            return this.executePutDocument(change, command.checkedWith);
        }
        if (change.kind === "set-data-centre") {
            setMembership(this.outDataCentres, change.dataCentre, change.out);
        }
        else {
            setMembership(this.leavingEndpoints, change.endpoint, change.leaving);
        }
        return { kind: "accepted", version, documentVersion: 0 };
    }

    private executePutDocument(
        change: Extract<ConfigChange, { kind: "put-document"; }>,
        checkedWith: number,
    ): ChangeCommandResult {
        const current = this.documents.get(change.document);
        const currentVersion = current?.version ?? 0;
        // The same text is already committed on this base version: accepted without a new version.
        if (current !== undefined && currentVersion === change.baseVersion + 1 && current.text === change.text) {
            return { kind: "accepted", version: this.version, documentVersion: currentVersion };
        }
        if (currentVersion !== change.baseVersion) {
            const winner = { id: current?.changeId ?? change.id, text: current?.text ?? "" };
            return { kind: "conflict", documentVersion: currentVersion, winner };
        }
        if (checkedWith !== this.currentDocumentsVersion) {
            return { kind: "recheck" };
        }
        this.putDocument(change.document, change.id, change.text);
        return { kind: "accepted", version: this.version + 1, documentVersion: currentVersion + 1 };
    }

    private applySeed(command: SeedCommand): SeedCommandResult {
        if (command.checkedWith !== this.currentDocumentsVersion) {
            return { kind: "recheck" };
        }
        const missing = Object.entries(command.documents).filter(([name]) => !this.documents.has(name));
        for (const [name, text] of missing) {
            this.putDocument(name, command.id, text);
            this.accept(command.id, command.host, `first ${name}, from the files of ${command.host}`);
        }
        return { kind: "seeded", documents: missing.map(([name]) => name) };
    }

    private putDocument(name: DocumentName, changeId: ChangeId, text: string): void {
        const version = (this.documents.get(name)?.version ?? 0) + 1;
        this.documents.set(name, { version, changeId, text });
        this.currentDocumentsVersion += 1;
    }

    private accept(id: ChangeId, host: HostId, summary: string): void {
        this.version += 1;
        this.historyEntries.push({ version: this.version, id, host, summary });
        this.historyEntries.splice(0, Math.max(0, this.historyEntries.length - maxHistoryEntries));
    }
}

function setMembership<T>(set: Set<T>, item: T, isMember: boolean): void {
    if (isMember) {
        set.add(item);
    }
    else {
        set.delete(item);
    }
}

function summaryOf(change: ConfigChange): string {
    switch (change.kind) {
        case "put-document":
            return `${change.document} version ${change.baseVersion + 1}`;
        case "set-data-centre":
            return `data centre ${change.dataCentre} ${change.out ? "out" : "in"}`;
        case "set-endpoint":
            return `endpoint ${change.endpoint} ${change.leaving ? "leaving" : "back"}`;
    }
}
