/** Exchanges what endpoints state of themselves with other hosts, through the control hosts. */
import { DisposableStore } from "../common/DisposableStore.js";
import type { Disposable } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetSource, FleetView } from "./Types.js";

/**
 * Reports to the control hosts what a reply has stated when they do not tell so, and takes over what they tell. A
 * report that got lost is made again with the next reply.
 */
export function shareStatements(
    stated: readonly EndpointLimits[],
    notices: EndpointNotices,
    fleet: FleetSource,
): Disposable {
    const shared = new DisposableStore();
    const toldOf = ({ matter }: EndpointLimits, view: FleetView) => matter === "limit" ? view.limits : view.brittle;
    for (const limits of stated) {
        shared.add(limits.onReply(endpoint => {
            const perSecond = limits.perSecond(endpoint);
            if (toldOf(limits, fleet.view()).get(endpoint)?.perSecond !== perSecond) {
                fleet.reportStatement({ endpoint, matter: limits.matter, perSecond });
            }
        }));
    }
    shared.add(notices.onLeaving(endpoint => {
        const { leaving, endpoints } = fleet.view();
        const isListedLeaving = endpoints.some(({ id, isLeaving }) => id === endpoint && isLeaving);
        if (!leaving.has(endpoint) && !isListedLeaving) {
            fleet.reportStatement({ endpoint, matter: "leaving" });
        }
    }));
    shared.add(fleet.onChange(view => {
        stated.forEach(limits => toldOf(limits, view).forEach((limit, endpoint) => limits.adopt(endpoint, limit)));
        view.leaving.forEach(endpoint => notices.adoptLeaving(endpoint));
    }));
    return shared;
}
