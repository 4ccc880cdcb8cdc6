/** Checks which route a host and path lead to, and the choice of a route's service by weight. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { deployment, route, serviceId } from "../../testing/FleetFixtures.js";
import type { RouteId } from "../fleet/Types.js";
import { pickService, RouteTable } from "./RouteTable.js";

const table = new RouteTable(deployment([
    route({ id: "short" as RouteId, pathPrefix: "/a/" }),
    route({ id: "long" as RouteId, pathPrefix: "/a/b/" }),
    route({ id: "other" as RouteId, host: "o.example", pathPrefix: "/" }),
], []));

const cases: readonly { readonly host: string; readonly target: string; readonly found: string | undefined; }[] = [
    { host: "h.example", target: "/a/x", found: "short" },
    { host: "h.example", target: "/a/b/x", found: "long" },
    { host: "h.example", target: "/a/b", found: "short" },
    { host: "h.example", target: "/a", found: undefined },
    { host: "h.example", target: "/b/?/a/", found: undefined },
    { host: "h.example", target: "/a/?q=/a/b/", found: "short" },
    { host: "o.example", target: "/anything", found: "other" },
    { host: "x.example", target: "/a/", found: undefined },
];

for (const { host, target, found } of cases) {
    test(`${host}${target} goes to ${found ?? "no route"}`, () => {
        assert.equal(table.find(host, target)?.id, found);
    });
}

test("services are picked in proportion to their weights, and never with a weight of 0", () => {
    const targets = [["x", 0], ["y", 90], ["z", 10]] as const;
    const split = route({ targets: targets.map(([name, weight]) => ({ service: serviceId(name), weight })) });
    const picked = [0, 0.5, 0.89, 0.9, 0.99].map(share => pickService(split, share));
    assert.deepEqual(picked, ["y", "y", "y", "z", "z"]);
});
