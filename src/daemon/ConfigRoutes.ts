/** Operators' routes that change the configuration. */
import { z } from "zod";
import { parseChangeId, parseDataCentreId, parseEndpointId } from "../common/Ids.js";
import type { ConfigChangeError, ConfigChangeResult, ConfigWriter } from "../config/Types.js";
import type { OperatorReply, OperatorRoute } from "../entry/Types.js";

const changeTimeoutMs = 10_000;

const id = z.string().transform((text, ctx) => branded(parseChangeId, text, ctx));

const changeSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("put-document"),
        id,
        document: z.string(),
        baseVersion: z.number().int().min(0),
        text: z.string(),
    }),
    z.strictObject({
        kind: z.literal("set-data-centre"),
        id,
        dataCentre: z.string().transform((text, ctx) => branded(parseDataCentreId, text, ctx)),
        out: z.boolean(),
    }),
    z.strictObject({
        kind: z.literal("set-endpoint"),
        id,
        endpoint: z.string().transform((text, ctx) => branded(parseEndpointId, text, ctx)),
        leaving: z.boolean(),
    }),
]);

function branded<T>(
    parse: (text: string) => { toMaybe(): { extract(): T | undefined; }; },
    text: string,
    ctx: z.core.$RefinementCtx,
): T {
    const parsed = parse(text).toMaybe().extract();
    if (parsed === undefined) {
        ctx.addIssue({ code: "custom", message: "is no valid id" });
        return z.NEVER;
    }
    return parsed;
}

/** `POST /v1/operator/config/change`. */
export function changeRoute(writer: ConfigWriter): OperatorRoute {
    return {
        method: "POST",
        path: "/v1/operator/config/change",
        handle: async req => {
            const parsed = changeSchema.safeParse(req.body);
            if (!parsed.success) {
                return { status: 400, body: { error: z.prettifyError(parsed.error) } };
            }
            const changed = await writer.change(parsed.data, changeTimeoutMs);
            return changed.caseOf({ Left: errorReply, Right: resultReply });
        },
    };
}

function resultReply(result: ConfigChangeResult): OperatorReply {
    switch (result.kind) {
        case "accepted":
            return { status: 200, body: result };
        case "conflict":
            return { status: 409, body: result };
        case "invalid":
            return { status: 422, body: result };
    }
}

function errorReply(err: ConfigChangeError): OperatorReply {
    if (err.kind === "unknown") {
        const hint = "it may have been accepted; send it again with the same id to find out";
        return { status: 504, body: { ...err, hint } };
    }
    return { status: 503, body: { ...err, hint: "no quorum took the change; nothing was changed" } };
}
