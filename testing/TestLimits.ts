/** Limits of a server that no test reaches by accident. */
import { SystemClock } from "../src/common/SystemClock.js";
import { ServerLimits } from "../src/telemetry/ServerLimits.js";
import { MemoryLog, MemoryMetrics } from "./MemoryLog.js";

export function testLimits(): ServerLimits {
    return new ServerLimits({
        server: "test",
        descriptorShare: 1,
        maxLargeBodies: 4,
        clock: new SystemClock(),
        log: new MemoryLog(),
        metrics: new MemoryMetrics(),
    });
}
