/** Checks a configuration before it is sent: as hosts do, for what has no effect, and against the version in force. */
import type { Deployment, DocumentFault } from "../fleet/Types.js";
import { checkDeployment } from "./DeploymentCheck.js";
import { diffDeployments } from "./DeploymentDiff.js";
import { finding } from "./Findings.js";
import type { CheckReport, DocumentInspector, Finding } from "./Types.js";

/** Checks a document, and compares it with the version in force if that is given. */
export function checkDocument(
    inspector: DocumentInspector,
    text: string,
    inForce: Deployment | undefined,
): CheckReport {
    const versionInForce = inForce?.version;
    return inspector.inspect(text).caseOf<CheckReport>({
        Left: faults => ({ version: undefined, versionInForce, findings: faults.map(invalid), changes: undefined }),
        Right: ({ deployment, errors }) => {
            const changes = inForce === undefined ? undefined : diffDeployments(inForce, deployment);
            const isIgnored = inForce !== undefined && changes?.length !== 0 && deployment.version <= inForce.version;
            const message = `hosts ignore version ${deployment.version}, as ${versionInForce} is in force`;
            const findings = [
                ...errors.map(invalid),
                ...(isIgnored ? [finding("error", "version-not-newer", "", message)] : []),
                ...checkDeployment(deployment),
            ];
            return { version: deployment.version, versionInForce, findings, changes };
        },
    });
}

function invalid({ message }: DocumentFault): Finding {
    return finding("error", "invalid", "", message);
}
