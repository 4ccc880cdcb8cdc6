/** This host's view of all endpoints, from the configuration and from the owners' answers to this host. */
import { DisposableStore } from "../common/DisposableStore.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, DataCentreId, Disposable, EndpointId, Event } from "../common/Types.js";
import type { ConfigSource, ConfigView } from "../config/Types.js";
import type { PlatformList } from "../membership/Types.js";
import type { HeldEndpoint } from "./HeldEndpoint.js";
import type { EndpointDirectory, EndpointState, EndpointView } from "./Types.js";

/** Source of the slots that this host holds on each endpoint. */
export interface HeldSource {
    /** Undefined before the endpoint's first use by this host. */
    peek(endpoint: EndpointId): HeldEndpoint | undefined;
    readonly onChange: Event<EndpointId>;
}

export interface EndpointTableOptions {
    readonly dataCentre: DataCentreId;
    readonly config: ConfigSource;
    readonly held: HeldSource;
    readonly clock: Clock;
    readonly platform?: PlatformList | undefined;
}

export class EndpointTable implements EndpointDirectory, Disposable {
    private readonly changes = new Emitter<EndpointId>();
    private readonly subscriptions = new DisposableStore();

    public readonly onChange: Event<EndpointId> = this.changes.event;

    public constructor(private readonly options: EndpointTableOptions) {
        this.subscriptions.add(this.changes);
        this.subscriptions.add(options.held.onChange(id => this.changes.fire(id)));
        this.subscriptions.add(options.config.onChange(view => this.fireAll(view)));
    }

    public dispose(): void {
        this.subscriptions.dispose();
    }

    public get(id: EndpointId): EndpointView | undefined {
        const { config, held: source, clock } = this.options;
        const view = config.current();
        const settings = view?.settings.endpoints[id];
        if (view === undefined || settings === undefined) {
            return undefined;
        }
        const held = source.peek(id);
        const reported = held?.reported;
        return {
            id,
            dataCentre: settings.dataCentre,
            kind: settings.kind,
            pool: settings.pool,
            models: settings.models,
            state: this.stateOf(id, view, held),
            limit: held === undefined || isOutdatedClosure(held) ? settings.coldLimit : held.limit,
            ownInFlight: held?.inUse ?? 0,
            credits: held?.credits ?? 0,
            reported: reported === undefined
                ? undefined
                : { running: reported.running, waiting: reported.waiting, ageMs: clock.nowMs() - reported.atMs },
            recentMs: held?.recentMs,
        };
    }

    public inPool(pool: string): readonly EndpointView[] {
        const endpoints = this.options.config.current()?.settings.endpoints ?? {};
        const views: EndpointView[] = [];
        for (const [id, settings] of Object.entries(endpoints)) {
            const view = settings.pool === pool ? this.get(id as EndpointId) : undefined;
            if (view !== undefined && view.state !== "leaving" && view.state !== "out") {
                views.push(view);
            }
        }
        const isLocal = (view: EndpointView) => view.dataCentre === this.options.dataCentre;
        return [...views.filter(isLocal), ...views.filter(view => !isLocal(view))];
    }

    private stateOf(id: EndpointId, view: ConfigView, held: HeldEndpoint | undefined): EndpointState {
        const dataCentre = view.settings.endpoints[id]?.dataCentre;
        if (dataCentre !== undefined && view.outDataCentres.has(dataCentre)) {
            return "out";
        }
        const listed = this.options.platform?.latest()?.find(entry => entry.id === id);
        if (view.leavingEndpoints.has(id) || listed?.state === "leaving") {
            return "leaving";
        }
        return held === undefined || isOutdatedClosure(held) ? "cold" : held.state;
    }

    private fireAll(view: ConfigView): void {
        for (const id of Object.keys(view.settings.endpoints)) {
            this.changes.fire(id as EndpointId);
        }
    }
}

/** True when the owner's answer that the endpoint is closed is outdated, so that the endpoint is tried again. */
function isOutdatedClosure(held: HeldEndpoint): boolean {
    const isClosing = held.state === "leaving" || held.state === "out";
    return isClosing && !held.isClosed;
}
