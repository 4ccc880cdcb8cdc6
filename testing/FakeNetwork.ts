/**
 * An in-memory {@link PeerTransport} between hosts of one process, with faults: delay, loss of requests or replies,
 * duplicate requests, cuts in one or both directions, and killed hosts. All choices come from one seeded generator.
 */
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, HostId } from "../src/common/Types.js";
import type {
    PeerCallOptions,
    PeerError,
    PeerHandler,
    PeerMethod,
    PeerRegistry,
    PeerTransport,
} from "../src/peer/Types.js";

export interface NetworkFaults {
    /** One-way delay, uniform in [minDelayMs, maxDelayMs]. */
    minDelayMs: number;
    maxDelayMs: number;
    /** Probabilities, in [0, 1]. */
    loseRequest: number;
    loseReply: number;
    doubleRequest: number;
}

interface Node {
    readonly handlers: Map<string, PeerHandler<unknown, unknown>>;
    up: boolean;
}

export class FakeNetwork {
    public readonly faults: NetworkFaults = {
        minDelayMs: 0,
        maxDelayMs: 0,
        loseRequest: 0,
        loseReply: 0,
        doubleRequest: 0,
    };
    private readonly nodes = new Map<HostId, Node>();
    private readonly cuts = new Set<string>();
    private readonly random: SeededRandom;
    /** Number of delivered calls by method, as a measure of message cost. */
    public readonly delivered = new Map<string, number>();
    /** Characters in the requests and replies of those calls, by method. */
    public readonly chars = new Map<string, number>();

    public constructor(private readonly clock: Clock, seed: number = 1) {
        this.random = new SeededRandom(seed);
    }

    /** Starts a host; the handlers of its previous process are dropped. */
    public addHost(host: HostId): PeerRegistry & PeerTransport {
        const node: Node = { handlers: new Map(), up: true };
        this.nodes.set(host, node);
        return {
            handle: (method, handler) => {
                node.handlers.set(method.name, handler as PeerHandler<unknown, unknown>);
            },
            call: (to, method, req, options) => this.call(host, node, to, method, req, options),
        };
    }

    /** Ends a host's process: connections to it are refused, and what it still sends is dropped. */
    public kill(host: HostId): void {
        const node = this.nodes.get(host);
        if (node !== undefined) {
            node.up = false;
        }
    }

    /** Silently drops what `from` sends to `to`; the opposite direction is not affected. */
    public cutOneWay(from: HostId, to: HostId): void {
        this.cuts.add(`${from}>${to}`);
    }

    public cut(a: HostId, b: HostId): void {
        this.cutOneWay(a, b);
        this.cutOneWay(b, a);
    }

    /** Cuts a host off from every host that is known now. */
    public isolate(host: HostId): void {
        for (const other of this.nodes.keys()) {
            if (other !== host) {
                this.cut(host, other);
            }
        }
    }

    public heal(): void {
        this.cuts.clear();
    }

    private async call<Req, Res>(
        from: HostId,
        sender: Node,
        to: HostId,
        method: PeerMethod<Req, Res>,
        req: Req,
        options: PeerCallOptions,
    ): Promise<Either<PeerError, Res>> {
        return new Promise(resolve => {
            const finish = (result: Either<PeerError, Res>) => {
                timer.dispose();
                options.signal?.removeEventListener("abort", aborted);
                resolve(result);
            };
            const aborted = () => finish(Left({ kind: "no-reply", message: "aborted" }));
            const timer = this.clock.setTimer(
                options.timeoutMs,
                () => finish(Left({ kind: "no-reply", message: `no reply within ${options.timeoutMs} ms` })),
            );
            options.signal?.addEventListener("abort", aborted);
            if (!sender.up) {
                return;
            }
            if (this.nodes.get(to)?.up !== true && !this.cuts.has(`${from}>${to}`)) {
                finish(Left({ kind: "unreachable", message: "connection refused", refused: true }));
                return;
            }
            void this.deliver(from, sender, to, method, req, finish);
            if (this.random.next() < this.faults.doubleRequest) {
                void this.deliver(from, sender, to, method, req, () => undefined);
            }
        });
    }

    private async deliver<Req, Res>(
        from: HostId,
        sender: Node,
        to: HostId,
        method: PeerMethod<Req, Res>,
        req: Req,
        finish: (result: Either<PeerError, Res>) => void,
    ): Promise<void> {
        if (this.random.next() < this.faults.loseRequest) {
            return;
        }
        const text = JSON.stringify(req ?? null);
        const copy = JSON.parse(text) as unknown;
        await this.delay();
        const node = this.nodes.get(to);
        if (node?.up !== true || this.cuts.has(`${from}>${to}`)) {
            return;
        }
        const handler = node.handlers.get(method.name);
        const input = method.input.safeParse(copy);
        if (handler === undefined || !input.success) {
            finish(Left({ kind: "rejected", message: `${method.name}: unknown method or bad input` }));
            return;
        }
        this.delivered.set(method.name, (this.delivered.get(method.name) ?? 0) + 1);
        const result = await handler(input.data, from);
        const replyText = result === undefined ? undefined : JSON.stringify(result);
        const reply = replyText === undefined ? undefined : JSON.parse(replyText) as unknown;
        const chars = (this.chars.get(method.name) ?? 0) + text.length + (replyText?.length ?? 0);
        this.chars.set(method.name, chars);
        if (this.random.next() < this.faults.loseReply) {
            return;
        }
        await this.delay();
        if (node.up && sender.up && !this.cuts.has(`${to}>${from}`)) {
            finish(Right(reply as Res));
        }
    }

    private async delay(): Promise<void> {
        const { minDelayMs, maxDelayMs } = this.faults;
        const delayMs = minDelayMs + this.random.next() * (maxDelayMs - minDelayMs);
        if (delayMs > 0) {
            await this.clock.sleep(delayMs);
        }
    }
}
