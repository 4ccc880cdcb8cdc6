/** A config with one route of each kind, all to one service. */
import type { Fields } from "./Template.js";

export const routeHost = "desk.example";

export function configOf(version: number): Fields {
    const route = (Name: string, Kind: string, more: Fields) => ({
        Name,
        Host: routeHost,
        PathPrefix: `/${Name}/`,
        Kind,
        TimeoutMs: 10_000,
        TargetLatencyMs: 1000,
        Priority: 1,
        Service: "desk",
        MaxAttempts: 1,
        Stages: [],
        Public: false,
        Sticky: false,
        Resumable: false,
        ...more,
    });
    return {
        Version: version,
        Routes: [
            route("holds", "non_idempotent", {}),
            route("reads", "idempotent", { MaxAttempts: 2 }),
            route("chat", "streaming", { GapTargetMs: 1000 }),
        ],
        Services: [{
            Name: "desk",
            HealthPath: "/health",
            MaxConns: 370,
            Protocol: "h1",
            Tls: false,
            ColdStartS: 0,
            ColdPerS: 0,
        }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    };
}
