/** Finds the route of a request: the route of its host with the longest matching path prefix. */
import type { Deployment, Route, ServiceId } from "../fleet/Types.js";

export class RouteTable {
    private readonly byHost = new Map<string, Route[]>();

    public constructor(public readonly deployment: Deployment) {
        for (const route of deployment.routes) {
            const routes = this.byHost.get(route.host) ?? [];
            routes.push(route);
            this.byHost.set(route.host, routes);
        }
        for (const routes of this.byHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
    }

    /** The route of a request by its host in lower case and its path and query; undefined when none matches. */
    public find(host: string, target: string): Route | undefined {
        const query = target.indexOf("?");
        const path = query < 0 ? target : target.slice(0, query);
        return this.byHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
    }
}

/** Picks a route's service by weight; `share` is a number in [0, 1). Undefined when the route has no service. */
export function pickService(route: Route, share: number): ServiceId | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = share * total;
    for (const target of route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service;
}
