/** Records what callers, endpoints and operators of a fleet observe, and checks the fleet's guarantees against it. */
import { allowedInWindow, limitContactMs, limitWindowMs, mostInWindow } from "../testing/LimitRule.js";

/** An execution of a request on an endpoint. */
interface EndpointRun {
    readonly request: string;
    readonly endpoint: string;
    readonly atMs: number;
}

/** A limit on the request rate over all hosts that an endpoint states in all replies of a period. */
interface StatedLimit {
    readonly endpoint: string;
    readonly perSecond: number;
    readonly fromMs: number;
    readonly toMs: number;
}

/** A period in which an endpoint says in all replies that it wants no request: it is leaving, or asks for a pause. */
interface UnwantedPeriod {
    readonly endpoint: string;
    readonly fromMs: number;
    readonly toMs: number;
}

/** Kind of a request: may run at most once, may be repeated, or is a stream that can be resumed. */
export type CallerKind = "once" | "idempotent" | "resumable";

/** The end of one caller's request. */
export interface CallerEnd {
    readonly request: string;
    readonly kind: CallerKind;
    /** The stream that it takes up again: the request that brought its first event, and the last event before. */
    readonly resumed?: { readonly request: string; readonly lastEvent: number; } | undefined;
    readonly host: string;
    readonly sentMs: number;
    readonly endedMs: number;
    /** HTTP status; 0 if the connection ended without a response. */
    readonly status: number;
    readonly body: string;
    /** True if the complete response arrived. */
    readonly isWhole: boolean;
    /** True if the host may have read the request: it was written, and not lost on a reused connection. */
    readonly wasSent: boolean;
    /** True if a new connection was opened for this request. */
    readonly isFresh: boolean;
}

/** The period of a host's planned stop, from the signal to the exit of its process, or of an injected fault. */
interface HostPeriod {
    readonly host: string;
    readonly fromMs: number;
    readonly toMs: number;
}

/** A configuration version that was acknowledged to the operator. */
interface ConfigAck {
    readonly version: number;
    readonly atMs: number;
}

/** A configuration version that the operator read, with the time at which the read was sent. */
interface ConfigRead {
    readonly version: number;
    readonly sentMs: number;
}

/** Time after a host turns not ready from which a load balancer opens no new connection to it, in milliseconds. */
const balancerLagMs = 2000;
/** Time after an acknowledgement in which a change of the configuration may still take effect, in milliseconds. */
const configEffectMs = 3000;
/** HTTP statuses that guarantee that a request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** A host knows what an endpoint states this long after it has answered a caller with a reply that states it. */
const knownAfterMs = 500;
/** Number of requests that a host may send to an endpoint that it knows to want none. */
const maxUnwanted = 2;
/** Number of events in a complete stream of the stand-in endpoints. */
export const streamEvents = 8;

/** The body of an endpoint's complete response to a request. */
export function answerOf(request: string): string {
    return `answer to ${request}`;
}

/** One server-sent event of the stream that a request began, as an endpoint of a software version writes it. */
export function eventOf(request: string, id: number, version: string): string {
    return `id: ${id}\ndata: ${request} ${id} ${version}\n\n`;
}

/** Version that has written the first complete event of a body; undefined when it has none. */
function firstVersion(body: string): string | undefined {
    return /^id: \d+\ndata: \S+ \d+ (\S+)\n\n/.exec(body)?.[1];
}

export class FleetHistory {
    /** When endpoints crashed, in order. */
    public readonly crashesMs: number[] = [];
    public readonly runs: EndpointRun[] = [];
    /** All requests that reached endpoints, run or refused. */
    public readonly arrivals: EndpointRun[] = [];
    public readonly limits: StatedLimit[] = [];
    public readonly unwanted: UnwantedPeriod[] = [];
    public readonly ends: CallerEnd[] = [];
    public readonly stops: HostPeriod[] = [];
    public readonly acks: ConfigAck[] = [];
    public readonly reads: ConfigRead[] = [];
    /** Injected faults; the period of each ends when its effects are over. */
    public readonly faults: HostPeriod[] = [];

    /** Descriptions of all violated guarantees; empty if there are none. */
    public broken(): readonly string[] {
        return [
            ...this.repeatedRuns(),
            ...this.untrueRefusals(),
            ...this.wrongAnswers(),
            ...this.brokenStreams(),
            ...this.mixedStreams(),
            ...this.staleReads(),
            ...this.requestsCutByPlannedWork(),
            ...this.exceededLimits(),
            ...this.unwantedRequests(),
        ];
    }

    private repeatedRuns(): string[] {
        const counts = new Map<string, number>();
        this.runs.forEach(({ request }) => counts.set(request, (counts.get(request) ?? 0) + 1));
        return this.ends
            .filter(({ kind, request }) => kind === "once" && (counts.get(request) ?? 0) > 1)
            .map(({ request }) => `${request} may run at most once, but ran ${counts.get(request)} times`);
    }

    private untrueRefusals(): string[] {
        const ran = new Set(this.runs.map(one => one.request));
        return this.ends
            .filter(({ kind, status, request }) => kind === "once" && notRunStatuses.has(status) && ran.has(request))
            .map(({ request, status }) => `${request} was answered with status ${status}, but ran`);
    }

    private wrongAnswers(): string[] {
        return this.ends
            .filter(({ kind, status, isWhole }) => kind !== "resumable" && status === 200 && isWhole)
            .filter(({ request, body }) => body !== answerOf(request))
            .map(({ request, body }) => `${request} got a wrong answer: ${body.slice(0, 60)}`);
    }

    private brokenStreams(): string[] {
        return this.streamEnds().flatMap(({ request, resumed, body, isWhole }) => {
            const { request: stream, lastEvent } = resumed ?? { request, lastEvent: 0 };
            const version = firstVersion(body) ?? "";
            const rest = Array.from(
                { length: streamEvents - lastEvent },
                (_, at) => eventOf(stream, lastEvent + at + 1, version),
            ).join("");
            if (isWhole && body !== rest) {
                return [`stream ${request} ended as complete, but is incomplete or wrong`];
            }
            return version === "" || rest.startsWith(body)
                ? []
                : [`stream ${request} has missing, duplicate or foreign events, or those of two versions`];
        });
    }

    /** Streams that hold events of two versions over the tries of their caller. */
    private mixedStreams(): string[] {
        const versions = new Map<string, Set<string>>();
        for (const { request, resumed, body } of this.streamEnds()) {
            const stream = resumed?.request ?? request;
            const version = firstVersion(body);
            if (version !== undefined) {
                versions.set(stream, (versions.get(stream) ?? new Set()).add(version));
            }
        }
        return [...versions].filter(([, all]) => all.size > 1)
            .map(([stream, all]) => `stream ${stream} has events of ${[...all].join(" and ")}`);
    }

    private streamEnds(): readonly CallerEnd[] {
        return this.ends.filter(({ kind, status }) => kind === "resumable" && status === 200);
    }

    private staleReads(): string[] {
        return this.reads.flatMap(({ version, sentMs }) => {
            const acked = Math.max(0, ...this.acks.filter(ack => ack.atMs < sentMs).map(ack => ack.version));
            return version < acked ? [`version ${version} was read after ${acked} was acknowledged`] : [];
        });
    }

    /** Requests that a host had accepted, and that got no complete response beside its stop or a new configuration. */
    private requestsCutByPlannedWork(): string[] {
        return this.ends.flatMap(({ host, sentMs, endedMs, wasSent, isFresh, isWhole, request }) => {
            const isExcused = this.faults.some(fault => sentMs <= fault.toMs && endedMs >= fault.fromMs);
            if (!wasSent || isWhole || isExcused) {
                return [];
            }
            const stops = this.stops
                .filter(one => one.host === host && sentMs <= one.toMs && endedMs >= one.fromMs);
            if (stops.some(one => !(isFresh && sentMs > one.fromMs + balancerLagMs))) {
                return [`${request} was cut off by the planned stop of ${host}`];
            }
            const isBesideChange = this.acks.some(({ atMs }) => sentMs <= atMs + configEffectMs && endedMs >= atMs);
            return isBesideChange && stops.length === 0
                ? [`${request} was cut off by ${host} beside a change of the configuration`]
                : [];
        });
    }

    /** Limits that the hosts which knew them have exceeded together; hosts with a fault in the window don't count. */
    private exceededLimits(): string[] {
        return this.limits.flatMap(limit => {
            const allowed = allowedInWindow(limit.perSecond);
            const most = mostInWindow(this.countedArrivals(limit));
            return most > allowed
                ? [`${limit.endpoint} got ${most} requests in 4 s at a limit of ${limit.perSecond}; allowed ${allowed}`]
                : [];
        });
    }

    /**
     * Requests to endpoints from hosts that knew that none were wanted; hosts with a fault in the period don't count.
     */
    private unwantedRequests(): string[] {
        return this.unwanted.flatMap(period => {
            const counts = new Map<string, number>();
            for (const { host } of this.knowingArrivals(period, () => [period.fromMs, period.toMs])) {
                counts.set(host, (counts.get(host) ?? 0) + 1);
            }
            return [...counts].filter(([, count]) => count > maxUnwanted)
                .map(([host, count]) =>
                    `${period.endpoint} got ${count} requests from ${host}, which it had told to send none`
                );
        });
    }

    /** Times at which requests count against a limit. */
    private countedArrivals(limit: StatedLimit): readonly number[] {
        return this.knowingArrivals(limit, atMs => [atMs - limitWindowMs, atMs + limitWindowMs])
            .map(one => one.atMs)
            .filter(atMs => atMs >= limit.fromMs + limitContactMs);
    }

    /**
     * Requests that reached an endpoint from hosts that knew what it states, and had no fault in a time that depends on
     * that of the request.
     */
    private knowingArrivals(
        { endpoint, fromMs, toMs }: UnwantedPeriod,
        calmTime: (atMs: number) => readonly [fromMs: number, toMs: number],
    ) {
        const ends = new Map(this.ends.map(end => [end.request, end]));
        const arrivals = this.arrivals
            .filter(one => one.endpoint === endpoint && one.atMs >= fromMs && one.atMs < toMs)
            .flatMap(({ request, atMs }) => {
                const end = ends.get(request);
                return end === undefined ? [] : [{ host: end.host, atMs, end }];
            });
        const knownMs = new Map<string, number>();
        for (const { host, end } of arrivals) {
            if (end.status !== 0) {
                knownMs.set(host, Math.min(knownMs.get(host) ?? Infinity, end.endedMs + knownAfterMs));
            }
        }
        const isDisturbed = (host: string, atMs: number) => {
            const [calmFromMs, calmToMs] = calmTime(atMs);
            return [...this.faults, ...this.stops].some(one =>
                one.host === host && one.fromMs <= calmToMs && one.toMs >= calmFromMs
            );
        };
        return arrivals.filter(({ host, atMs }) => atMs >= (knownMs.get(host) ?? Infinity) && !isDisturbed(host, atMs));
    }
}
