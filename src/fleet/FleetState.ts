/**
 * The replicated state of the fleet: the text and version of the configuration, the data centres taken out of use, and
 * the crash marks: when endpoints crashed while running a request, and with which parts of prompts, and the roll-outs of
 * services. The highest version wins; a configuration with the same or a lower version changes nothing.
 *
 * An order that takes a data centre out of use or back has no version. A copy of it may be committed long after its
 * operator has given it up, and after newer orders. It names the state that its control host had confirmed while the
 * operator was there, and changes nothing if another order of the data centre has been committed since.
 */
import * as z from "zod";
import { BoundedMap } from "../common/BoundedMap.js";
import { Emitter } from "../common/Emitter.js";
import type { Json, StateMachine } from "../replication/Types.js";
import { rolloutCommands, RolloutTable } from "../rollouts/RolloutTable.js";
import { rolloutViewSchema } from "../rollouts/Types.js";
import { PartCrashes } from "./PartCrashes.js";
import type { PartKey } from "./Types.js";

/** Number of crashes within {@link crashWindowMs} after which a request is not sent to endpoints again. */
const crashesUntilQuarantine = 3;
/**
 * Crashes of a request are counted within this window. A request that merely runs beside one that crashes endpoints is
 * rarely affected three times within a minute.
 */
const crashWindowMs = 60_000;
/** Maximum number of marked requests; the oldest are dropped first. */
const maxMarkedRequests = 2048;
/** Maximum number of data centres whose last order is known; the one ordered longest ago is forgotten first. */
const maxOrders = 1024;

const partKey = z.string() as unknown as z.ZodType<PartKey>;

const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("put-config"), version: z.number(), text: z.string() }),
    z.object({
        kind: z.literal("set-data-centre"),
        dataCentre: z.string(),
        isOut: z.boolean(),
        /** Log index of the state that the host had confirmed; hosts of older builds give none, which binds to nothing. */
        seen: z.number().default(Number.MAX_SAFE_INTEGER),
        /** The control host that was given the order; hosts of older builds do not say. */
        by: z.string().default(""),
    }),
    z.object({
        kind: z.literal("mark-crashes"),
        fingerprints: z.array(z.string()),
        /** Wall time of the control host that received the report. */
        atMs: z.number(),
        parts: z.array(z.object({ endpoint: z.string(), keys: z.array(partKey) })).default([]),
    }),
    z.object({ kind: z.literal("clear-parts"), keys: z.array(partKey) }),
    z.object({ kind: z.literal("condemn-part"), key: partKey }),
    z.object({ kind: z.literal("release-part"), key: partKey }),
    ...rolloutCommands,
]);

/** A command in the replicated log. */
export type FleetCommand = z.infer<typeof commandSchema>;

type DataCentreCommand = Extract<FleetCommand, { readonly kind: "set-data-centre"; }>;

const dataCentreOrder = z.object({ index: z.number(), isOut: z.boolean(), by: z.string() });

/** The last order of a data centre, at an index of the log. */
type DataCentreOrder = z.infer<typeof dataCentreOrder>;

/** An order that came after a newer one, and has changed nothing. */
export interface StaleOrder {
    readonly order: DataCentreCommand;
    readonly newer: DataCentreOrder;
}

const partRecords = z.array(z.object({
    key: partKey,
    endpoints: z.array(z.string()),
    position: z.number(),
    serial: z.number(),
}));

const snapshotSchema = z.object({
    version: z.number(),
    text: z.string(),
    dataCentresOut: z.array(z.string()),
    dataCentreOrders: z.array(z.tuple([z.string(), dataCentreOrder])).default([]),
    crashes: z.array(z.tuple([z.string(), z.array(z.number())])),
    parts: z.object({ suspected: partRecords, condemned: partRecords }).default({ suspected: [], condemned: [] }),
    rollouts: rolloutViewSchema.default({ revision: 0, records: [] }),
});

export class FleetState implements StateMachine {
    public readonly parts = new PartCrashes();
    public readonly rollouts = new RolloutTable();
    private configVersion = 0;
    private configText = "";
    private readonly outDataCentres = new Set<string>();
    private readonly orders = new BoundedMap<string, DataCentreOrder>(maxOrders);
    private readonly staleOrders = new Emitter<StaleOrder>();
    /** Fires for an order that came too late to change anything. */
    public readonly onStaleOrder = this.staleOrders.event;
    /** Times of the last crashes by fingerprint; {@link crashesUntilQuarantine} of them quarantine a request. */
    private readonly crashes = new Map<string, readonly number[]>();

    /** Version of the configuration; 0 before the first one. */
    public get version(): number {
        return this.configVersion;
    }

    /** The configuration as put by the operator; empty before the first one. */
    public get text(): string {
        return this.configText;
    }

    /** Data centres taken out of use, sorted. */
    public get dataCentresOut(): readonly string[] {
        return [...this.outDataCentres].sort();
    }

    /** Fingerprints of requests that must not be sent to an endpoint again. */
    public get quarantined(): readonly string[] {
        return [...this.crashes].filter(([, times]) => times.length >= crashesUntilQuarantine).map(([fingerprint]) =>
            fingerprint
        );
    }

    public apply(command: Json, index: number): Json {
        const parsed = commandSchema.safeParse(command);
        if (!parsed.success) {
            return { kind: "unknown-command" };
        }
        switch (parsed.data.kind) {
            case "put-config":
                return this.putConfig(parsed.data.version, parsed.data.text);
            case "set-data-centre":
                return this.setDataCentre(parsed.data, index);
            case "mark-crashes":
                parsed.data.parts.forEach(({ endpoint, keys }) => this.parts.recordCrash(endpoint, keys));
                return this.markCrashes(parsed.data.fingerprints, parsed.data.atMs);
            case "clear-parts":
                this.parts.clear(parsed.data.keys);
                return { kind: "cleared" };
            case "condemn-part":
                this.parts.condemn(parsed.data.key);
                return { kind: "condemned" };
            case "release-part":
                this.parts.release(parsed.data.key);
                return { kind: "released" };
            case "start-rollout":
            case "step-rollout":
            case "end-rollout":
                return { kind: this.rollouts.apply(parsed.data) };
        }
    }

    public snapshot(): Json {
        return {
            version: this.configVersion,
            text: this.configText,
            dataCentresOut: this.dataCentresOut,
            dataCentreOrders: [...this.orders].map(([dataCentre, order]) => [dataCentre, { ...order }]),
            crashes: [...this.crashes],
            parts: this.parts.snapshot() as unknown as Json,
            rollouts: this.rollouts.snapshot() as unknown as Json,
        };
    }

    public restore(snapshot: Json): void {
        const { version, text, dataCentresOut, dataCentreOrders, crashes, parts, rollouts } = snapshotSchema
            .parse(snapshot);
        this.configVersion = version;
        this.configText = text;
        this.outDataCentres.clear();
        dataCentresOut.forEach(dataCentre => this.outDataCentres.add(dataCentre));
        this.orders.clear();
        dataCentreOrders.forEach(([dataCentre, order]) => this.orders.set(dataCentre, order));
        this.crashes.clear();
        crashes.forEach(([fingerprint, times]) => this.crashes.set(fingerprint, times));
        this.parts.restore(parts.suspected, parts.condemned);
        this.rollouts.restore(rollouts);
    }

    private putConfig(version: number, text: string): Json {
        const isNewer = version > this.configVersion;
        if (isNewer) {
            this.configVersion = version;
            this.configText = text;
        }
        return { kind: isNewer ? "in-force" : "overtaken", version: this.configVersion };
    }

    private setDataCentre(order: DataCentreCommand, index: number): Json {
        const { dataCentre, isOut, seen, by } = order;
        const newer = this.orders.get(dataCentre);
        if (newer !== undefined && newer.index > seen) {
            if (newer.isOut !== isOut) {
                this.staleOrders.fire({ order, newer });
                return { kind: "stale" };
            }
            return { kind: "set" };
        }
        this.orders.set(dataCentre, { index, isOut, by });
        if (isOut) {
            this.outDataCentres.add(dataCentre);
        }
        else {
            this.outDataCentres.delete(dataCentre);
        }
        return { kind: "set" };
    }

    /** Adds a crash to each of the requests. A quarantined request stays quarantined, however old its crashes are. */
    private markCrashes(fingerprints: readonly string[], atMs: number): Json {
        for (const fingerprint of fingerprints) {
            const known = this.crashes.get(fingerprint) ?? [];
            const isQuarantined = known.length >= crashesUntilQuarantine;
            const recent = isQuarantined ? known : known.filter(time => Math.abs(atMs - time) < crashWindowMs);
            this.crashes.delete(fingerprint);
            this.crashes.set(fingerprint, [...recent, atMs].slice(-crashesUntilQuarantine));
        }
        while (this.crashes.size > maxMarkedRequests) {
            const [oldest] = this.crashes.keys();
            this.crashes.delete(oldest ?? "");
        }
        return { kind: "marked" };
    }
}
