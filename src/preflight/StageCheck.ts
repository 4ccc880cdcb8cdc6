/** Checks the stages of a route: their order, and the storage that their results need. */
import type { BatchTraits, Deployment, Route, RouteStage } from "../fleet/Types.js";
import { startOrder } from "../gateway/StageOrder.js";
import { finding, subjectOf } from "./Findings.js";
import type { Finding } from "./Types.js";

export function checkStages(route: Route, { services }: Deployment): readonly Finding[] {
    const subject = subjectOf(route);
    const message = "a stage needs itself, also through others, or one that does not exist";
    const order = startOrder(route.stages) !== undefined
        ? []
        : [finding("error", "stage-order-invalid", subject, message)];
    const stages = route.stages.flatMap((stage, at) => {
        const service = services.get(stage.service);
        if (service === undefined) {
            // Reported by the checks of the hosts.
            return [];
        }
        const stageSubject = `${subject} stage ${at}`;
        if (service.pieces === undefined) {
            const message = `service ${service.id} runs no pieces of stages`;
            return [finding("error", "stage-service-runs-no-pieces", stageSubject, message)];
        }
        const readers = route.stages.filter(one => one.after.includes(at))
            .map(one => services.get(one.service)?.pieces)
            .filter(one => one !== undefined);
        return [
            ...checkStorage(stage, service.pieces, stageSubject),
            ...checkExpiry(service.pieces, readers, stageSubject),
        ];
    });
    return [...order, ...stages];
}

function checkStorage({ resultBytes }: RouteStage, traits: BatchTraits, subject: string): readonly Finding[] {
    const { batch, resultRoomBytes } = traits;
    if (resultBytes > resultRoomBytes) {
        const message = `a result of ${resultBytes} bytes is larger than the storage of ${resultRoomBytes} bytes`;
        return [finding("error", "result-larger-than-storage", subject, message)];
    }
    const batchBytes = batch * resultBytes;
    const message = `the results of a batch of ${batch} take ${batchBytes} bytes of ${resultRoomBytes}`;
    return batchBytes > resultRoomBytes ? [finding("warning", "batch-larger-than-storage", subject, message)] : [];
}

/** A result must outlast the shortest call of a stage that uses it. */
function checkExpiry(
    { resultKeptMs }: BatchTraits,
    readers: readonly BatchTraits[],
    subject: string,
): readonly Finding[] {
    const readMs = Math.max(0, ...readers.map(one => one.callMs + one.pieceMs));
    const message = `results are kept for ${resultKeptMs} ms, and the next stage takes ${readMs} ms`;
    return readMs > resultKeptMs ? [finding("warning", "result-expires-too-soon", subject, message)] : [];
}
