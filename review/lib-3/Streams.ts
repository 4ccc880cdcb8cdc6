/** Answers of engines that come in events, and their number as a caller has got it. */
import type * as http from "node:http";
import type { EngineRun } from "./Engine.js";

export interface StreamOptions {
    readonly events: number;
    readonly gapMs: number;
    /** False once the engine has crashed. */
    readonly isUp: () => boolean;
    readonly onEnd: () => void;
}

/** Writes a stream with increasing ids. */
export function writeStream(run: EngineRun, res: http.ServerResponse, options: StreamOptions): void {
    const { events, gapMs, isUp, onEnd } = options;
    res.writeHead(200, {
        "Content-Type": "text/event-stream",
        "Fireflykeel-Request-Id": run.id,
        "Fireflykeel-Server-Stamp": `${run.engine}.${run.id}`,
    });
    let written = 0;
    const timer = setInterval(() => {
        if (!isUp() || res.destroyed) {
            clearInterval(timer);
            onEnd();
            return;
        }
        written += 1;
        res.write(`id: ${written}\ndata: ${run.id}\n\n`);
        if (written === events) {
            clearInterval(timer);
            res.end();
            onEnd();
        }
    }, gapMs);
}

export function eventsIn(text: string): number {
    return text.split("\n\n").filter(event => event.startsWith("id: ")).length;
}
