/** Polls the platform's list of hosts and endpoints over HTTP. */
import { get } from "node:http";
import { z } from "zod";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { PlatformEntry, PlatformList } from "./Types.js";

/** Between two reads of the list. */
const pollEveryMs = 1000;
/** Bound on one read. */
const readTimeoutMs = 1000;
/** A list not read again for this long counts as missing. */
const staleAfterMs = 30_000;
/** Bound on the size of the list. */
const maxListBytes = 4_194_304;

const listSchema = z.object({
    entries: z.array(z.object({ id: z.string(), state: z.enum(["live", "leaving"]) })),
});

export class HttpPlatformList implements PlatformList {
    public readonly name = "platform-list";
    private entries: { readonly list: readonly PlatformEntry[]; readonly atMs: number; } | undefined;
    private readonly changes = new Emitter<readonly PlatformEntry[]>();

    public readonly onChange: Event<readonly PlatformEntry[]> = this.changes.event;

    public constructor(private readonly config: ConfigSource, private readonly clock: Clock) {}

    public latest(): readonly PlatformEntry[] | undefined {
        const fresh = this.entries !== undefined && this.clock.nowMs() - this.entries.atMs < staleAfterMs;
        return fresh ? this.entries?.list : undefined;
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const address = this.config.current()?.settings.platform.hostListAddress;
            const text = address === undefined ? undefined : await readText(`http://${address}/v1/hosts`, signal);
            const parsed = text === undefined ? undefined : parseList(text);
            if (parsed !== undefined) {
                this.take(parsed);
            }
            await this.clock.sleep(pollEveryMs, signal);
        }
    }

    private take(list: readonly PlatformEntry[]): void {
        const differs = JSON.stringify(this.entries?.list) !== JSON.stringify(list);
        this.entries = { list, atMs: this.clock.nowMs() };
        if (differs) {
            this.changes.fire(list);
        }
    }
}

function parseList(text: string): readonly PlatformEntry[] | undefined {
    try {
        const parsed = listSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data.entries as unknown as readonly PlatformEntry[] : undefined;
    }
    catch {
        return undefined;
    }
}

function readText(url: string, signal: AbortSignal): Promise<string | undefined> {
    return new Promise(resolve => {
        const bound = AbortSignal.any([signal, AbortSignal.timeout(readTimeoutMs)]);
        const req = get(url, { signal: bound, agent: false }, res => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            res.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                chunks.push(chunk);
                if (bytes > maxListBytes) {
                    req.destroy();
                }
            });
            res.on("end", () => resolve(res.statusCode === 200 ? Buffer.concat(chunks).toString("utf8") : undefined));
            res.on("error", () => resolve(undefined));
            res.on("close", () => resolve(undefined));
        });
        req.on("error", () => resolve(undefined));
    });
}
