/** Collects the inputs of a decision on an endpoint: configuration, ownership, and closure by operators or platform. */
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { ConfigSource, ConfigView } from "../config/Types.js";
import { heartbeatTimingFor } from "../membership/HeartbeatTiming.js";
import type { Membership, PlatformList } from "../membership/Types.js";
import type { EndpointContext } from "./OwnedEndpoint.js";
import type { OwnerAuthority } from "./OwnerAuthority.js";

/** Bound on the duration of a call for pools that no pipeline uses. */
const defaultCallBoundMs = 30_000;

export interface EndpointContextsOptions {
    readonly membership: Membership;
    readonly authority: OwnerAuthority;
    readonly config: ConfigSource;
    readonly platform?: PlatformList | undefined;
}

export class EndpointContexts {
    public constructor(private readonly options: EndpointContextsOptions) {}

    /** Undefined for an endpoint that is not configured. */
    public of(id: EndpointId): EndpointContext | undefined {
        const view = this.options.config.current();
        const settings = view?.settings.endpoints[id];
        if (view === undefined || settings === undefined) {
            return undefined;
        }
        const local = this.options.membership.view().local;
        return {
            settings,
            timing: view.settings.timing,
            heartbeatTiming: heartbeatTimingFor(view.settings.timing, countHosts(view, settings.dataCentre)),
            ownership: this.options.authority.ownership(id),
            closed: this.closedReason(id, view),
            callBoundMs: callBoundMs(view, settings.pool),
            hostsMissing: local.some(one =>
                one.incarnation > 0 && (one.state === "dead" || one.state === "unreachable")
            ),
        };
    }

    private closedReason(id: EndpointId, view: ConfigView): "leaving" | "out" | undefined {
        const dataCentre = view.settings.endpoints[id]?.dataCentre;
        if (dataCentre !== undefined && view.outDataCentres.has(dataCentre)) {
            return "out";
        }
        const listed = this.options.platform?.latest()?.find(entry => entry.id === id);
        return view.leavingEndpoints.has(id) || listed?.state === "leaving" ? "leaving" : undefined;
    }
}

/** The longest deadline of the pipelines that use a pool. */
function callBoundMs(view: ConfigView, pool: string): number {
    const deadlines = Object.values(view.settings.pipelines)
        .filter(pipeline => pipeline.stages.some(stage => stage.pool === pool))
        .map(pipeline => pipeline.deadlineMs);
    return deadlines.length === 0 ? defaultCallBoundMs : Math.max(...deadlines);
}

function countHosts(view: ConfigView, dataCentre: DataCentreId): number {
    return Object.values(view.settings.hosts).filter(host => host.dataCentre === dataCentre).length;
}
