/** The links of one host to endpoints, which can be cut in the ways in which a network partition shows. */
import { TcpRelay } from "../standin/TcpRelay.js";
import { listenWithoutAccepting, type SilentListener } from "./SilentListener.js";

/**
 * "refused": new connections are refused, open ones go on. "reset": open ones are reset as well. "silent": new
 * connections get no answer, and nothing passes on open ones.
 */
export type CutForm = "refused" | "reset" | "silent";

/** Number of instances in this process. */
let started = 0;

/**
 * A loopback address of its own for each instance. The port of a cut link is free, and a server that listened at the same
 * address afterwards could get it: requests of the cut-off host would reach that server, such as another gateway.
 */
function newLoopbackAddress(): string {
    started += 1;
    return `127.${64 + ((process.pid >> 8) & 63)}.${process.pid & 255}.${1 + started % 250}`;
}

export class EndpointLinks {
    /** Addresses to use instead of the endpoints' own, in their order. */
    public readonly addresses: string[] = [];
    private readonly relays: TcpRelay[] = [];
    private listeners: SilentListener[] = [];

    public async start(targets: readonly string[]): Promise<void> {
        const host = newLoopbackAddress();
        for (const target of targets) {
            const relay = new TcpRelay(target);
            this.relays.push(relay);
            this.addresses.push(await relay.start(`${host}:0`));
        }
    }

    /** Cuts the links to the endpoints with the given indexes, or to all. */
    public async cut(form: CutForm, indexes: readonly number[] = [...this.relays.keys()]): Promise<void> {
        for (const at of indexes) {
            this.relays[at]?.refuseNew();
        }
        for (const at of indexes) {
            if (form === "silent") {
                this.relays[at]?.silenceOpen();
                this.listeners.push(await listenWithoutAccepting(this.addresses[at] ?? ""));
            }
            if (form === "reset") {
                this.relays[at]?.drop();
            }
        }
    }

    /** Number of open connections through the links. */
    public get open(): number {
        return this.relays.reduce((sum, relay) => sum + relay.open, 0);
    }

    public async heal(): Promise<void> {
        await Promise.all(this.listeners.map(one => one.stop()));
        this.listeners = [];
        await Promise.all(this.relays.map(relay => relay.acceptNew()));
    }

    public async stop(): Promise<void> {
        await Promise.all(this.listeners.map(one => one.stop()));
        await Promise.all(this.relays.map(relay => relay.stop()));
    }
}
