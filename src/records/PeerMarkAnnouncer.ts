/**
 * Sends a crash mark to the other hosts as soon as it is committed, so that a request that is resent through another
 * host is recognized there. Crashes are rare; hosts that can't be reached get the mark from the group later.
 */
import * as z from "zod";
import { Emitter } from "../common/Emitter.js";
import type { Event, HostId } from "../common/Types.js";
import { definePeerMethod, type PeerRegistry, type PeerTransport } from "../peer/Types.js";
import type { CrashMark } from "./Commands.js";

/** Announces new crash marks to the copies on the other hosts. */
export interface MarkAnnouncer {
    /** Resolves once every host has replied or timed out. */
    announce(mark: CrashMark): Promise<void>;
    readonly onAnnounced: Event<CrashMark>;
}

const markMethod = definePeerMethod<CrashMark, Record<string, never>>(
    "records.mark",
    z.object({
        fingerprint: z.string(),
        state: z.enum(["suspect", "quarantined", "clear"]),
        crashes: z.number().int(),
        version: z.number().int(),
    }),
);

export class PeerMarkAnnouncer implements MarkAnnouncer {
    private readonly announced = new Emitter<CrashMark>();
    public readonly onAnnounced: Event<CrashMark> = this.announced.event;

    public constructor(
        private readonly transport: PeerTransport,
        registry: PeerRegistry,
        /** The other hosts. */
        private readonly hosts: () => readonly HostId[],
    ) {
        registry.handle(markMethod, async mark => {
            this.announced.fire(mark);
            return {};
        });
    }

    public async announce(mark: CrashMark): Promise<void> {
        const calls = this.hosts().map(host =>
            this.transport.call(host, markMethod, mark, { timeoutMs: announceTimeoutMs })
        );
        await Promise.all(calls);
    }
}

/** Timeout of an announcement, by which a host that does not reply delays the report, in milliseconds. */
const announceTimeoutMs = 300;
