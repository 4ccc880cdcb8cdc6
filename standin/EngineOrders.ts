/**
 * An engine's models, adapters and role, and the orders that change them. Engines refuse an old fencing number or
 * ignore it, depending on `checksFencing`.
 */
import { request } from "node:http";
import type { EngineStateMessage, OrderMessage } from "../src/endpoints/Wire.js";
import { splitAddress } from "./StandInHttpServer.js";
import type { StandInCounters } from "./Types.js";

type LoadedModel = EngineStateMessage["models"][number];

export class EngineOrders {
    private role: EngineStateMessage["role"] = "both";
    private models: LoadedModel[];
    private adapters = new Set<string>();
    private highestFencing = 0;
    private readonly executedOrders = new Set<string>();

    public constructor(
        models: readonly { readonly model: string; readonly version: string; }[],
        private readonly checksFencing: boolean,
        private readonly weightStore: string | undefined,
        private readonly counters: StandInCounters,
    ) {
        this.models = models.map(one => ({ ...one, ready: true }));
    }

    /** True if the model is loaded, or none is named. */
    public serves(model: string | undefined): boolean {
        return model === undefined || this.models.some(one => one.model === model && one.ready);
    }

    public state(incarnation: string): EngineStateMessage {
        const fencing = this.checksFencing ? this.highestFencing : 0;
        return { incarnation, role: this.role, models: this.models, adapters: [...this.adapters], fencing };
    }

    /**
     * Executes an order and returns the HTTP status: 409 for an old fencing number if the engine checks them, 503 if
     * the order failed. An order id that is running or has succeeded is not run again, and gets 200.
     */
    public async execute(order: OrderMessage): Promise<200 | 409 | 503> {
        if (order.fencing < this.highestFencing) {
            if (this.checksFencing) {
                return 409;
            }
            this.counters.staleOrdersObeyed += 1;
        }
        this.highestFencing = Math.max(this.highestFencing, order.fencing);
        if (this.executedOrders.has(order.orderId)) {
            return 200;
        }
        this.executedOrders.add(order.orderId);
        const succeeded = await this.apply(order);
        if (!succeeded) {
            this.executedOrders.delete(order.orderId);
        }
        return succeeded ? 200 : 503;
    }

    private async apply(order: OrderMessage): Promise<boolean> {
        switch (order.kind) {
            case "load-model":
                return this.loadModel(order.model ?? "", order.version ?? "1");
            case "unload-model":
                this.models = this.models.filter(one => one.model !== order.model);
                return true;
            case "load-adapter":
                this.adapters.add(order.adapter ?? "");
                return true;
            case "unload-adapter":
                this.adapters.delete(order.adapter ?? "");
                return true;
            case "set-role":
                this.role = order.role ?? "both";
                return true;
        }
    }

    private async loadModel(model: string, version: string): Promise<boolean> {
        const loading = { model, version, ready: false };
        this.models = [...this.models.filter(one => one.model !== model), loading];
        const loaded = this.weightStore === undefined || await fetchWeights(this.weightStore, model, version);
        const others = this.models.filter(one => one !== loading);
        this.models = loaded ? [...others, { model, version, ready: true }] : others;
        return loaded;
    }
}

/** Downloads a model's weights from the store and discards them; false if that fails. */
function fetchWeights(address: string, model: string, version: string): Promise<boolean> {
    return new Promise(resolve => {
        const path = `/v1/weights/${encodeURIComponent(model)}?version=${encodeURIComponent(version)}`;
        const req = request({ ...splitAddress(address), path }, res => {
            res.resume();
            res.on("end", () => resolve(res.statusCode === 200));
            res.on("error", () => resolve(false));
        });
        req.on("error", () => resolve(false));
        req.end();
    });
}
