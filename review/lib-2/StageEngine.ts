/** A stand-in for an engine that makes pieces of stages: `/api/stage-run`, `/api/stage-free` and `/api/report`. */
import type { EngineHandler, EngineReply } from "./Engine.js";
import { sleep } from "./Site.js";

export interface PieceItem {
    readonly Id: string;
    readonly Stage: number;
    readonly Piece: number;
    readonly RemainingMs?: number;
    readonly Key?: string;
    readonly Inputs?: readonly string[];
}

export interface StageWork {
    readonly callMs: number;
    readonly itemMs: number;
    /** Called for each piece that is made. */
    readonly onPiece: (item: PieceItem, handle: string) => void;
}

const json = { "Content-Type": "application/json", "Fireflykeel-Server-Load": "0,0,1" };

/** Handles one call at a time, as with one slot; handles are unique over all engines and starts. */
export function stageHandler({ callMs, itemMs, onPiece }: StageWork): EngineHandler {
    let isBusy = false;
    const run = async (items: readonly PieceItem[], address: string): Promise<EngineReply> => {
        if (isBusy) {
            return { status: 503, headers: { ...json, "Fireflykeel-Not-Executed": "1" } };
        }
        isBusy = true;
        await sleep(callMs + items.length * itemMs);
        isBusy = false;
        const made = items.map(item => {
            const handle = `${address}/${Math.random().toString(16).slice(2, 14)}`;
            onPiece(item, handle);
            return { Handle: handle };
        });
        return { status: 200, headers: json, body: JSON.stringify({ Items: made }) };
    };
    return async ({ target, body, socket }) => {
        switch (target) {
            case "/api/stage-run":
                return run(
                    (JSON.parse(body.toString()) as { readonly Items: readonly PieceItem[]; }).Items,
                    `${socket.localAddress}:${socket.localPort}`,
                );
            case "/api/stage-free":
                return { status: 200, headers: json, body: "{}" };
            case "/api/report":
                return {
                    status: 200,
                    headers: json,
                    body: JSON.stringify({ Waiting: 0, Busy: isBusy, FreeMb: 27 }),
                };
            default:
                return { status: 404 };
        }
    };
}
