/**
 * Which blocks of prompts each engine is expected to hold: learnt from own calls and from the engine's cache events.
 * Events come late and with gaps; a gap lowers the trust in what is known of that engine until later events renew it.
 */
import { createHash } from "node:crypto";
import type { EndpointId } from "../common/Types.js";
import { blockHashes } from "../endpoints/Prompt.js";
import { cacheBlockChars, charsPerToken } from "../endpoints/Wire.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { CacheEvent, PrefixIndex } from "./Types.js";

/** Blocks at a prompt's beginning that decide where it is at home. */
const homeBlocks = 2;
/** Blocks remembered of one engine. */
const defaultMaxBlocks = 20_000;
const trustAfterGap = 0.5;
/** Trust regained by each event that follows its predecessor. */
const trustPerEvent = 0.02;
const leastTrust = 0.1;

interface EngineCache {
    /** Uses by hash, least recently used first. */
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
        const beginning = this.hashesOf(prompt)[homeBlocks - 1];
        if (beginning === undefined) {
            return undefined;
        }
        let home: EndpointId | undefined;
        let highest = "";
        for (const candidate of candidates) {
            const weight = createHash("sha256").update(beginning).update(candidate).digest("hex");
            if (weight > highest) {
                highest = weight;
                home = candidate;
            }
        }
        return home;
    }

    public recordPrompt(endpoint: EndpointId, prompt: string): void {
        this.store(this.engine(endpoint), this.hashesOf(prompt), 1);
    }

    /** Records blocks that an engine was given from elsewhere. */
    public recordBlocks(endpoint: EndpointId, blocks: readonly string[]): void {
        this.store(this.engine(endpoint), blocks, 0);
    }

    /** The engine's blocks with at least so many uses by this host, most used first. */
    public hotBlocks(endpoint: EndpointId, leastUses: number, most: number): readonly string[] {
        const used = [...this.engines.get(endpoint)?.blocks ?? []].filter(([, uses]) => uses >= leastUses);
        return used.sort(([, a], [, b]) => b - a).slice(0, most).map(([hash]) => hash);
    }

    public recordEvents(endpoint: EndpointId, events: readonly CacheEvent[]): void {
        const engine = this.engine(endpoint);
        for (const event of events) {
            if (engine.lastSequence !== undefined && event.sequence <= engine.lastSequence) {
                continue;
            }
            this.judgeSequence(endpoint, engine, event.sequence);
            this.apply(engine, event);
        }
    }

    public forget(endpoint: EndpointId): void {
        this.engines.delete(endpoint);
    }

    /** Trust in what is known of an engine, in [0, 1]. */
    public trust(endpoint: EndpointId): number {
        return this.engines.get(endpoint)?.trust ?? 1;
    }

    /** Ranking asks for the same prompt at each engine. */
    private hashesOf(prompt: string): readonly string[] {
        if (this.lastPrompt !== prompt) {
            this.lastPrompt = prompt;
            this.lastHashes = blockHashes(prompt);
        }
        return this.lastHashes;
    }

    private judgeSequence(endpoint: EndpointId, engine: EngineCache, sequence: number): void {
        const last = engine.lastSequence;
        if (last !== undefined && sequence > last + 1) {
            engine.trust = Math.max(leastTrust, engine.trust * trustAfterGap);
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

    private engine(endpoint: EndpointId): EngineCache {
        let engine = this.engines.get(endpoint);
        if (engine === undefined) {
            engine = { blocks: new Map(), lastSequence: undefined, trust: 1 };
            this.engines.set(endpoint, engine);
        }
        return engine;
    }
}
