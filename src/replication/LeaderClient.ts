/**
 * Sends a request to the leader of a group from any host: tries the presumed leader first, follows the hints of hosts
 * that do not lead, and tries the next host when one can't be reached.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId } from "../common/Types.js";
import type { PeerMethod, PeerTransport } from "../peer/Types.js";
import type { LeaderReply } from "./Messages.js";

export type LeaderCallError =
    /** No host has accepted the request. */
    | { readonly kind: "not-taken"; readonly message: string; }
    /** A host may have accepted the request; its reply was lost. */
    | { readonly kind: "no-reply"; readonly message: string; };

export interface LeaderCallOptions {
    readonly timeoutMs: number;
    /** Whether the request may be sent again after its reply was lost. */
    readonly repeatable: boolean;
    /** Timeout of one attempt of a repeatable request. */
    readonly tryTimeoutMs: number;
}

export interface LeaderClientOptions {
    readonly self: HostId;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    /** Hosts that may lead. */
    readonly hosts: () => readonly HostId[];
    /** Pause after each round of as many attempts as there are hosts, in milliseconds. */
    readonly pauseMs: number;
    /** True once this host itself leads, which ends the call. */
    readonly leadsSelf?: () => boolean;
}

export class LeaderClient {
    private presumedLeader: HostId | undefined;
    private hostNumber = 0;

    public constructor(private readonly options: LeaderClientOptions) {}

    /** Sets the host to try first. */
    public hint(leader: HostId | undefined): void {
        if (leader !== undefined && leader !== this.options.self) {
            this.presumedLeader = leader;
        }
    }

    /** Sends a request until a leader has processed it, its reply may be lost, or the time is over. */
    public async call<Req, Res>(
        method: PeerMethod<Req, LeaderReply<Res>>,
        makeRequest: (remainingMs: number) => Req,
        options: LeaderCallOptions,
    ): Promise<Either<LeaderCallError, Res>> {
        const { clock, transport, pauseMs } = this.options;
        const deadlineMs = clock.nowMs() + options.timeoutMs;
        let mayBeAccepted = false;
        let message = "no host of the group is known";
        for (let attempts = 1; clock.nowMs() < deadlineMs && !this.isLeading(); attempts++) {
            const host = this.nextHost();
            const remainingMs = deadlineMs - clock.nowMs();
            if (host !== undefined) {
                const timeoutMs = options.repeatable ? Math.min(remainingMs, options.tryTimeoutMs) : remainingMs;
                const reply = await transport.call(host, method, makeRequest(timeoutMs), { timeoutMs });
                const leaderReply = reply.orDefault({ kind: "not-leader" });
                if (leaderReply.kind === "done") {
                    return Right(leaderReply.value);
                }
                this.presumedLeader = leaderReply.leader === this.options.self ? undefined : leaderReply.leader;
                message = reply.caseOf({
                    Left: error => `${host}: ${error.message}`,
                    Right: () => `${host} does not lead`,
                });
                mayBeAccepted ||= reply.caseOf({ Left: error => error.kind === "no-reply", Right: () => false });
                if (mayBeAccepted && !options.repeatable) {
                    break;
                }
            }
            if (attempts % Math.max(2, this.options.hosts().length) === 0) {
                await clock.sleep(Math.min(pauseMs, Math.max(0, deadlineMs - clock.nowMs())));
            }
        }
        return Left({ kind: mayBeAccepted ? "no-reply" : "not-taken", message });
    }

    private isLeading(): boolean {
        return this.options.leadsSelf?.() ?? false;
    }

    private nextHost(): HostId | undefined {
        const hosts = this.options.hosts().filter(host => host !== this.options.self);
        if (this.presumedLeader !== undefined) {
            return this.presumedLeader;
        }
        this.hostNumber += 1;
        return hosts[this.hostNumber % Math.max(1, hosts.length)];
    }
}
