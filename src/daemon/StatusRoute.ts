/** Operators' route for the status of a host: configuration, members, endpoints, groups, work in progress. */
import type { EndpointId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { OperatorRoute } from "../entry/Types.js";
import type { ControlPlane } from "./ControlPlane.js";
import type { DataPlane } from "./DataPlane.js";
import type { DaemonBase } from "./Types.js";

/**
 * Builds the route. In the reply, `hosts` are the hosts of this data centre and `owned` the endpoints whose slots this
 * host grants.
 */
export function statusRoute(
    base: DaemonBase,
    config: ConfigSource,
    controlPlane: ControlPlane,
    dataPlane: DataPlane,
): OperatorRoute {
    return {
        method: "GET",
        path: "/v1/operator/status",
        handle: async () => {
            const view = config.current();
            const endpointIds = Object.keys(view?.settings.endpoints ?? {}) as EndpointId[];
            return {
                status: 200,
                body: {
                    host: base.host,
                    dataCentre: base.dataCentre,
                    incarnation: base.incarnation,
                    configVersion: view?.version ?? 0,
                    outDataCentres: [...view?.outDataCentres ?? []],
                    inFlight: dataPlane.runner.inFlight,
                    hosts: dataPlane.membership.view().local,
                    groups: controlPlane.replicas.map(replica => replica.status()),
                    endpoints: endpointIds.map(id => dataPlane.directory.get(id)),
                    owned: dataPlane.owner.view(),
                    costs: dataPlane.runner.costs(),
                },
            };
        },
    };
}
