/** tRPC's terminating link for calls over a peer's WebSocket. */
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import type { HttpFetchError } from "./HttpFetch.js";
import type { PeerSocketClient } from "./PeerSocketClient.js";

export function socketLink(socket: PeerSocketClient): TRPCLink<AnyTRPCRouter> {
    return () => ({ op }) =>
        observable(observer => {
            socket.call(op.path, op.input, op.signal)
                .then(({ data, error }) => {
                    if (error !== undefined) {
                        observer.error(TRPCClientError.from({ error }));
                        return;
                    }
                    // Completing the observable as well would create an exception with a stack trace for each call.
                    observer.next({ result: { type: "data", data } });
                })
                .catch((err: HttpFetchError) => observer.error(TRPCClientError.from(err)));
        });
}
