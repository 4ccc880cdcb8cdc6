/** Builds a host's view of the committed configuration and publishes it; versions only rise. */
import { Emitter } from "../common/Emitter.js";
import { invariant } from "../common/Invariant.js";
import type { DataCentreId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { Settings } from "./Schema.js";
import {
    baseDocument,
    type CommittedConfig,
    type ConfigIssue,
    type ConfigSource,
    type ConfigView,
    type DocumentChecker,
} from "./Types.js";

export class ViewPublisher implements ConfigSource {
    private readonly emitter = new Emitter<ConfigView>();
    private view: ConfigView | undefined;
    private built: { readonly key: string; readonly settings: Settings; } | undefined;
    /** Highest version that could not be turned into a view. */
    private refusedVersion = 0;

    public readonly onChange = this.emitter.event;

    public constructor(
        private readonly site: DataCentreId,
        private readonly checker: DocumentChecker,
        private readonly log: EventLog,
    ) {}

    public current(): ConfigView | undefined {
        return this.view;
    }

    public get version(): number {
        return this.view?.version ?? 0;
    }

    /** Puts a committed configuration in force, unless a newer one is. */
    public publish(config: CommittedConfig): void {
        const isNews = config.version > Math.max(this.version, this.refusedVersion);
        if (!isNews || config.documents[baseDocument] === undefined) {
            return;
        }
        const settings = this.settingsOf(config);
        if (settings === undefined) {
            return;
        }
        const view: ConfigView = {
            version: config.version,
            settings,
            outDataCentres: new Set(config.outDataCentres),
            leavingEndpoints: new Set(config.leavingEndpoints),
        };
        invariant(view.version > this.version, "the version in force only rises", {
            from: this.version,
            to: view.version,
        });
        this.view = view;
        this.log.event(EventId.ConfigInForce, { version: view.version });
        this.emitter.fire(view);
    }

    private settingsOf(config: CommittedConfig): Settings | undefined {
        const base = config.documents[baseDocument];
        const overlay = config.documents[this.site];
        const key = `${base?.version ?? 0}/${overlay?.version ?? 0}`;
        if (this.built?.key !== key) {
            const overlays = overlay === undefined ? {} : { [this.site]: overlay.text };
            this.checker(base?.text ?? "", overlays).caseOf({
                Left: error => this.refuse(config.version, error.issues),
                Right: sites => this.keep(config.version, key, sites[this.site]),
            });
        }
        return this.built?.key === key ? this.built.settings : undefined;
    }

    private keep(version: number, key: string, settings: Settings | undefined): void {
        if (settings === undefined) {
            const message = `the documents do not name the data centre ${this.site}`;
            this.refuse(version, [{ file: baseDocument, line: 0, path: "dataCentres", message }]);
            return;
        }
        this.built = { key, settings };
    }

    /** A committed version that this host's program can't use: the last one stays in force here. */
    private refuse(version: number, issues: readonly ConfigIssue[]): void {
        this.refusedVersion = version;
        this.log.event(EventId.ConfigUnusable, { version, issues });
    }
}
