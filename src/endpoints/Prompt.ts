/**
 * The prompt that an engine prefills for a stage call, and the hashes of the blocks in which its KV cache stores it.
 * Engines use the same hashes in their cache events, so that a host can tell which part of a prompt an engine holds.
 */
import { createHash } from "node:crypto";
import type { StageBody } from "./Types.js";
import { cacheBlockChars } from "./Wire.js";

/** Length of a block's hash in characters. */
const hashChars = 16;

/** The prompt of a stage call: the request's input first, so that requests over the same text share a prefix. */
export function promptOf(body: StageBody): string {
    const input = typeof body.input === "string" ? body.input : JSON.stringify(body.input ?? "");
    return [input, ...Object.values(body.previous)].join("\n");
}

/** Hashes of the prompt's complete blocks, in order; each covers the prompt up to the end of its block. */
export function blockHashes(prompt: string): readonly string[] {
    const hashes: string[] = [];
    let before = "";
    for (let end = cacheBlockChars; end <= prompt.length; end += cacheBlockChars) {
        const block = prompt.slice(end - cacheBlockChars, end);
        before = createHash("sha256").update(before).update(block).digest("hex").slice(0, hashChars);
        hashes.push(before);
    }
    return hashes;
}
