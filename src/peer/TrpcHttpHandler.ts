/**
 * Serves the mutations of a tRPC router over node:http: the body is the input, the reply has tRPC's format. The
 * library's own adapter creates a web request, a web response and their streams for each call, which costs several
 * times as much as the call itself.
 */
import type { AnyTRPCRouter } from "@trpc/server";
import { callTRPCProcedure, getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import type * as http from "node:http";
import { readBytes } from "../common/RequestBody.js";
import { writeJson } from "../common/WriteJson.js";

export interface TrpcHttpOptions {
    readonly router: AnyTRPCRouter;
    /** Path prefix before the method's name. */
    readonly basePath: string;
    readonly maxBodyBytes: number;
    readonly createContext: (req: http.IncomingMessage) => unknown;
    readonly onError: (error: TRPCError) => void;
}

const procedureType = "mutation";

/** Creates a listener that serves the router; errors are answered in tRPC's format and passed to `onError`. */
export function trpcHttpHandler(options: TrpcHttpOptions): http.RequestListener {
    return (req, res) => {
        serve(options, req, res).catch((err: unknown) => options.onError(getTRPCErrorFromUnknown(err)));
    };
}

async function serve(options: TrpcHttpOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { router, basePath, createContext, onError } = options;
    const path = (req.url ?? "").slice(basePath.length);
    try {
        const text = await readText(req, options.maxBodyBytes);
        const input = text === "" ? undefined : parse(text);
        const data: unknown = await callTRPCProcedure({
            router,
            path,
            type: procedureType,
            ctx: createContext(req),
            getRawInput: async () => input,
            signal: undefined,
            batchIndex: 0,
        });
        writeJson(res, 200, {}, { result: { data } });
    }
    catch (err) {
        const error = getTRPCErrorFromUnknown(err);
        onError(error);
        const { _config: config } = router._def;
        const shape: unknown = getTRPCErrorShape({
            config,
            error,
            type: procedureType,
            path,
            input: undefined,
            ctx: undefined,
        });
        writeJson(res, getHTTPStatusCodeFromError(error), {}, { error: shape });
    }
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (cause) {
        throw new TRPCError({ code: "PARSE_ERROR", cause });
    }
}

async function readText(req: http.IncomingMessage, maxBytes: number): Promise<string> {
    const body = await readBytes(req, maxBytes);
    return body.caseOf({
        Left: error => {
            throw new TRPCError({ code: error.kind === "too-large" ? "PAYLOAD_TOO_LARGE" : "CLIENT_CLOSED_REQUEST" });
        },
        Right: bytes => bytes.toString("utf8"),
    });
}
