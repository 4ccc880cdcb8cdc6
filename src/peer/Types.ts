/**
 * Types for calls between fireflykeel's own processes. A method is a typed token with a schema for its input. Modules
 * register handlers with a {@link PeerRegistry} and call other hosts through a {@link PeerTransport}. Payloads are JSON
 * values. The production transport is tRPC over node:http and WebSockets; tests use testing/FakeNetwork.
 */
import type { Either } from "purify-ts";
import type { z } from "zod";
import type { HostId } from "../common/Types.js";

/** A method that a host offers to its peers. `name` has the form "module.verb". */
export interface PeerMethod<Req, Res> {
    readonly name: string;
    readonly input: z.ZodType<Req>;
    /**
     * True for a method with many small calls, which go over a WebSocket that stays open. Its calls to one host may
     * overtake each other, as those of other methods.
     */
    readonly isFrequent: boolean;
    /** Never set; only carries the type of the result. */
    readonly result?: Res;
}

export type PeerError =
    /** No connection could be made; the request was not delivered. */
    | {
        readonly kind: "unreachable";
        readonly message: string;
        /** True when the peer's machine refused the connection, which means that no process listens there. */
        readonly refused?: boolean;
    }
    /** The connection broke or timed out; the request may have been carried out. */
    | { readonly kind: "no-reply"; readonly message: string; }
    /** The peer refused the request: unknown method, bad input, bad key. */
    | { readonly kind: "rejected"; readonly message: string; };

export interface PeerCallOptions {
    readonly timeoutMs: number;
    readonly signal?: AbortSignal;
}

export interface PeerTransport {
    /** Calls a method of another host; failures are returned, not thrown. */
    call<Req, Res>(
        to: HostId,
        method: PeerMethod<Req, Res>,
        req: Req,
        options: PeerCallOptions,
    ): Promise<Either<PeerError, Res>>;
}

export type PeerHandler<Req, Res> = (req: Req, from: HostId) => Promise<Res>;

export interface PeerRegistry {
    /** Registers a handler. All handlers are registered before the server starts. */
    handle<Req, Res>(method: PeerMethod<Req, Res>, handler: PeerHandler<Req, Res>): void;
}

/** Creates the token of a method, by which hosts register and call it. */
export function definePeerMethod<Req, Res>(name: string, input: z.ZodType<Req>): PeerMethod<Req, Res> {
    return { name, input, isFrequent: false };
}

/** The same for a method with many small calls; see {@link PeerMethod.isFrequent}. */
export function defineFrequentPeerMethod<Req, Res>(name: string, input: z.ZodType<Req>): PeerMethod<Req, Res> {
    return { name, input, isFrequent: true };
}
