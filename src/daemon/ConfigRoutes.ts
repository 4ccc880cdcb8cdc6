/** Operators' routes for the configuration and for the members of the replicated groups. */
import * as z from "zod";
import { parseChangeId, parseDataCentreId, parseEndpointId, parseHostId } from "../common/Ids.js";
import type { ConfigOperations } from "../config/ConfigOperations.js";
import type { OperatorReply, OperatorRequest, OperatorRoute } from "../entry/Types.js";

/** Maximum wait until a change sent with `wait` is in force on all live hosts. */
const inForceWaitMs = 10_000;

const id = z.string().transform((text, ctx) => branded(parseChangeId, text, ctx));

const host = z.string().transform((text, ctx) => branded(parseHostId, text, ctx));

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
        /** True takes the data centre out of service; false returns it. */
        out: z.boolean(),
    }),
    z.strictObject({
        kind: z.literal("set-endpoint"),
        id,
        endpoint: z.string().transform((text, ctx) => branded(parseEndpointId, text, ctx)),
        /** True marks the endpoint as leaving; false withdraws the mark. */
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
        ctx.addIssue({ code: "custom", message: "is not a valid id" });
        return z.NEVER;
    }
    return parsed;
}

const memberSchema = z.strictObject({
    group: z.string().default("all"),
    change: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("add"), host }),
        z.strictObject({ kind: z.literal("remove"), host }),
        z.strictObject({ kind: z.literal("replace"), host, by: host }),
    ]),
});

/** The routes behind `config apply|show|log|status`, `dc out|in` and `control status|add|remove|replace`. */
export function configRoutes(operations: ConfigOperations): readonly OperatorRoute[] {
    return [
        { method: "POST", path: "/v1/operator/config/change", handle: req => change(operations, req) },
        {
            method: "GET",
            path: "/v1/operator/config/show",
            handle: async req => replyOf(await operations.show(req.query.get("site") ?? undefined)),
        },
        {
            method: "GET",
            path: "/v1/operator/config/log",
            handle: async () => replyOf(await operations.log()),
        },
        {
            method: "GET",
            path: "/v1/operator/config/status",
            handle: async () => ({ status: 200, body: await operations.status() }),
        },
        {
            method: "GET",
            path: "/v1/operator/control/status",
            handle: async () => ({ status: 200, body: await operations.controlStatus() }),
        },
        { method: "POST", path: "/v1/operator/control/change", handle: req => changeMembers(operations, req) },
    ];
}

async function change(operations: ConfigOperations, req: OperatorRequest): Promise<OperatorReply> {
    const parsed = changeSchema.safeParse(req.body);
    if (!parsed.success) {
        return { status: 400, body: { error: z.prettifyError(parsed.error) } };
    }
    const waitMs = req.query.get("wait") === "true" ? inForceWaitMs : 0;
    const report = await operations.change(parsed.data, waitMs);
    if (report.outcome === "accepted" && report.inForce?.everywhere === false) {
        return { status: 202, body: report };
    }
    return replyOf(report);
}

async function changeMembers(operations: ConfigOperations, req: OperatorRequest): Promise<OperatorReply> {
    const parsed = memberSchema.safeParse(req.body);
    if (!parsed.success) {
        return { status: 400, body: { error: z.prettifyError(parsed.error) } };
    }
    const reports = await operations.changeMembers(parsed.data.change, parsed.data.group);
    const last = reports.at(-1);
    if (last === undefined) {
        return { status: 404, body: { error: `there is no group "${parsed.data.group}"` } };
    }
    return { status: statusByOutcome[last.outcome], body: reports };
}

/** Returns the report with the status of its outcome. */
function replyOf(report: { readonly outcome: keyof typeof statusByOutcome; }): OperatorReply {
    return { status: statusByOutcome[report.outcome], body: report };
}

const statusByOutcome = {
    "accepted": 200,
    "changed": 200,
    "read": 200,
    "not-found": 404,
    "conflict": 409,
    "invalid": 422,
    "not-accepted": 503,
    "no-quorum": 503,
    "unknown": 504,
} as const;
