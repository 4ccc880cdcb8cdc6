/**
 * An entry host's link to the control hosts: one question at a time, which is answered when there is news. Keeps the
 * view that requests are served by and its age, moves on when a control host fails, falls silent or has itself lost
 * the group, and never goes back to an older configuration.
 */
import { Emitter } from "../common/Emitter.js";
import type { Clock, DataCentreId, HostId, Incarnation } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { PeerTransport } from "../peer/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { decompressText, fleetMethods, type HeldTags, type SyncReply } from "./FleetMessages.js";
import { isLive } from "./FleetPublisher.js";
import type { DeploymentDecoder, FleetSource, FleetView } from "./Types.js";

/** A control host may hold its reply for this long; the view's age stays below this while nothing happens. */
const waitMs = 500;
/** Time for the way and the control host's own work, beyond the wait. */
const replyMarginMs = 500;
/** A control host whose state is older than this is left for another one, if one has newer. */
const staleControlMs = 1500;
/** Pause after all control hosts have been tried in vain. */
const retryPauseMs = 100;

/** What a host works by before it has heard from a control host. */
export const emptyView: FleetView = {
    deployment: undefined,
    endpoints: [],
    endpointsReadMs: 0,
    hosts: [],
    dataCentresOut: new Set(),
    quarantined: new Set(),
};

interface FleetClientOptions {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    readonly seeds: () => readonly HostId[];
    readonly decoder: DeploymentDecoder;
    readonly transport: PeerTransport;
    /** Counts suspensions, so that the view's age does too. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Aborted once this host has been told to stop; others then give it no work. */
    readonly stopping: AbortSignal;
}

export class FleetClient implements FleetSource, Service {
    public readonly name = "fleet-client";
    private readonly changes = new Emitter<FleetView>();
    public readonly onChange = this.changes.event;
    private current = emptyView;
    private held: HeldTags = { config: 0, endpoints: "", hosts: "", marks: "" };
    private freshUntilMs = -Infinity;
    private controls: readonly HostId[] = [];
    private crashes: string[] = [];
    private turn = 0;
    private lostControl: HostId | undefined;

    public constructor(private readonly options: FleetClientOptions) {}

    public view(): FleetView {
        return this.current;
    }

    public ageMs(): number {
        return this.options.clock.nowMs() - this.freshUntilMs;
    }

    public reportCrash(fingerprint: string): void {
        this.crashes.push(fingerprint);
    }

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const candidates = this.candidates();
            const control = candidates[this.turn % Math.max(1, candidates.length)];
            const isServed = control !== undefined && await this.ask(control, signal);
            if (!isServed) {
                this.turn += 1;
            }
            if (!isServed && this.turn % Math.max(1, candidates.length) === 0) {
                await this.options.clock.sleep(retryPauseMs, signal);
            }
        }
    }

    /** Control hosts in an order of this host's own, so that entry hosts spread over them. */
    private candidates(): readonly HostId[] {
        const known = this.controls.length > 0 ? [...this.controls, ...this.options.seeds()] : this.options.seeds();
        return rankByWeight(this.options.self, [...new Set(known)]);
    }

    /** True when the control host answered with a state that is new enough to stay with it. */
    private async ask(control: HostId, signal: AbortSignal): Promise<boolean> {
        const { self: host, dataCentre, incarnation, transport, clock, log } = this.options;
        const crashes = this.crashes.splice(0);
        const sentMs = clock.nowMs();
        const isBehind = this.ageMs() > staleControlMs;
        const isLeaving = this.options.stopping.aborted;
        const { held } = this;
        const req = { host, dataCentre, incarnation, isLeaving, held, waitMs: isBehind ? 0 : waitMs, crashes };
        const options = { timeoutMs: waitMs + replyMarginMs, signal };
        const reply = await transport.call(control, fleetMethods.sync, req, options);
        if (reply.isLeft()) {
            this.crashes.unshift(...crashes);
            if (this.lostControl === undefined && !signal.aborted) {
                log.event(EventId.ControlHostLost, {
                    control,
                    ...reply.extract(),
                    viewAgeMs: Math.round(this.ageMs()),
                });
            }
            this.lostControl = control;
            return false;
        }
        if (this.lostControl !== undefined) {
            log.event(EventId.ControlHostRegained, { control, lost: this.lostControl });
            this.lostControl = undefined;
        }
        const answer = reply.unsafeCoerce();
        this.take(answer);
        if (answer.ageMs !== undefined) {
            this.freshUntilMs = Math.max(this.freshUntilMs, sentMs + answer.heldMs - answer.ageMs);
        }
        if (isBehind && this.ageMs() > staleControlMs) {
            await clock.sleep(retryPauseMs, signal);
            return false;
        }
        return true;
    }

    private take(reply: SyncReply): void {
        const before = this.current;
        this.controls = reply.controls;
        this.takeConfig(reply);
        this.takeEndpoints(reply);
        const { hosts, marks } = reply;
        if (hosts !== undefined) {
            this.held = { ...this.held, hosts: hosts.tag };
            this.current = {
                ...this.current,
                hosts: hosts.hosts.map(one => ({
                    host: one.host,
                    dataCentre: one.dataCentre,
                    incarnation: one.incarnation,
                    isLive: isLive(one),
                })),
            };
        }
        if (marks !== undefined) {
            this.held = { ...this.held, marks: marks.tag };
            this.current = {
                ...this.current,
                dataCentresOut: new Set(marks.dataCentresOut as readonly DataCentreId[]),
                quarantined: new Set(marks.quarantined),
            };
        }
        if (this.current !== before) {
            this.logChange(reply);
            this.changes.fire(this.current);
        }
    }

    private takeConfig({ config }: SyncReply): void {
        if (config === undefined || config.version <= this.held.config) {
            return;
        }
        const { decoder, log, clock } = this.options;
        const startMs = clock.nowMs();
        decoder.decode(decompressText(config.packed)).caseOf({
            Left: fault => log.event(EventId.DeploymentUnreadable, { version: config.version, message: fault.message }),
            Right: deployment => {
                this.held = { ...this.held, config: config.version };
                this.current = { ...this.current, deployment };
                const decodedMs = Math.round(clock.nowMs() - startMs);
                log.event(EventId.DeploymentInForce, {
                    version: config.version,
                    routes: deployment.routes.length,
                    decodedMs,
                });
            },
        });
    }

    private takeEndpoints({ endpoints }: SyncReply): void {
        const { clock } = this.options;
        if (endpoints !== undefined && endpoints.ageMs >= 0) {
            const endpointsReadMs = clock.nowMs() - endpoints.ageMs;
            if (endpointsReadMs > this.current.endpointsReadMs || this.held.endpoints === "") {
                this.held = { ...this.held, endpoints: endpoints.tag };
                this.current = { ...this.current, endpoints: endpoints.endpoints, endpointsReadMs };
            }
        }
    }

    private logChange(reply: SyncReply): void {
        const { deployment, endpoints, hosts, dataCentresOut } = this.current;
        this.options.log.event(EventId.FleetViewChanged, {
            config: deployment?.version,
            endpoints: endpoints.length,
            endpointsAgeMs: Math.round(reply.endpointsAgeMs),
            hosts: hosts.filter(host => host.isLive).length,
            dataCentresOut: [...dataCentresOut],
            ageMs: Math.round(this.ageMs()),
        });
        this.options.metrics.gauge("fleet_config_version", deployment?.version ?? 0);
    }
}
