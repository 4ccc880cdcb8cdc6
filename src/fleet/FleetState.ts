/**
 * The replicated state of the fleet: the configuration's text under its version, data centres taken out, and marks of
 * requests that crashed endpoints. The highest version wins; whatever comes under the same or a lower one changes
 * nothing.
 */
import { z } from "zod";
import type { Json, StateMachine } from "../replication/Types.js";

/** Crashes within the time below after which a request is not sent to endpoints again. */
const crashesUntilQuarantine = 3;
/** Requests that merely ran beside one that crashes endpoints seldom do so three times within a minute. */
const crashWindowMs = 60_000;
/** Marks kept; the oldest are forgotten first. */
const maxCrashMarks = 2048;

const commandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("put-config"), version: z.number(), text: z.string() }),
    z.object({ kind: z.literal("set-data-centre"), dataCentre: z.string(), isOut: z.boolean() }),
    z.object({
        kind: z.literal("mark-crashes"),
        fingerprints: z.array(z.string()),
        /** Wall time of the control host that was told. */
        atMs: z.number(),
    }),
]);

export type FleetCommand = z.infer<typeof commandSchema>;

const snapshotSchema = z.object({
    version: z.number(),
    text: z.string(),
    dataCentresOut: z.array(z.string()),
    crashes: z.array(z.tuple([z.string(), z.array(z.number())])),
});

export class FleetState implements StateMachine {
    private configVersion = 0;
    private configText = "";
    private readonly out = new Set<string>();
    /** Times of the last crashes by fingerprint; as many as it takes make a request quarantined. */
    private readonly crashes = new Map<string, readonly number[]>();

    /** 0 before the first configuration. */
    public get version(): number {
        return this.configVersion;
    }

    /** The configuration as it was sent; empty before the first one. */
    public get text(): string {
        return this.configText;
    }

    public get dataCentresOut(): readonly string[] {
        return [...this.out].sort();
    }

    public get quarantined(): readonly string[] {
        return [...this.crashes].filter(([, times]) => times.length >= crashesUntilQuarantine).map(([mark]) => mark);
    }

    public apply(command: Json): Json {
        const parsed = commandSchema.safeParse(command);
        if (!parsed.success) {
            return { kind: "unknown-command" };
        }
        switch (parsed.data.kind) {
            case "put-config":
                return this.putConfig(parsed.data.version, parsed.data.text);
            case "set-data-centre":
                return this.setDataCentre(parsed.data.dataCentre, parsed.data.isOut);
            case "mark-crashes":
                return this.markCrashes(parsed.data.fingerprints, parsed.data.atMs);
        }
    }

    public snapshot(): Json {
        return {
            version: this.configVersion,
            text: this.configText,
            dataCentresOut: this.dataCentresOut,
            crashes: [...this.crashes],
        };
    }

    public restore(snapshot: Json): void {
        const { version, text, dataCentresOut, crashes } = snapshotSchema.parse(snapshot);
        this.configVersion = version;
        this.configText = text;
        this.out.clear();
        dataCentresOut.forEach(dataCentre => this.out.add(dataCentre));
        this.crashes.clear();
        crashes.forEach(([mark, times]) => this.crashes.set(mark, times));
    }

    private putConfig(version: number, text: string): Json {
        const isNewer = version > this.configVersion;
        if (isNewer) {
            this.configVersion = version;
            this.configText = text;
        }
        return { kind: isNewer ? "in-force" : "overtaken", version: this.configVersion };
    }

    private setDataCentre(dataCentre: string, isOut: boolean): Json {
        if (isOut) {
            this.out.add(dataCentre);
        }
        else {
            this.out.delete(dataCentre);
        }
        return { kind: "set" };
    }

    private markCrashes(fingerprints: readonly string[], atMs: number): Json {
        for (const mark of fingerprints) {
            const known = this.crashes.get(mark) ?? [];
            const isQuarantined = known.length >= crashesUntilQuarantine;
            const recent = isQuarantined ? known : known.filter(time => Math.abs(atMs - time) < crashWindowMs);
            this.crashes.delete(mark);
            this.crashes.set(mark, [...recent, atMs].slice(-crashesUntilQuarantine));
        }
        while (this.crashes.size > maxCrashMarks) {
            const [oldest] = this.crashes.keys();
            this.crashes.delete(oldest ?? "");
        }
        return { kind: "marked" };
    }
}
