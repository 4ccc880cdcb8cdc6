/** A pipeline runner over fake endpoints, client and records, with a clock that the test advances. */
import { Emitter } from "../../src/common/Emitter.js";
import { SeededRandom } from "../../src/common/SeededRandom.js";
import type { DataCentreId, PipelineId, RequestId, WorkspaceId } from "../../src/common/Types.js";
import { type Settings, settingsSchema } from "../../src/config/Schema.js";
import type { ConfigSource, ConfigView } from "../../src/config/Types.js";
import type { Priority } from "../../src/endpoints/Types.js";
import { StagedPipelineRunner } from "../../src/pipeline/StagedPipelineRunner.js";
import type { PipelineRequest, PipelineServices } from "../../src/pipeline/Types.js";
import { BlockPrefixIndex } from "../../src/routing/BlockPrefixIndex.js";
import { CostRouter } from "../../src/routing/CostRouter.js";
import { FakeClock } from "../FakeClock.js";
import { MemoryLog, MemoryMetrics } from "../MemoryLog.js";
import { FakeClaims, FakeQuarantine } from "./FakeRecords.js";
import { type EndpointSpec, FakeSlots } from "./FakeSlots.js";
import { FakeStageClient } from "./FakeStageClient.js";

export interface StageSpec {
    readonly name: string;
    readonly pool: string;
    readonly idempotent?: boolean;
    readonly stream?: boolean;
    readonly hedge?: boolean;
}

export interface PipelineBenchOptions {
    readonly endpoints?: readonly EndpointSpec[];
    readonly pipelines?: Readonly<Record<string, readonly StageSpec[]>>;
    readonly workspaces?: Readonly<Record<string, { readonly weight?: number; readonly maxInFlight?: number; }>>;
    readonly limits?: Readonly<Record<string, number>>;
    readonly clock?: FakeClock;
    readonly seed?: number;
    /** Whether endpoints grant slots for exclusive use; default true. */
    readonly grantsExclusive?: boolean;
    /** Returns services that replace some of the defaults. */
    readonly services?: (services: PipelineServices) => Partial<PipelineServices>;
}

/** One pipeline of two idempotent stages, each in its own pool, and two with a stage that must not be repeated. */
const defaultPipelines = {
    answer: [{ name: "retrieve", pool: "a" }, { name: "generate", pool: "b", stream: true }],
    hold: [{ name: "hold", pool: "b", idempotent: false }],
    checkedHold: [{ name: "check", pool: "a" }, { name: "hold", pool: "b", idempotent: false }],
};

const defaultEndpoints = (): readonly EndpointSpec[] => [
    { id: "a1", pool: "a", limit: 4 },
    { id: "a2", pool: "a", limit: 4 },
    { id: "b1", pool: "b", limit: 4 },
    { id: "b2", pool: "b", limit: 4 },
];

/** Returns a configuration source that always returns the same settings. */
export function fakeConfig(options: PipelineBenchOptions): ConfigSource {
    const pipelines = Object.entries(options.pipelines ?? defaultPipelines)
        .map(([name, stages]) => [name, { deadlineMs: 10_000, stages }]);
    const settings = settingsSchema.parse({
        name: "test",
        dataCentres: { dc1: { region: "r1" } },
        hosts: {},
        endpoints: {},
        pipelines: Object.fromEntries(pipelines),
        workspaces: options.workspaces ?? { w1: {}, w2: {} },
        limits: options.limits ?? {},
    }) as unknown as Settings;
    const view: ConfigView = { version: 1, settings, outDataCentres: new Set(), leavingEndpoints: new Set() };
    return { current: () => view, onChange: new Emitter<ConfigView>().event };
}

export class PipelineBench {
    public readonly clock: FakeClock;
    public readonly slots: FakeSlots;
    public readonly client: FakeStageClient;
    public readonly claims: FakeClaims;
    public readonly quarantine = new FakeQuarantine();
    public readonly log = new MemoryLog();
    public readonly metrics = new MemoryMetrics();
    public readonly services: PipelineServices;
    public readonly runner: StagedPipelineRunner;
    private lastRequest = 0;

    public constructor(options: PipelineBenchOptions = {}) {
        this.clock = options.clock ?? new FakeClock();
        this.slots = new FakeSlots(
            this.clock,
            options.endpoints ?? defaultEndpoints(),
            1000,
            options.grantsExclusive ?? true,
        );
        this.client = new FakeStageClient(this.clock);
        this.claims = new FakeClaims(this.clock);
        const services: PipelineServices = {
            config: fakeConfig(options),
            router: new CostRouter({
                directory: this.slots,
                prefixes: new BlockPrefixIndex(this.log),
                dataCentre: "dc1" as DataCentreId,
            }),
            directory: this.slots,
            slots: this.slots,
            client: this.client,
            claims: this.claims,
            quarantine: this.quarantine,
            clock: this.clock,
            log: this.log,
            metrics: this.metrics,
            random: new SeededRandom(options.seed ?? 1),
        };
        this.services = { ...services, ...options.services?.(services) };
        this.runner = new StagedPipelineRunner(this.services);
    }

    /** Returns the runner of another host over the same endpoints and records. */
    public otherHost(): StagedPipelineRunner {
        return new StagedPipelineRunner(this.services);
    }

    public request(
        pipeline: string,
        fields: { input?: unknown; key?: string; deadlineMs?: number; workspace?: string; priority?: Priority; } = {},
    ): PipelineRequest {
        this.lastRequest += 1;
        return {
            id: `r${this.lastRequest}` as RequestId,
            workspace: (fields.workspace ?? "w1") as WorkspaceId,
            pipeline: pipeline as PipelineId,
            input: fields.input ?? `input ${this.lastRequest}`,
            idempotencyKey: fields.key,
            deadlineMs: this.clock.nowMs() + (fields.deadlineMs ?? 2000),
            priority: fields.priority ?? 1,
        };
    }

    /** Advances the clock in steps until the promise is settled; throws if it is not within `limitMs`. */
    public async settle<T>(promise: Promise<T>, limitMs: number = 60_000, stepMs: number = 1): Promise<T> {
        let settled = false;
        const markSettled = () => {
            settled = true;
        };
        promise.then(markSettled, markSettled);
        for (let passedMs = 0; !settled; passedMs += stepMs) {
            if (passedMs > limitMs) {
                throw new Error(`the promise was not settled within ${limitMs} ms`);
            }
            await this.clock.advance(stepMs);
        }
        return promise;
    }
}

/** A signal that is never aborted. */
export const neverAborted: AbortSignal = new AbortController().signal;
