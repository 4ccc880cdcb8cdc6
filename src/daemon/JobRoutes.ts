/** Operators' routes for jobs: list, show, cancel. */
import * as z from "zod";
import { parseJobId, parseWorkspaceId } from "../common/Ids.js";
import type { OperatorReply, OperatorRoute } from "../entry/Types.js";
import type { JobRecord, Jobs, RecordsError } from "../records/Types.js";

/** Timeout of one operation on the records group. */
const recordsTimeoutMs = 5000;
const cancelSchema = z.strictObject({ job: z.string() });

export function jobRoutes(jobs: Jobs): readonly OperatorRoute[] {
    return [
        {
            method: "GET",
            path: "/v1/operator/jobs",
            handle: async req => {
                const workspace = parseWorkspaceId(req.query.get("workspace") ?? "").toMaybe().extract();
                const listed = await jobs.list(workspace, recordsTimeoutMs);
                return listed.caseOf({ Left: errorReply, Right: body => ({ status: 200, body }) });
            },
        },
        {
            method: "GET",
            path: "/v1/operator/jobs/show",
            handle: req => withJob(req.query.get("job"), id => jobs.get(id, recordsTimeoutMs)),
        },
        {
            method: "POST",
            path: "/v1/operator/jobs/cancel",
            handle: async req => {
                const body = cancelSchema.safeParse(req.body);
                return withJob(body.success ? body.data.job : null, id => jobs.cancel(id, recordsTimeoutMs));
            },
        },
    ];
}

async function withJob(
    text: string | null,
    access: (id: JobRecord["id"]) => ReturnType<Jobs["get"]>,
): Promise<OperatorReply> {
    const id = parseJobId(text ?? "").toMaybe().extract();
    if (id === undefined) {
        return { status: 400, body: { error: "the job id is missing or invalid" } };
    }
    return (await access(id)).caseOf<OperatorReply>({
        Left: errorReply,
        Right: job => job === undefined ? { status: 404, body: { error: `no job ${id}` } } : { status: 200, body: job },
    });
}

function errorReply(err: RecordsError): OperatorReply {
    return { status: err.kind === "unknown" ? 504 : 503, body: { error: err.message, kind: err.kind } };
}
