/** Plans open-loop arrivals from a seed: the time and content of each request, independent of how earlier ones end. */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Settings } from "../src/config/Schema.js";

/** Requests per second, by pipeline. */
export type Rates = Readonly<Record<string, number>>;

export interface Arrival {
    /** From the start of the load, in milliseconds. */
    readonly atMs: number;
    readonly pipeline: string;
    readonly workspace: string;
    readonly input: RequestInput;
    /** Idempotency key; set for pipelines with a stage that is not idempotent. */
    readonly key: string | undefined;
    /** Whether the caller requests the answer as a stream. */
    readonly stream: boolean;
}

export interface RequestInput {
    /** Text that several requests share, such as a chapter or a shelter's notes. */
    readonly document: string;
    readonly question: string;
}

export interface WorkloadOptions {
    readonly rates: Rates;
    readonly durationMs: number;
    readonly seed: number;
    /** In this period requests arrive at `factor` times their rate; times from the start of the load. */
    readonly burst?: { readonly fromMs: number; readonly toMs: number; readonly factor: number; } | undefined;
}

/** Share of callers that request a stream if the pipeline supports it. */
const streamShare = 0.5;
/** Number of documents that the requests of one workspace share, and their length in characters. */
const documentsPerWorkspace = 8;
const documentChars = 2000;

/** Plans the arrivals of all pipelines, sorted by time. The same options give the same arrivals. */
export function planArrivals(settings: Settings, options: WorkloadOptions): Arrival[] {
    const pipelines = Object.entries(options.rates).filter(([, rate]) => rate > 0);
    const arrivals = pipelines.flatMap(([pipeline, rate], index) =>
        planPipeline(settings, options, pipeline, rate, new SeededRandom(options.seed * 1000 + index))
    );
    return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function planPipeline(
    settings: Settings,
    options: WorkloadOptions,
    pipeline: string,
    ratePerSecond: number,
    random: SeededRandom,
): Arrival[] {
    const stages = Object.entries(settings.pipelines).find(([name]) => name === pipeline)?.[1].stages ?? [];
    const needsKey = stages.some(stage => !stage.idempotent);
    const canStream = stages.at(-1)?.stream === true;
    const workspaces = Object.entries(settings.workspaces).map(([name, { weight }]) => ({ name, weight }));
    const arrivals: Arrival[] = [];
    let atMs = 0;
    for (let count = 0;; count += 1) {
        const factor = burstFactor(options, atMs);
        atMs += (-Math.log(1 - random.next()) / (ratePerSecond * factor)) * 1000;
        if (atMs >= options.durationMs) {
            return arrivals;
        }
        const workspace = pickByWeight(workspaces, random);
        const id = `${pipeline}-${options.seed}-${count}`;
        const document = makeDocument(workspace, random.below(documentsPerWorkspace));
        const key = needsKey ? id : undefined;
        const stream = canStream && random.next() < streamShare;
        arrivals.push({ atMs, pipeline, workspace, input: { document, question: id }, key, stream });
    }
}

function burstFactor(options: WorkloadOptions, atMs: number): number {
    const { burst } = options;
    return burst !== undefined && atMs >= burst.fromMs && atMs < burst.toMs ? burst.factor : 1;
}

/** Draws a workspace with a probability proportional to its weight. */
function pickByWeight(workspaces: readonly { name: string; weight: number; }[], random: SeededRandom): string {
    const total = workspaces.reduce((sum, one) => sum + one.weight, 0);
    let remaining = random.next() * total;
    for (const { name, weight } of workspaces) {
        remaining -= weight;
        if (remaining < 0) {
            return name;
        }
    }
    return workspaces.at(-1)?.name ?? "";
}

function makeDocument(workspace: string, index: number): string {
    const random = new SeededRandom(index + 1);
    let text = `${workspace} document ${index}:`;
    while (text.length < documentChars) {
        text += ` ${random.hex(2 + random.below(8))}`;
    }
    return text;
}
