/** Digests that name a request by its content. */
import { createHash } from "node:crypto";
import type { Fingerprint } from "../records/Types.js";
import type { PipelineRequest } from "./Types.js";

function digest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(value)).digest("hex");
}

/** Names a request that may crash endpoints: its workspace, pipeline and body. */
export function fingerprintOf(req: Pick<PipelineRequest, "workspace" | "pipeline" | "input">): Fingerprint {
    return digest([req.workspace, req.pipeline, req.input ?? null]);
}

/** What two sendings under one Idempotency-Key have to agree in. */
export function bodyDigestOf(req: Pick<PipelineRequest, "pipeline" | "input">): string {
    return digest([req.pipeline, req.input ?? null]);
}
