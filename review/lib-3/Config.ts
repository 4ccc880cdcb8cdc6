/** Configurations of a small deployment. */
import type { Engine } from "./Engine.js";

export interface RouteOptions {
    readonly name: string;
    readonly prefix: string;
    readonly service: string;
    readonly kind: "idempotent" | "non_idempotent" | "streaming";
    readonly timeoutMs?: number;
    readonly attempts?: number;
    readonly resumable?: boolean;
}

export const host = "pule25.example";
export const key = "9dnn2ctnfzs989anu6ws";
export const tenant = "bozi300";

export interface ColdStart {
    readonly coldStartS: number;
    readonly coldPerS: number;
}

export function configOf(
    version: number,
    engines: readonly Engine[],
    routes: readonly RouteOptions[],
    { coldStartS, coldPerS }: ColdStart = { coldStartS: 0, coldPerS: 0 },
): unknown {
    const services = [...new Set(engines.map(one => one.options.service))];
    return {
        Version: version,
        Routes: routes.map(route => ({
            Name: route.name,
            Host: host,
            PathPrefix: route.prefix,
            Kind: route.kind,
            TimeoutMs: route.timeoutMs ?? 5000,
            TargetLatencyMs: 500,
            Priority: 0,
            Service: route.service,
            MaxAttempts: route.attempts ?? 1,
            Stages: [],
            Public: false,
            Sticky: false,
            Resumable: route.resumable ?? false,
            GapTargetMs: 300,
        })),
        Services: services.map(name => ({
            Name: name,
            HealthPath: "/health",
            MaxConns: 370,
            Protocol: "h1",
            Tls: false,
            ColdStartS: coldStartS,
            ColdPerS: coldPerS,
        })),
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: tenant, ApiKeys: [key], Priority: 1 }],
    };
}
