/** Runs the mutations of a tRPC router, whatever brought the call, and gives their outcome in tRPC's format. */
import type { AnyTRPCRouter } from "@trpc/server";
import { callTRPCProcedure, getTRPCErrorFromUnknown, getTRPCErrorShape, type TRPCError } from "@trpc/server";
import { type Either, Left, Right } from "purify-ts";

const procedureType = "mutation";

/** The error of a call, and its form in a reply. */
export interface ProcedureError {
    readonly error: TRPCError;
    readonly shape: unknown;
}

export async function callProcedure(
    router: AnyTRPCRouter,
    path: string,
    input: unknown,
    ctx: unknown,
): Promise<Either<ProcedureError, unknown>> {
    try {
        const data: unknown = await callTRPCProcedure({
            router,
            path,
            type: procedureType,
            ctx,
            getRawInput: async () => input,
            signal: undefined,
            batchIndex: 0,
        });
        return Right(data);
    }
    catch (err) {
        return Left(procedureError(router, path, err));
    }
}

/** The error of a call that did not get as far as its procedure, or that failed there. */
export function procedureError(router: AnyTRPCRouter, path: string, err: unknown): ProcedureError {
    const error = getTRPCErrorFromUnknown(err);
    const { _config: config } = router._def;
    const shape: unknown = getTRPCErrorShape({
        config,
        error,
        type: procedureType,
        path,
        input: undefined,
        ctx: undefined,
    });
    return { error, shape };
}
