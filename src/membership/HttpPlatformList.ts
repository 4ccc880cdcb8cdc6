/** Polls the platform's list of hosts and endpoints over HTTP. */
import { get } from "node:http";
import * as z from "zod";
import { BodyCollector } from "../common/BodyCollector.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { PlatformEntry, PlatformList } from "./Types.js";

/** Interval between two reads of the list. */
const pollIntervalMs = 1000;
/** Timeout of one read. */
const readTimeoutMs = 1000;
/** A list older than this counts as missing. */
const staleAfterMs = 30_000;
const statusOk = 200;
/** Maximum size of the list, in bytes. */
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
                this.update(parsed);
            }
            await this.clock.sleep(pollIntervalMs, signal);
        }
    }

    private update(list: readonly PlatformEntry[]): void {
        const hasChanged = JSON.stringify(this.entries?.list) !== JSON.stringify(list);
        this.entries = { list, atMs: this.clock.nowMs() };
        if (hasChanged) {
            this.changes.fire(list);
        }
    }

    /** Returns the body of the reply; undefined when no complete list arrived in time. */
    private read(address: string, signal: AbortSignal): Promise<string | undefined> {
        return new Promise(resolve => {
            const finish = (text: string | undefined) => {
                timer.dispose();
                signal.removeEventListener("abort", abort);
                resolve(text);
            };
            const abort = () => req.destroy();
            const timer = this.clock.setTimer(readTimeoutMs, abort);
            signal.addEventListener("abort", abort);
            const req = get(`http://${address}/v1/hosts`, { agent: false }, res => {
                const body = new BodyCollector(maxListBytes);
                res.on("data", (chunk: Buffer) => {
                    if (body.add(chunk) !== undefined) {
                        abort();
                    }
                });
                res.on("end", () => {
                    const isWhole = res.complete && res.statusCode === statusOk;
                    finish(isWhole ? body.toText() : undefined);
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
