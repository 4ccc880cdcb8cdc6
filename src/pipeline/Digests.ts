/** Content digests that identify requests. */
import { createHash } from "node:crypto";
import type { Fingerprint } from "../records/Types.js";
import type { PipelineRequest } from "./Types.js";

function digest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(value)).digest("hex");
}

/** Identifies a request that may crash endpoints, by workspace, pipeline and input. */
export function fingerprintOf(req: Pick<PipelineRequest, "workspace" | "pipeline" | "input">): Fingerprint {
    return digest([req.workspace, req.pipeline, req.input ?? null]);
}

/** Two requests with the same Idempotency-Key must have the same digest. */
export function bodyDigestOf(req: Pick<PipelineRequest, "pipeline" | "input">): string {
    return digest([req.pipeline, req.input ?? null]);
}
