/** What callers, endpoints and operators of a fleet saw, and the promises that are checked against it. */

/** What an endpoint did with a request. */
interface EndpointRun {
    readonly request: string;
    readonly endpoint: string;
    readonly atMs: number;
}

export type CallerKind = "once" | "idempotent" | "resumable";

/** How one request of a caller ended. */
export interface CallerEnd {
    readonly request: string;
    readonly kind: CallerKind;
    readonly host: string;
    readonly sentMs: number;
    readonly endedMs: number;
    /** 0 when the connection ended without a whole answer. */
    readonly status: number;
    readonly body: string;
    readonly isWhole: boolean;
    /** True when the host may have read the request: the connection was made and the request written. */
    readonly wasSent: boolean;
    /** True when the connection was made for this request. */
    readonly isFresh: boolean;
}

/** A planned stop of a host: from the signal to the end of its process. */
interface PlannedStop {
    readonly host: string;
    readonly fromMs: number;
    readonly toMs: number;
}

interface ConfigAck {
    readonly version: number;
    readonly atMs: number;
}

interface ConfigRead {
    readonly version: number;
    readonly sentMs: number;
}

/** A balancer makes no new connection to a host this long after it has turned not ready. */
const balancerLagMs = 2000;
/** Statuses that promise that a request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Events of a whole stream of the stand-in endpoints. */
export const streamEvents = 8;

/** The body of an endpoint's whole answer to a request. */
export function answerOf(request: string): string {
    return `answer to ${request}`;
}

/** One event of the answer to a stream request. */
export function eventOf(request: string, id: number): string {
    return `id: ${id}\ndata: ${request} ${id}\n\n`;
}

export class FleetHistory {
    public readonly runs: EndpointRun[] = [];
    public readonly ends: CallerEnd[] = [];
    public readonly stops: PlannedStop[] = [];
    public readonly acks: ConfigAck[] = [];
    public readonly reads: ConfigRead[] = [];
    /** When something unplanned was done to a host, and until when it may still tell. */
    public readonly harms: PlannedStop[] = [];

    /** Promises that do not hold, in words; empty when all hold. */
    public broken(): readonly string[] {
        return [
            ...this.ranTwice(),
            ...this.untrueRefusals(),
            ...this.wrongAnswers(),
            ...this.brokenStreams(),
            ...this.olderReads(),
            ...this.cutByPlannedStops(),
        ];
    }

    private ranTwice(): string[] {
        const counts = new Map<string, number>();
        this.runs.forEach(({ request }) => counts.set(request, (counts.get(request) ?? 0) + 1));
        return this.ends
            .filter(({ kind, request }) => kind === "once" && (counts.get(request) ?? 0) > 1)
            .map(({ request }) => `${request} must run once and ran ${counts.get(request)} times`);
    }

    private untrueRefusals(): string[] {
        const ran = new Set(this.runs.map(one => one.request));
        return this.ends
            .filter(({ kind, status, request }) => kind === "once" && notRunStatuses.has(status) && ran.has(request))
            .map(({ request, status }) => `${request} was answered ${status} and ran`);
    }

    private wrongAnswers(): string[] {
        return this.ends
            .filter(({ kind, status, isWhole }) => kind !== "resumable" && status === 200 && isWhole)
            .filter(({ request, body }) => body !== answerOf(request))
            .map(({ request, body }) => `${request} got another answer: ${body.slice(0, 60)}`);
    }

    private brokenStreams(): string[] {
        return this.ends.filter(({ kind, status }) => kind === "resumable" && status === 200).flatMap(end => {
            const { request, body, isWhole } = end;
            const all = Array.from({ length: streamEvents }, (_, at) => eventOf(request, at + 1)).join("");
            if (isWhole && body !== all) {
                return [`stream ${request} ended as complete and is not`];
            }
            return all.startsWith(body) ? [] : [`stream ${request} has events that are missing, doubled or another's`];
        });
    }

    private olderReads(): string[] {
        return this.reads.flatMap(({ version, sentMs }) => {
            const acked = Math.max(0, ...this.acks.filter(ack => ack.atMs < sentMs).map(ack => ack.version));
            return version < acked ? [`version ${version} was read after ${acked} was acknowledged`] : [];
        });
    }

    /** Requests that a host had taken and left without a whole answer around its own planned stop. */
    private cutByPlannedStops(): string[] {
        return this.ends.flatMap(end => {
            const { host, sentMs, endedMs, wasSent, isFresh, isWhole, request } = end;
            const within = (one: PlannedStop) =>
                one.host === host && sentMs <= one.toMs && endedMs >= one.fromMs
                && !(isFresh && sentMs > one.fromMs + balancerLagMs);
            const isCut = wasSent && !isWhole && this.stops.some(within);
            const isHarmed = this.harms.some(harm => sentMs <= harm.toMs && endedMs >= harm.fromMs);
            return isCut && !isHarmed ? [`${request} was cut by the planned stop of ${host}`] : [];
        });
    }
}
