/** Exchanges the limits that endpoints state with other hosts, through the control hosts. */
import type { Disposable } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { FleetSource } from "../fleet/Types.js";

/**
 * Reports to the control hosts what a reply has stated when they do not tell so, and takes over what they tell. A report
 * that got lost is made again with the next reply.
 */
export function shareLimits(limits: EndpointLimits, fleet: FleetSource): Disposable {
    const replies = limits.onReply(endpoint => {
        const perSecond = limits.perSecond(endpoint);
        if (fleet.view().limits.get(endpoint)?.perSecond !== perSecond) {
            fleet.reportLimit(endpoint, perSecond);
        }
    });
    const views = fleet.onChange(view => view.limits.forEach((limit, endpoint) => limits.adopt(endpoint, limit)));
    return {
        dispose: () => {
            replies.dispose();
            views.dispose();
        },
    };
}
