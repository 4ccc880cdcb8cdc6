/** Operators' route for what a host knows: configuration, members, endpoints, groups, work in progress. */
import type { EndpointId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { OperatorRoute } from "../entry/Types.js";
import type { ControlPlane } from "./ControlPlane.js";
import type { DataPlane } from "./DataPlane.js";
import type { DaemonBase } from "./Types.js";

export function statusRoute(
    base: DaemonBase,
    config: ConfigSource,
    control: ControlPlane,
    work: DataPlane,
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
                    inFlight: work.runner.inFlight,
                    hosts: work.membership.view().local,
                    groups: control.replicas.map(replica => replica.status()),
                    endpoints: endpointIds.map(id => work.directory.get(id)),
                    owned: work.owner.view(),
                    costs: work.runner.costs(),
                },
            };
        },
    };
}
