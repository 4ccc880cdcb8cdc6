/**
 * Serves the mutations of a tRPC router over node:http: the body is the input, the reply has tRPC's format. The
 * library's own adapter creates a web request, a web response and their streams for each call, which costs several
 * times as much as the call itself.
 */
import type { AnyTRPCRouter } from "@trpc/server";
import { getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { LargeBodies } from "../common/LargeBodies.js";
import { type BodyError, readBytes } from "../common/RequestBody.js";
import { writeJson } from "../common/WriteJson.js";
import { callProcedure, procedureError } from "./ProcedureCalls.js";

export interface TrpcHttpOptions {
    readonly router: AnyTRPCRouter;
    /** Path prefix before the method's name. */
    readonly basePath: string;
    readonly maxBodyBytes: number;
    /** Counts the bodies until they have been read. */
    readonly bodies: LargeBodies;
    readonly createContext: (req: http.IncomingMessage) => unknown;
    readonly onError: (error: TRPCError) => void;
}

const errorCodes = {
    "too-large": "PAYLOAD_TOO_LARGE",
    "not-json": "PARSE_ERROR",
    "incomplete": "CLIENT_CLOSED_REQUEST",
    "no-room": "SERVICE_UNAVAILABLE",
} as const satisfies Record<BodyError["kind"], TRPCError["code"]>;

/** Creates a listener that serves the router; errors are answered in tRPC's format and passed to `onError`. */
export function trpcHttpHandler(options: TrpcHttpOptions): http.RequestListener {
    return (req, res) => {
        serve(options, req, res).catch((err: unknown) => options.onError(getTRPCErrorFromUnknown(err)));
    };
}

async function serve(options: TrpcHttpOptions, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { router, basePath, createContext, onError } = options;
    const path = (req.url ?? "").slice(basePath.length);
    const input = await readInput(options, req);
    const ended = input.isLeft()
        ? Left(procedureError(router, path, input.extract()))
        : await callProcedure(router, path, input.extract(), createContext(req));
    ended.caseOf({
        Left: ({ error, shape }) => {
            onError(error);
            writeJson(res, getHTTPStatusCodeFromError(error), {}, { error: shape });
        },
        Right: data => writeJson(res, 200, {}, { result: { data } }),
    });
}

async function readInput(
    { maxBodyBytes, bodies }: TrpcHttpOptions,
    req: http.IncomingMessage,
): Promise<Either<TRPCError, unknown>> {
    const body = await readBytes(req, maxBodyBytes, { bodies });
    return body
        .mapLeft(({ kind }) => new TRPCError({ code: errorCodes[kind] }))
        .chain(bytes => parse(bytes.toString("utf8")));
}

function parse(text: string): Either<TRPCError, unknown> {
    try {
        return Right(text === "" ? undefined : JSON.parse(text));
    }
    catch (cause) {
        return Left(new TRPCError({ code: "PARSE_ERROR", cause }));
    }
}
