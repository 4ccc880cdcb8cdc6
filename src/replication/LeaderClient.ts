/**
 * Carries a request to the leader of a group from any host: asks the host that it takes for the leader, follows the
 * hints of those that are not, and goes on to the next when one can't be reached.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId } from "../common/Types.js";
import type { PeerMethod, PeerTransport } from "../peer/Types.js";
import type { LeaderReply } from "./Messages.js";

export type LeaderCallError =
    /** No host has taken the request. */
    | { readonly kind: "not-taken"; readonly message: string; }
    /** A host may have taken the request; its answer was lost. */
    | { readonly kind: "no-reply"; readonly message: string; };

export interface LeaderCallOptions {
    readonly timeoutMs: number;
    /** Whether the request may be sent again after its answer was lost. */
    readonly repeatable: boolean;
    /** Bound on one try of a repeatable request. */
    readonly tryTimeoutMs: number;
}

export interface LeaderClientOptions {
    readonly self: HostId;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    /** Hosts that may lead. */
    readonly hosts: () => readonly HostId[];
    /** Pause after as many tries as there are hosts. */
    readonly pauseMs: number;
    /** True once this host leads itself, so that asking others has no use. */
    readonly leadsSelf?: () => boolean;
}

export class LeaderClient {
    private leader: HostId | undefined;
    private turn = 0;

    public constructor(private readonly options: LeaderClientOptions) {}

    /** Names the host to ask first. */
    public hint(leader: HostId | undefined): void {
        if (leader !== undefined && leader !== this.options.self) {
            this.leader = leader;
        }
    }

    public async call<Req, Res>(
        method: PeerMethod<Req, LeaderReply<Res>>,
        makeRequest: (remainingMs: number) => Req,
        options: LeaderCallOptions,
    ): Promise<Either<LeaderCallError, Res>> {
        const { clock, transport, pauseMs } = this.options;
        const deadlineMs = clock.nowMs() + options.timeoutMs;
        let mayBeTaken = false;
        let message = "no host of the group is known";
        for (let tries = 1; clock.nowMs() < deadlineMs && !this.leadsSelf(); tries++) {
            const to = this.nextHost();
            const remainingMs = deadlineMs - clock.nowMs();
            if (to !== undefined) {
                const timeoutMs = options.repeatable ? Math.min(remainingMs, options.tryTimeoutMs) : remainingMs;
                const reply = await transport.call(to, method, makeRequest(timeoutMs), { timeoutMs });
                const answer = reply.orDefault({ kind: "not-leader" });
                if (answer.kind === "done") {
                    return Right(answer.value);
                }
                this.leader = answer.leader === this.options.self ? undefined : answer.leader;
                message = reply.caseOf({
                    Left: error => `${to}: ${error.message}`,
                    Right: () => `${to} does not lead`,
                });
                mayBeTaken ||= reply.caseOf({ Left: error => error.kind === "no-reply", Right: () => false });
                if (mayBeTaken && !options.repeatable) {
                    break;
                }
            }
            if (tries % Math.max(2, this.options.hosts().length) === 0) {
                await clock.sleep(Math.min(pauseMs, Math.max(0, deadlineMs - clock.nowMs())));
            }
        }
        return Left({ kind: mayBeTaken ? "no-reply" : "not-taken", message });
    }

    private leadsSelf(): boolean {
        return this.options.leadsSelf?.() ?? false;
    }

    private nextHost(): HostId | undefined {
        const hosts = this.options.hosts().filter(host => host !== this.options.self);
        if (this.leader !== undefined) {
            return this.leader;
        }
        this.turn += 1;
        return hosts[this.turn % Math.max(1, hosts.length)];
    }
}
