/**
 * A TCP relay between two processes that can delay, cut and fall silent, for one connection or for all. Silent
 * connections stay open and carry nothing more, in the named direction or both; new ones work unless all are silent.
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
    private delayMs = 0;
    private cut = false;
    private silentForAll: RelayDirection | undefined;

    public constructor(private readonly target: string, private readonly clock: Clock = new SystemClock()) {}

    /** Listens on an address; port 0 takes a free one. Gives the address. */
    public start(address: string): Promise<string> {
        const server = createServer({ allowHalfOpen: false }, client => this.accept(client));
        this.server = server;
        const { host, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => {
                const bound = server.address();
                resolve(`${host}:${typeof bound === "object" && bound !== null ? bound.port : port}`);
            });
        });
    }

    public async stop(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        this.drop();
        await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    }

    public get open(): number {
        return this.connections.size;
    }

    /** Delay of each piece of data, one way, in milliseconds. */
    public setDelay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    /** While cut, open connections are dropped and new ones are dropped at once. */
    public setCut(cut: boolean): void {
        this.cut = cut;
        if (cut) {
            this.drop();
        }
    }

    /** The connections that are open now fall silent for good; new ones work. */
    public silenceOpen(direction: RelayDirection = "both"): void {
        for (const connection of this.connections) {
            connection.silent = direction;
        }
    }

    /** All connections, new ones too, carry nothing until this is called with undefined. What was sent is lost. */
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
        this.pump(connection, client, target, "to-target");
        this.pump(connection, target, client, "to-client");
    }

    private pump(connection: Connection, from: Socket, to: Socket, direction: RelayDirection): void {
        const isSilent = () => connection.silent === "both" || connection.silent === direction;
        const later = (action: () => void) => {
            if (this.delayMs > 0) {
                this.clock.setTimer(this.delayMs, action);
            }
            else {
                action();
            }
        };
        from.on("data", data =>
            later(() => {
                if (!isSilent() && !to.destroyed) {
                    to.write(data);
                }
            }));
        from.on("error", () => from.destroy());
        from.on("close", () => {
            // The far end of a silent connection learns nothing of this one's end.
            if (isSilent()) {
                return;
            }
            later(() => to.destroy());
            this.connections.delete(connection);
        });
    }
}
