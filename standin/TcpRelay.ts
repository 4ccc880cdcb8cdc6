/**
 * A TCP relay between two processes that can delay data, drop connections and make them silent. A silent connection
 * stays open but carries no data, in one direction or both; new connections work unless all are silenced.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { SystemClock } from "../src/common/SystemClock.js";
import type { Clock } from "../src/common/Types.js";
import { splitAddress } from "./StandInHttpServer.js";

export type RelayDirection = "to-target" | "to-client" | "both";

interface Connection {
    readonly client: Socket;
    readonly target: Socket;
    silent: RelayDirection | undefined;
}

export class TcpRelay {
    private readonly connections = new Set<Connection>();
    private server: Server | undefined;
    /** Address that it listens on, as resolved by {@link start}. */
    private address = "";
    private delayMs = 0;
    private cut = false;
    /** Direction in which new connections are silent; undefined if they are not. */
    private silentForAll: RelayDirection | undefined;

    public constructor(private readonly target: string, private readonly clock: Clock = new SystemClock()) {}

    /** Listens on an address and resolves to it; port 0 selects a free port. */
    public start(address: string): Promise<string> {
        const server = createServer({ allowHalfOpen: false }, client => this.accept(client));
        this.server = server;
        const { host, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => {
                const bound = server.address();
                this.address = `${host}:${typeof bound === "object" && bound !== null ? bound.port : port}`;
                resolve(this.address);
            });
        });
    }

    /** Refuses new connections; open ones go on. */
    public refuseNew(): void {
        this.server?.close();
        this.server = undefined;
    }

    /** Takes connections again, at the same address as before. */
    public async acceptNew(): Promise<void> {
        if (this.server === undefined) {
            await this.start(this.address);
        }
    }

    public async stop(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        this.drop();
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    /** Number of open connections. */
    public get open(): number {
        return this.connections.size;
    }

    /** Sets the one-way delay of each chunk of data, in milliseconds. */
    public setDelay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    /** Switches the cut on or off. While it is on, open connections and new ones are dropped at once. */
    public setCut(cut: boolean): void {
        this.cut = cut;
        if (cut) {
            this.drop();
        }
    }

    /** Makes the open connections silent for good; new ones work. */
    public silenceOpen(direction: RelayDirection = "both"): void {
        for (const connection of this.connections) {
            connection.silent = direction;
        }
    }

    /**
     * Makes all open and new connections silent; data sent on them is lost. With undefined, new connections work again,
     * while those silenced before stay silent.
     */
    public silenceAll(direction: RelayDirection | undefined): void {
        this.silentForAll = direction;
        if (direction === undefined) {
            return;
        }
        this.silenceOpen(direction);
    }

    /** Drops every connection. */
    public drop(): void {
        for (const { client, target } of this.connections) {
            client.destroy();
            target.destroy();
        }
    }

    private accept(client: Socket): void {
        if (this.cut) {
            client.destroy();
            return;
        }
        const target = connect(splitAddress(this.target));
        const connection: Connection = { client, target, silent: this.silentForAll };
        this.connections.add(connection);
        client.setNoDelay(true);
        target.setNoDelay(true);
        this.forward(connection, client, target, "to-target");
        this.forward(connection, target, client, "to-client");
    }

    private forward(connection: Connection, from: Socket, to: Socket, direction: RelayDirection): void {
        const isSilent = () => connection.silent === "both" || connection.silent === direction;
        const afterDelay = (action: () => void) => {
            if (this.delayMs > 0) {
                this.clock.setTimer(this.delayMs, action);
            }
            else {
                action();
            }
        };
        from.on("data", data =>
            afterDelay(() => {
                if (!isSilent() && !to.destroyed) {
                    to.write(data);
                }
            }));
        from.on("error", () => from.destroy());
        from.on("close", () => {
            // A close is not relayed in a silent direction either.
            if (isSilent()) {
                return;
            }
            afterDelay(() => to.destroy());
            this.connections.delete(connection);
        });
    }
}
