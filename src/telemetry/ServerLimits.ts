/**
 * Limits of one server whose clients may keep to none, and what is told of them: a counter for each reason, and one log
 * event for many refusals.
 */
import type { Duplex } from "node:stream";
import { descriptorLimit } from "../common/Descriptors.js";
import { LargeBodies } from "../common/LargeBodies.js";
import { type CloseReason, endConnection, ServerConnections } from "../common/ServerConnections.js";
import type { Clock } from "../common/Types.js";
import { EventQuota } from "./EventQuota.js";
import { EventId } from "./Events.js";
import type { EventLog, Metrics } from "./Types.js";

interface ServerLimitsOptions {
    /** The server's name in metrics and events. */
    readonly server: string;
    /** Number of descriptors that this process may have; the operating system's limit when undefined. */
    readonly maxDescriptors?: number | undefined;
    /** Share of them that the server's connections may take. */
    readonly descriptorShare: number;
    /** Number of large messages that are held at the same time. */
    readonly maxLargeBodies: number;
    /** Size from which on a message is large; 64 KiB when absent. */
    readonly smallBytes?: number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

const defaultSmallBytes = 64 * 1024;
/** Maximum number of bytes of all messages that are small or wait for their turn. */
const maxSmallBytes = 16 * 1024 * 1024;
const minConnections = 16;
/** Interval between two events of one server. */
const reportIntervalMs = 5000;

export class ServerLimits {
    public readonly connections: ServerConnections;
    public readonly bodies: LargeBodies;
    private unreported: Partial<Record<CloseReason | "body", number>> = {};
    private reportedMs = -Infinity;

    public constructor(private readonly options: ServerLimitsOptions) {
        const { descriptorShare, maxLargeBodies: maxAtOnce, smallBytes = defaultSmallBytes, clock } = options;
        const maxDescriptors = options.maxDescriptors ?? descriptorLimit();
        const maxConnections = Math.max(minConnections, Math.floor(descriptorShare * maxDescriptors));
        this.connections = new ServerConnections({ maxConnections, clock, onClose: reason => this.record(reason) });
        this.bodies = new LargeBodies({ maxAtOnce, smallBytes, maxSmallBytes }, clock, () => this.record("body"));
    }

    /** Writes the last answer on a connection whose client asked for another protocol, and closes it. */
    public refuseUpgrade(connection: Duplex, answer: string): void {
        endConnection(connection, answer, this.options.clock);
    }

    /** Returns a log for events that clients of this server can cause at any rate. */
    public eventQuota(): EventQuota {
        return new EventQuota(this.options.log, this.options.clock, 1);
    }

    private record(reason: CloseReason | "body"): void {
        const { server, clock, log, metrics } = this.options;
        metrics.count("server_refusals", { server, reason });
        this.unreported[reason] = (this.unreported[reason] ?? 0) + 1;
        const nowMs = clock.nowMs();
        if (nowMs - this.reportedMs >= reportIntervalMs) {
            log.event(EventId.ServerOverloaded, { server, connections: this.connections.size, ...this.unreported });
            this.unreported = {};
            this.reportedMs = nowMs;
        }
    }
}
