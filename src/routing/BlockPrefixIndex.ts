/**
 * Index of the prompt blocks that each engine is expected to have cached, from this host's calls and the engine's cache
 * events. Events arrive late and with gaps; a gap lowers the trust in an engine's entries, and later events restore it.
 */
import { createHash } from "node:crypto";
import type { EndpointId } from "../common/Types.js";
import { blockHashes } from "../endpoints/Prompt.js";
import { cacheBlockChars, charsPerToken } from "../endpoints/Wire.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { CacheEvent, PrefixIndex } from "./Types.js";

/** Number of blocks at the start of a prompt that decide its preferred engine. */
const preferenceBlocks = 2;
/** Maximum number of blocks in the index for one engine. */
const defaultMaxBlocks = 20_000;
/** Factor on the trust in an engine's entries after a gap in its events. */
const trustAfterGap = 0.5;
/** Trust regained with each event that arrives without a gap. */
const trustPerEvent = 0.02;
const minTrust = 0.1;

interface EngineCache {
    /** Number of uses by block hash, least recently used first. */
    readonly blocks: Map<string, number>;
    lastSequence: number | undefined;
    trust: number;
}

export class BlockPrefixIndex implements PrefixIndex {
    private readonly engines = new Map<EndpointId, EngineCache>();
    private lastPrompt = "";
    private lastHashes: readonly string[] = [];

    public constructor(private readonly log: EventLog, private readonly maxBlocks: number = defaultMaxBlocks) {}

    public cachedTokens(endpoint: EndpointId, prompt: string): number {
        const engine = this.engines.get(endpoint);
        if (engine === undefined) {
            return 0;
        }
        let blocks = 0;
        for (const hash of this.hashesOf(prompt)) {
            if (!engine.blocks.has(hash)) {
                break;
            }
            blocks += 1;
        }
        return blocks * cacheBlockChars / charsPerToken * engine.trust;
    }

    public preferredEndpoint(prompt: string, candidates: readonly EndpointId[]): EndpointId | undefined {
        const prefixHash = this.hashesOf(prompt)[preferenceBlocks - 1];
        if (prefixHash === undefined) {
            return undefined;
        }
        let preferred: EndpointId | undefined;
        let highestWeight = "";
        for (const candidate of candidates) {
            const weight = createHash("sha256").update(prefixHash).update(candidate).digest("hex");
            if (weight > highestWeight) {
                highestWeight = weight;
                preferred = candidate;
            }
        }
        return preferred;
    }

    public recordPrompt(endpoint: EndpointId, prompt: string): void {
        this.store(this.getOrCreate(endpoint), this.hashesOf(prompt), 1);
    }

    /** Records blocks that an engine has imported from another engine. */
    public recordBlocks(endpoint: EndpointId, blocks: readonly string[]): void {
        this.store(this.getOrCreate(endpoint), blocks, 0);
    }

    /** Returns up to `maxCount` blocks of the engine with at least `minUses` uses by this host, most used first. */
    public hotBlocks(endpoint: EndpointId, minUses: number, maxCount: number): readonly string[] {
        const used = [...this.engines.get(endpoint)?.blocks ?? []].filter(([, uses]) => uses >= minUses);
        return used.sort(([, a], [, b]) => b - a).slice(0, maxCount).map(([hash]) => hash);
    }

    public recordEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void {
        const engine = this.getOrCreate(endpoint);
        for (const event of events) {
            if (engine.lastSequence !== undefined && event.sequence <= engine.lastSequence) {
                continue;
            }
            this.updateTrust(endpoint, engine, event.sequence);
            this.apply(engine, event);
        }
    }

    public forget(endpoint: EndpointId): void {
        this.engines.delete(endpoint);
    }

    /** Trust in an engine's entries, in [0, 1]. */
    public trust(endpoint: EndpointId): number {
        return this.engines.get(endpoint)?.trust ?? 1;
    }

    /** Hashes of a prompt's blocks; the latest are cached, since ranking requests the same prompt for each engine. */
    private hashesOf(prompt: string): readonly string[] {
        if (this.lastPrompt !== prompt) {
            this.lastPrompt = prompt;
            this.lastHashes = blockHashes(prompt);
        }
        return this.lastHashes;
    }

    private updateTrust(endpoint: EndpointId, engine: EngineCache, sequence: number): void {
        const last = engine.lastSequence;
        if (last !== undefined && sequence > last + 1) {
            engine.trust = Math.max(minTrust, engine.trust * trustAfterGap);
            this.log.event(EventId.PrefixIndexGap, { endpoint, after: last, sequence });
        }
        else {
            engine.trust = Math.min(1, engine.trust + trustPerEvent);
        }
        engine.lastSequence = sequence;
    }

    private apply(engine: EngineCache, event: CacheEvent): void {
        switch (event.kind) {
            case "stored":
                this.store(engine, event.blocks, 0);
                break;
            case "evicted":
                event.blocks.forEach(block => engine.blocks.delete(block));
                break;
            case "cleared":
                engine.blocks.clear();
                engine.trust = 1;
                break;
        }
    }

    private store(engine: EngineCache, hashes: readonly string[], newUses: number): void {
        for (const hash of hashes) {
            const uses = engine.blocks.get(hash) ?? 0;
            engine.blocks.delete(hash);
            engine.blocks.set(hash, uses + newUses);
        }
        for (const hash of engine.blocks.keys()) {
            if (engine.blocks.size <= this.maxBlocks) {
                break;
            }
            engine.blocks.delete(hash);
        }
    }

    private getOrCreate(endpoint: EndpointId): EngineCache {
        let engine = this.engines.get(endpoint);
        if (engine === undefined) {
            engine = { blocks: new Map(), lastSequence: undefined, trust: 1 };
            this.engines.set(endpoint, engine);
        }
        return engine;
    }
}
