/** Builds a host's view of the committed configuration and publishes it. Published versions only increase. */
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
    /** Settings of the last usable documents; the key consists of the versions of the base and the overlay. */
    private cached: { readonly key: string; readonly settings: Settings; } | undefined;
    /** Highest version that could not be turned into a view. */
    private unusableVersion = 0;

    public readonly onChange = this.emitter.event;

    public constructor(
        private readonly site: DataCentreId,
        private readonly checker: DocumentChecker,
        private readonly log: EventLog,
    ) {}

    public current(): ConfigView | undefined {
        return this.view;
    }

    /** Version in force; 0 while there is none. */
    public get version(): number {
        return this.view?.version ?? 0;
    }

    /** Puts a committed configuration in force, unless the same or a newer version is in force or was unusable. */
    public publish(config: CommittedConfig): void {
        const isNewer = config.version > Math.max(this.version, this.unusableVersion);
        if (!isNewer || config.documents[baseDocument] === undefined) {
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
        invariant(view.version > this.version, "the version in force only increases", {
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
        if (this.cached?.key !== key) {
            const overlays = overlay === undefined ? {} : { [this.site]: overlay.text };
            this.checker(base?.text ?? "", overlays).caseOf({
                Left: error => this.rejectVersion(config.version, error.issues),
                Right: sites => this.cacheSettings(config.version, key, sites[this.site]),
            });
        }
        return this.cached?.key === key ? this.cached.settings : undefined;
    }

    private cacheSettings(version: number, key: string, settings: Settings | undefined): void {
        if (settings === undefined) {
            const message = `the documents do not name the data centre ${this.site}`;
            this.rejectVersion(version, [{ file: baseDocument, line: 0, path: "dataCentres", message }]);
            return;
        }
        this.cached = { key, settings };
    }

    /** Handles a committed version that this program can't use: the previous version stays in force on this host. */
    private rejectVersion(version: number, issues: readonly ConfigIssue[]): void {
        this.unusableVersion = version;
        this.log.event(EventId.ConfigUnusable, { version, issues });
    }
}
