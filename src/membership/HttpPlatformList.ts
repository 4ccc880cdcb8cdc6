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
const statusOk = 200;
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
            const text = address === undefined ? undefined : await this.read(address, signal);
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

    /** Undefined when no whole list came in time. */
    private read(address: string, signal: AbortSignal): Promise<string | undefined> {
        return new Promise(resolve => {
            const finish = (text: string | undefined) => {
                timer.dispose();
                signal.removeEventListener("abort", giveUp);
                resolve(text);
            };
            const giveUp = () => req.destroy();
            const timer = this.clock.setTimer(readTimeoutMs, giveUp);
            signal.addEventListener("abort", giveUp);
            const req = get(`http://${address}/v1/hosts`, { agent: false }, res => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                res.on("data", (chunk: Buffer) => {
                    bytes += chunk.length;
                    chunks.push(chunk);
                    if (bytes > maxListBytes) {
                        giveUp();
                    }
                });
                res.on("end", () => {
                    const isWhole = res.complete && res.statusCode === statusOk;
                    finish(isWhole ? Buffer.concat(chunks).toString("utf8") : undefined);
                });
                res.on("error", () => finish(undefined));
                res.on("close", () => finish(undefined));
            });
            req.on("error", () => finish(undefined));
        });
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
