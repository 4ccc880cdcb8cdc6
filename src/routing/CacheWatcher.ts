/**
 * Updates the prefix index from the engines' cache events, and moves hot prefixes away from an engine that is leaving.
 * The engines of the own data centre are read one at a time, which bounds the request rate of the host.
 */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { EndpointDirectory, EndpointView } from "../endpoints/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { BlockPrefixIndex } from "./BlockPrefixIndex.js";
import type { CacheBatch, CacheSource } from "./Types.js";

/** Interval between two reads of any engine. */
const readIntervalMs = 200;
/** Minimum interval between two reads of the same engine. */
const minRoundMs = 1000;
/** A block with at least this many uses counts as hot and is moved away from an engine that is leaving. */
const hotUses = 2;
/** Maximum number of blocks moved away from one engine. */
const maxMovedBlocks = 256;

export interface CacheWatcherOptions {
    readonly config: ConfigSource;
    readonly directory: EndpointDirectory;
    readonly source: CacheSource;
    readonly index: BlockPrefixIndex;
    readonly dataCentre: DataCentreId;
    readonly clock: Clock;
    readonly log: EventLog;
}

interface ReadPosition {
    incarnation: string;
    after: number;
}

export class CacheWatcher {
    public readonly name = "cache-watcher";
    private readonly positions = new Map<EndpointId, ReadPosition>();
    /** Leaving engines whose hot blocks were moved already. */
    private readonly moved = new Set<EndpointId>();

    public constructor(private readonly options: CacheWatcherOptions) {}

    public async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        while (!signal.aborted) {
            const startedMs = clock.nowMs();
            for (const engine of this.engines()) {
                await this.processEngine(engine, signal);
                await clock.sleep(readIntervalMs, signal);
            }
            await clock.sleep(Math.max(readIntervalMs, startedMs + minRoundMs - clock.nowMs()), signal);
        }
    }

    /** Reads one engine's events; for an engine that is leaving, moves its hot prefixes once. */
    public async processEngine(engine: EndpointView, signal: AbortSignal): Promise<void> {
        if (engine.state !== "leaving") {
            this.moved.delete(engine.id);
            await this.read(engine.id, signal);
        }
        else if (!this.moved.has(engine.id)) {
            this.moved.add(engine.id);
            await this.moveHotBlocks(engine, signal);
        }
    }

    private engines(): readonly EndpointView[] {
        const { config, directory, dataCentre } = this.options;
        const ids = Object.keys(config.current()?.settings.endpoints ?? {}) as EndpointId[];
        const views = ids.map(id => directory.get(id)).filter(view => view !== undefined);
        return views.filter(view => view.kind === "engine" && view.dataCentre === dataCentre);
    }

    private async read(id: EndpointId, signal: AbortSignal): Promise<void> {
        const known = this.positions.get(id);
        const batch = await this.options.source.events(id, known?.after ?? 0, signal);
        if (batch === undefined) {
            return;
        }
        if (known !== undefined && known.incarnation !== batch.incarnation) {
            // The engine has restarted: its cache is empty, and its sequence numbers start again.
            this.options.index.forget(id);
            this.positions.set(id, { incarnation: batch.incarnation, after: 0 });
            return;
        }
        this.options.index.recordEvents(id, batch.events);
        this.positions.set(id, { incarnation: batch.incarnation, after: lastSequence(batch, known?.after ?? 0) });
    }

    private async moveHotBlocks(engine: EndpointView, signal: AbortSignal): Promise<void> {
        const { index, source, log } = this.options;
        const blocks = index.hotBlocks(engine.id, hotUses, maxMovedBlocks);
        const target = this.targetFor(engine);
        if (blocks.length === 0 || target === undefined) {
            return;
        }
        const exported = await source.export(engine.id, blocks, signal);
        if (exported === undefined || exported.length === 0) {
            return;
        }
        const imported = await source.import(target.id, exported, signal);
        if (imported !== undefined) {
            index.recordBlocks(target.id, imported);
            log.event(EventId.CacheMoved, { from: engine.id, to: target.id, blocks: imported.length });
        }
    }

    /** The least loaded engine of the data centre that serves one of the same models. */
    private targetFor(engine: EndpointView): EndpointView | undefined {
        const candidates = this.engines().filter(one =>
            one.id !== engine.id
            && one.pool === engine.pool
            && (one.state === "warm" || one.state === "warming")
            && (engine.models.length === 0 || one.models.some(model => engine.models.includes(model)))
        );
        return [...candidates].sort((a, b) => loadShare(a) - loadShare(b))[0];
    }
}

function loadShare(engine: EndpointView): number {
    return Math.max(engine.ownInFlight, engine.reported?.running ?? 0) / Math.max(1, engine.limit);
}

function lastSequence(batch: CacheBatch, after: number): number {
    return batch.events.reduce((last, event) => Math.max(last, event.sequence), after);
}
