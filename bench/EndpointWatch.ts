/** Looks at the stand-ins during a run: what reached which data centre when, and in the end what really ran. */
import type { Clock } from "../src/common/Types.js";
import type { Settings } from "../src/config/Schema.js";
import type { ControlMessage, StandInCounters } from "../standin/Types.js";
import { callJson } from "./HttpJson.js";

const pollMs = 250;

export interface ReceivedSample {
    /** From the start of the load, in milliseconds. */
    readonly atMs: number;
    /** Stage calls received since the start, by data centre. */
    readonly received: Readonly<Record<string, number>>;
}

export class EndpointWatch {
    public readonly samples: ReceivedSample[] = [];
    /** The last count of each endpoint; it stands while an endpoint restarts and does not answer. */
    private readonly lastReceived = new Map<string, number>();

    public constructor(private readonly settings: Settings, private readonly clock: Clock) {}

    /** Takes samples until the signal is aborted. */
    public async run(startMs: number, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const counters = await this.counters(true);
            const received: Record<string, number> = {};
            for (const [id, endpoint] of Object.entries(this.settings.endpoints)) {
                const { dataCentre } = endpoint;
                const count = counters[id]?.received ?? this.lastReceived.get(id) ?? 0;
                this.lastReceived.set(id, count);
                received[dataCentre] = (received[dataCentre] ?? 0) + count;
            }
            this.samples.push({ atMs: this.clock.nowMs() - startMs, received });
            await this.clock.sleep(pollMs, signal);
        }
    }

    /** Counters of all endpoints that answer; `brief` leaves out the runs of each request. */
    public async counters(brief: boolean): Promise<Record<string, StandInCounters>> {
        const path = brief ? "/v1/control?brief" : "/v1/control";
        const entries = await Promise.all(
            Object.entries(this.settings.endpoints).map(async ([id, { address }]) => {
                const { status, body } = await callJson(address, "GET", path);
                return status === 200 ? [[id, body as StandInCounters] as const] : [];
            }),
        );
        return Object.fromEntries(entries.flat());
    }

    public async control(endpoint: string, message: ControlMessage): Promise<void> {
        const address = Object.entries(this.settings.endpoints).find(([id]) => id === endpoint)?.[1].address;
        if (address !== undefined) {
            await callJson(address, "POST", "/v1/control", message);
        }
    }

    /** When the last new call reached a data centre within a span; undefined when none did. */
    public lastReceivedMs(dataCentre: string, fromMs: number, toMs: number): number | undefined {
        return this.risesOf(dataCentre, fromMs, toMs).at(-1);
    }

    public firstReceivedMs(dataCentre: string, fromMs: number, toMs: number): number | undefined {
        return this.risesOf(dataCentre, fromMs, toMs)[0];
    }

    private risesOf(dataCentre: string, fromMs: number, toMs: number): number[] {
        const rises: number[] = [];
        for (const [index, sample] of this.samples.entries()) {
            const before = this.samples[index - 1]?.received[dataCentre] ?? 0;
            if (sample.atMs >= fromMs && sample.atMs < toMs && (sample.received[dataCentre] ?? 0) > before) {
                rises.push(sample.atMs);
            }
        }
        return rises;
    }
}
