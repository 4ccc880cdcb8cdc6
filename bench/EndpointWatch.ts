/**
 * Polls the stand-ins during a run: samples how many calls each data centre has received, and reads the final counters
 * of executed calls.
 */
import type { Clock } from "../src/common/Types.js";
import type { Settings } from "../src/config/Schema.js";
import type { ControlMessage, StandInCounters } from "../standin/Types.js";
import { callJson } from "./HttpJson.js";

const pollMs = 250;

export interface ReceivedSample {
    /** From the start of the load, in milliseconds. */
    readonly atMs: number;
    /** Stage calls received since the stand-ins started, by data centre. */
    readonly received: Readonly<Record<string, number>>;
}

export class EndpointWatch {
    public readonly samples: ReceivedSample[] = [];
    /** The last known count of each endpoint, used while the endpoint restarts and does not answer. */
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

    /** Counters of all endpoints that answer, by endpoint; `brief` omits the runs of each request. */
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

    /**
     * Time of the last sample in [fromMs, toMs) that shows a new call in the data centre, in milliseconds from the
     * start of the load; undefined if there is none.
     */
    public lastReceivedMs(dataCentre: string, fromMs: number, toMs: number): number | undefined {
        return this.increaseTimes(dataCentre, fromMs, toMs).at(-1);
    }

    /** Like {@link lastReceivedMs}, for the first such sample. */
    public firstReceivedMs(dataCentre: string, fromMs: number, toMs: number): number | undefined {
        return this.increaseTimes(dataCentre, fromMs, toMs)[0];
    }

    private increaseTimes(dataCentre: string, fromMs: number, toMs: number): number[] {
        const times: number[] = [];
        for (const [index, sample] of this.samples.entries()) {
            const before = this.samples[index - 1]?.received[dataCentre] ?? 0;
            if (sample.atMs >= fromMs && sample.atMs < toMs && (sample.received[dataCentre] ?? 0) > before) {
                times.push(sample.atMs);
            }
        }
        return times;
    }
}
