/**
 * A fake of the platform. `GET /v1/hosts` returns the list of live and leaving hosts and endpoints, with a lag;
 * `GET /v1/weights/{model}` is the weight store, whose bandwidth all readers share. `POST /v1/control` {states, lagMs}
 * changes the list and its lag.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as z from "zod";
import { SystemClock } from "../src/common/SystemClock.js";
import type { Clock } from "../src/common/Types.js";
import { sendJson, StandInHttpServer } from "./StandInHttpServer.js";

type ListedState = "live" | "leaving" | "gone";

const platformControlSchema = z.strictObject({
    states: z.record(z.string(), z.enum(["live", "leaving", "gone"])).optional(),
    lagMs: z.number().min(0).optional(),
});

export interface PlatformOptions {
    /** Hosts and endpoints that are live initially. */
    readonly ids: readonly string[];
    /** Lag of the list, in milliseconds; default 1000. */
    readonly lagMs?: number;
    readonly weightBytes: Readonly<Record<string, number>>;
    readonly weightBytesPerSecond: number;
    readonly clock?: Clock;
}

interface ListVersion {
    readonly atMs: number;
    readonly states: ReadonlyMap<string, ListedState>;
}

const defaultListLagMs = 1000;

export class StandInPlatform {
    private readonly http = new StandInHttpServer((req, res, body) => this.route(req, res, body));
    private readonly clock: Clock;
    private versions: ListVersion[];
    private lagMs: number;
    private downloadsEndAtMs = 0;

    public constructor(private readonly options: PlatformOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.lagMs = options.lagMs ?? defaultListLagMs;
        const states = new Map<string, ListedState>(options.ids.map(id => [id, "live"]));
        this.versions = [{ atMs: Number.NEGATIVE_INFINITY, states }];
    }

    public start(address: string): Promise<void> {
        return this.http.listen(address);
    }

    public stop(): Promise<void> {
        return this.http.close();
    }

    /** Changes states in the list; the change becomes visible after the lag. */
    public setStates(changed: Readonly<Record<string, ListedState>>): void {
        const latest = this.versions.at(-1)?.states ?? [];
        this.versions.push({ atMs: this.clock.nowMs(), states: new Map([...latest, ...Object.entries(changed)]) });
    }

    private async route(req: IncomingMessage, res: ServerResponse, body: unknown): Promise<void> {
        const url = new URL(req.url ?? "/", "http://platform");
        if (req.method === "GET" && url.pathname === "/v1/hosts") {
            return sendJson(res, 200, { entries: this.list() });
        }
        if (req.method === "GET" && url.pathname.startsWith("/v1/weights/")) {
            return this.serveWeights(decodeURIComponent(url.pathname.slice("/v1/weights/".length)), res);
        }
        const control = platformControlSchema.safeParse(body);
        if (req.method === "POST" && url.pathname === "/v1/control" && control.success) {
            this.lagMs = control.data.lagMs ?? this.lagMs;
            this.setStates(control.data.states ?? {});
            return sendJson(res, 200, {});
        }
        sendJson(res, 404, { message: "no such path" });
    }

    private list(): { id: string; state: ListedState; }[] {
        const cutoffMs = this.clock.nowMs() - this.lagMs;
        const visibleIndex = this.versions.findLastIndex(version => version.atMs <= cutoffMs);
        this.versions.splice(0, Math.max(0, visibleIndex));
        const states = this.versions[0]?.states ?? new Map<string, ListedState>();
        return [...states].filter(([, state]) => state !== "gone").map(([id, state]) => ({ id, state }));
    }

    /** Simulates a download at the store's bandwidth, after earlier ones have ended; the weights are not sent. */
    private async serveWeights(model: string, res: ServerResponse): Promise<void> {
        const bytes = this.options.weightBytes[model];
        if (bytes === undefined) {
            return sendJson(res, 404, { message: "no such model" });
        }
        const nowMs = this.clock.nowMs();
        const neededMs = (bytes / this.options.weightBytesPerSecond) * 1000;
        this.downloadsEndAtMs = Math.max(this.downloadsEndAtMs, nowMs) + neededMs;
        await this.clock.sleep(this.downloadsEndAtMs - nowMs);
        sendJson(res, 200, { model, bytes });
    }
}
