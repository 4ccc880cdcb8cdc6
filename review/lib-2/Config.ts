/** Configurations in the form of PROTOCOL.md. */

export interface RouteSpec {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly kind: "idempotent" | "non_idempotent" | "streaming";
    readonly service: string;
    readonly timeoutMs?: number;
    readonly targetMs?: number;
    readonly attempts?: number;
    readonly resumable?: boolean;
    readonly stages?: readonly StageSpec[];
}

export interface StageSpec {
    readonly service: string;
    /** Numbers of the stages whose results it needs. */
    readonly after: readonly number[];
    readonly bytes: number;
}

export interface ConfigOptions {
    readonly version: number;
    readonly routes: readonly RouteSpec[];
    readonly tenants?: readonly { readonly name: string; readonly keys: readonly string[]; }[];
    readonly services?: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
}

export function configOf({ version, routes, tenants, services = {} }: ConfigOptions): unknown {
    const stageServices = routes.flatMap(one => one.stages?.map(stage => stage.service) ?? []);
    const names = [...new Set([...routes.map(one => one.service), ...stageServices, ...Object.keys(services)])];
    return {
        Version: version,
        Routes: routes.map(one => ({
            Name: one.name,
            Host: one.host,
            PathPrefix: one.prefix,
            Kind: one.kind,
            TimeoutMs: one.timeoutMs ?? 5000,
            TargetLatencyMs: one.targetMs ?? 500,
            Priority: 1,
            Service: one.service,
            MaxAttempts: one.attempts ?? 1,
            Public: false,
            Sticky: false,
            Resumable: one.resumable ?? false,
            Stages: one.stages?.map(({ service, after, bytes }) => ({ Service: service, After: after, Bytes: bytes }))
                ?? [],
            ...(one.kind === "streaming" ? { GapTargetMs: 300 } : {}),
        })),
        Services: names.map(name => ({
            Name: name,
            HealthPath: "/health",
            MaxConns: 360,
            Protocol: "h1",
            Tls: false,
            ColdStartS: 0,
            ColdPerS: 0,
            ...services[name],
        })),
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
        ...(tenants === undefined
            ? {}
            : { Tenants: tenants.map(one => ({ Name: one.name, ApiKeys: one.keys, Priority: 1 })) }),
    };
}
