/**
 * Checks a configuration for what hosts accept but can't carry out: entries without effect, and limits that contradict
 * each other. Durations and the order of routes are taken from the code that serves requests by them.
 */
import type { Deployment, Route, Service, ServiceId } from "../fleet/Types.js";
import { RouteTable } from "../gateway/RouteTable.js";
import { expectedStagesMs } from "../gateway/StageGraph.js";
import { startOrder } from "../gateway/StageOrder.js";
import { finding, subjectOf } from "./Findings.js";
import { checkStages } from "./StageCheck.js";
import type { Finding } from "./Types.js";

/** Returns all findings on a configuration that hosts accept. */
export function checkDeployment(deployment: Deployment): readonly Finding[] {
    const table = new RouteTable(deployment);
    return [
        ...deployment.routes.flatMap((route, at) => [
            ...checkMatching(route, at, table),
            ...checkTargets(route),
            ...checkLimits(route),
            ...checkStages(route, deployment),
            ...checkDurations(route, deployment),
            ...checkAdmission(route, deployment),
        ]),
        ...[...deployment.services.values()].flatMap(service => checkUse(service, deployment)),
        ...Object.entries(deployment.limits)
            .filter(([, value]) => !(value > 0))
            .map(([name, value]) => finding("error", "limit-not-positive", "limits", `${name} is ${value}`)),
    ];
}

/** Finds the route by a path that only it should match. */
function checkMatching(route: Route, at: number, table: RouteTable): readonly Finding[] {
    const subject = subjectOf(route);
    const findings: Finding[] = [];
    if (table.deployment.routes.findIndex(one => one.id === route.id) < at) {
        findings.push(finding("warning", "route-name-repeated", subject, "an earlier route has the same name"));
    }
    if (/[*\s/]|:\d+$/.test(route.host) || route.host === "") {
        const message = `requests are compared by host name without port, and none is "${route.host}"`;
        findings.push(finding("warning", "route-never-matches", subject, message));
    }
    if (/[?#\s]/.test(route.pathPrefix)) {
        const message = `only the path is compared, and no path begins with "${route.pathPrefix}"`;
        return [...findings, finding("warning", "route-never-matches", subject, message)];
    }
    const found = table.find(route.host, route.pathPrefix);
    return found === undefined || found === route
        ? findings
        : [...findings, finding("warning", "route-hidden", subject, `hidden by ${subjectOf(found)}`)];
}

function checkTargets(route: Route): readonly Finding[] {
    return route.targets.filter(({ weight }) => weight === 0).map(({ service }) =>
        finding("warning", "weight-zero", subjectOf(route), `service ${service} has weight 0 and gets no request`)
    );
}

function checkLimits(route: Route): readonly Finding[] {
    const { objectiveMs, timeoutMs, maxEndpoints } = route;
    const subject = subjectOf(route);
    const findings: Finding[] = [];
    if (maxEndpoints < 1) {
        const message = `a request may run on ${maxEndpoints} endpoints`;
        findings.push(finding("error", "no-endpoints-allowed", subject, message));
    }
    if (objectiveMs > timeoutMs) {
        const message = `the objective of ${objectiveMs} ms is above the time-out of ${timeoutMs} ms`;
        findings.push(finding("warning", "objective-above-timeout", subject, message));
    }
    return findings;
}

/** Compares the time that the gateway expects for the stages with the times that the route allows. */
function checkDurations(route: Route, deployment: Deployment): readonly Finding[] {
    const { stages, objectiveMs, timeoutMs } = route;
    if (stages.length === 0 || startOrder(stages) === undefined) {
        return [];
    }
    const subject = subjectOf(route);
    const stagesMs = expectedStagesMs({ route, deployment, pieces: stages.map(() => 1) }, () => 0);
    if (stagesMs > timeoutMs) {
        const message = `the stages take ${stagesMs} ms without waits, longer than the time-out of ${timeoutMs} ms`;
        return [finding("error", "stages-longer-than-timeout", subject, message)];
    }
    const message = `the stages take ${stagesMs} ms without waits, longer than the objective of ${objectiveMs} ms`;
    return stagesMs > objectiveMs ? [finding("warning", "stages-longer-than-objective", subject, message)] : [];
}

function checkAdmission(route: Route, { workspaces }: Deployment): readonly Finding[] {
    return route.isPublic || workspaces === undefined || workspaces.size > 0
        ? []
        : [finding("warning", "nobody-admitted", subjectOf(route), "requests need a key, and there is none")];
}

function checkUse(service: Service, { routes }: Deployment): readonly Finding[] {
    const used = new Set<ServiceId>(
        routes.flatMap(route => [...route.targets, ...route.stages].map(one => one.service)),
    );
    return used.has(service.id)
        ? []
        : [finding("warning", "service-unused", subjectOf(service), "no route or stage uses it")];
}
