/** Exchanges what endpoints state of themselves with other hosts, through the control hosts. */
import { DisposableStore } from "../common/DisposableStore.js";
import type { Disposable } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetSource } from "./Types.js";

/**
 * Reports to the control hosts what a reply has stated when they do not tell so, and takes over what they tell. A
 * report that got lost is made again with the next reply.
 */
export function shareStatements(limits: EndpointLimits, notices: EndpointNotices, fleet: FleetSource): Disposable {
    const shared = new DisposableStore();
    shared.add(limits.onReply(endpoint => {
        const perSecond = limits.perSecond(endpoint);
        if (fleet.view().limits.get(endpoint)?.perSecond !== perSecond) {
            fleet.reportStatement({ endpoint, matter: "limit", perSecond });
        }
    }));
    shared.add(notices.onLeaving(endpoint => {
        const { leaving, endpoints } = fleet.view();
        const isListedLeaving = endpoints.some(({ id, isLeaving }) => id === endpoint && isLeaving);
        if (!leaving.has(endpoint) && !isListedLeaving) {
            fleet.reportStatement({ endpoint, matter: "leaving" });
        }
    }));
    shared.add(fleet.onChange(view => {
        view.limits.forEach((limit, endpoint) => limits.adopt(endpoint, limit));
        view.leaving.forEach(endpoint => notices.adoptLeaving(endpoint));
    }));
    return shared;
}
