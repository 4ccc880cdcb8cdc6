/** An address at which connections are neither accepted nor refused, as behind a network partition. */
import * as net from "node:net";
import { Worker } from "node:worker_threads";
import { splitAddress } from "../standin/StandInHttpServer.js";

/** More connections than the queue of the listener holds. */
const fillers = 8;
/** Time in which the connections that fill the queue are made. */
const fillMs = 50;

export interface SilentListener {
    /** "ip:port". */
    readonly address: string;
    stop(): Promise<void>;
}

/** Listens with a full queue, so that the kernel answers no further connection; port 0 selects a free port. */
export async function listenWithoutAccepting(address: string): Promise<SilentListener> {
    const { host, port } = splitAddress(address);
    const worker = new Worker(
        `const { parentPort, workerData } = require("node:worker_threads");
        const server = require("node:net").createServer();
        server.listen({ ...workerData, backlog: 1 }, () => {
            parentPort.postMessage(server.address().port);
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
        });`,
        { eval: true, workerData: { host, port } },
    );
    const boundPort = await new Promise<number>((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
    });
    const sockets = Array.from({ length: fillers }, () => net.connect(boundPort, host));
    sockets.forEach(socket => socket.on("error", () => undefined));
    await new Promise(resolve => setTimeout(resolve, fillMs));
    return {
        address: `${host}:${boundPort}`,
        stop: async () => {
            sockets.forEach(socket => socket.destroy());
            await worker.terminate();
        },
    };
}
