/** What the connections of a crowd send to a server, and how an operator finds the server afterwards. */
import type * as net from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { sendRequest } from "./FleetSite.js";

/** An operator sends an order again until it is acknowledged, at most this often. */
const maxTries = 40;
const retryPauseMs = 250;
/** Time limit for one call; large configurations take longer than the usual second. */
const callTimeoutMs = 8000;

/** What one connection sends: the head of a request, and then the same part over and over. */
export interface Flood {
    readonly head: string;
    /** Empty for none. */
    readonly part?: string;
    /** How often the part is sent. */
    readonly count?: number;
    /** True when nothing that the server sends is read. */
    readonly isUnread?: boolean;
}

/** Sends as fast as the server reads, and then stays open. */
export function pour(socket: net.Socket, { head, part = "", count = 0, isUnread = false }: Flood): void {
    const bytes = Buffer.from(part, "latin1");
    let left = part === "" ? 0 : count;
    const send = () => {
        while (left > 0 && socket.writable) {
            left -= 1;
            if (!socket.write(bytes)) {
                return;
            }
        }
    };
    if (isUnread) {
        socket.pause();
    }
    socket.on("drain", send);
    socket.write(head, "latin1");
    send();
}

/** Head of a request, with its last empty line. */
export function headOf(requestLine: string, ...headers: readonly string[]): string {
    return [`${requestLine} HTTP/1.1`, "Host: h.example", ...headers, "", ""].join("\r\n");
}

/** Chunks of a chunked body with `size` bytes each. */
export function chunksOf(size: number, count: number): string {
    return `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`.repeat(count);
}

/** Masked frame of a WebSocket's message; the message goes on unless it is the last one. */
export function frameOf(opcode: number, isLast: boolean, size: number): string {
    const length = Buffer.alloc(8);
    length.writeBigUInt64BE(BigInt(size));
    const first = String.fromCharCode(opcode | (isLast ? 0x80 : 0), 0xff);
    return `${first}${length.toString("latin1")}\0\0\0\0`;
}

interface Address {
    readonly host: string;
    readonly port: number;
}

interface Config {
    readonly Version: number;
}

/** Reads the configuration at a control host; undefined if there is no clear answer. */
async function readConfig(address: Address): Promise<Config | undefined> {
    const options = { ...address, path: "/api/Config.Get", method: "GET", timeout: callTimeoutMs };
    const { code, text } = await sendRequest(options, "");
    return code === 200 ? JSON.parse(text) as Config : undefined;
}

/** Calls until there is an answer; undefined if there is none after many tries. */
async function retry<T>(call: () => Promise<T | undefined>): Promise<T | undefined> {
    for (let tries = 0; tries < maxTries; tries++) {
        const answer = await call();
        if (answer !== undefined) {
            return answer;
        }
        await pause(retryPauseMs);
    }
    return undefined;
}

/**
 * Puts configurations whose versions follow one after the other, all at the same time, and then reads the latest back;
 * returns what went wrong. Each has at least `bytes` bytes.
 */
export async function putConfigs(address: Address, count: number, bytes: number = 0): Promise<string | undefined> {
    const before = await retry(() => readConfig(address));
    if (before === undefined) {
        return "the configuration is not read";
    }
    const versions = Array.from({ length: count }, (_, at) => before.Version + 1 + at);
    const put = async (version: number) => {
        const body = JSON.stringify({ ...before, Version: version }).padEnd(bytes);
        const options = { ...address, path: "/api/Config.Put", method: "POST", timeout: callTimeoutMs };
        const statuses: number[] = [];
        const acknowledged = await retry(async () => {
            statuses.push((await sendRequest(options, body)).code);
            return statuses.at(-1) === 200 ? true : undefined;
        });
        const refused = statuses.find(status => status >= 400 && status < 500);
        return acknowledged === undefined || refused !== undefined ? `version ${version}: ${statuses.join(" ")}` : "";
    };
    const faults = (await Promise.all(versions.map(put))).filter(fault => fault !== "");
    if (faults.length > 0) {
        return faults.join(", ");
    }
    const after = await retry(() => readConfig(address));
    return after?.Version === versions.at(-1) ? undefined : `read back ${after?.Version}, put ${versions.at(-1)}`;
}
