/**
 * Text form of load summaries in messages between hosts. Endpoints are named by their position in the sorted list of
 * endpoints, which both sides know; a key of that list guards against different lists. Figures are whole numbers of a
 * variable length, five bits a character. A digest rounds them to steps of a share, so that an endpoint takes about
 * nine characters.
 */
import { type Either, Left, Right } from "purify-ts";
import { hashText } from "../common/TextHash.js";
import type { EndpointId } from "../common/Types.js";
import type { AgedStatement, EndpointWork, LoadSummary } from "./Types.js";

const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const valueOf = new Map([...alphabet].map((char, at) => [char, at]));
const base = 32;
/** A number of more characters is absurd. */
const maxDigits = 7;
const ageStepMs = 20;
/** Steps of a digest: a figure differs from the rounded one by half of this share at most. */
const prefillStep = 1.25;
const prefillUnit = 256;
const heldStep = 1.1;
const heldUnit = 1024;
const waitingStep = 1.5;
/** Ten steps of speed are a factor of ten, so that the usual speed has a step of its own. */
const speedStepsPerDecade = 10;
const prefillExactUnit = 16;
const heldExactUnit = 64;

/** "report": figures of few hosts, exact. "digest": figures of all hosts, rounded. */
export type LoadForm = "report" | "digest";

/** The positions of endpoints in texts. */
export class EndpointPositions {
    public readonly key: string;
    public readonly ids: readonly EndpointId[];

    public constructor(ids: Iterable<EndpointId>) {
        this.ids = [...ids].sort();
        this.key = hashText(this.ids.join(" ")).toString(36);
    }
}

export interface LoadTextFault {
    readonly kind: "unknown-list" | "malformed";
    readonly message: string;
}

/** Key of the list of endpoints to which a text refers. */
export function keyOfText(text: string): string {
    return text.slice(0, Math.max(0, text.indexOf(":")));
}

export function encodeLoad(positions: EndpointPositions, summary: LoadSummary, form: LoadForm): string {
    const { work, statements, hosts } = summary;
    let text = `${positions.key}:${digits(hosts)}`;
    let last = -1;
    let count = 0;
    positions.ids.forEach((id, at) => {
        const done = work.get(id);
        const stated = statements.get(id);
        if (done === undefined && stated === undefined) {
            return;
        }
        text += digits(at - last - 1) + digits((done === undefined ? 0 : 1) + (stated === undefined ? 0 : 2));
        text += done === undefined ? "" : encodeWork(done, form);
        text += stated === undefined ? "" : encodeStatement(stated, form);
        last = at;
        count += 1;
    });
    // The number of endpoints at the end reveals a truncated text.
    return `${text}.${digits(count)}`;
}

export function decodeLoad(
    text: string,
    positions: EndpointPositions,
    form: LoadForm,
): Either<LoadTextFault, Omit<LoadSummary, "ageMs">> {
    const key = keyOfText(text);
    if (key !== positions.key) {
        return Left({ kind: "unknown-list", message: "another list of endpoints" });
    }
    const end = text.lastIndexOf(".");
    const reader = new NumberReader(text.slice(key.length + 1, Math.max(0, end)));
    const hosts = reader.next();
    const work = new Map<EndpointId, EndpointWork>();
    const statements = new Map<EndpointId, AgedStatement>();
    let at = -1;
    let count = 0;
    while (!reader.isAtEnd && !reader.isMalformed) {
        at += reader.next() + 1;
        const id = positions.ids[at];
        const parts = reader.next();
        if (id === undefined || parts < 1 || parts > 3) {
            return Left({ kind: "malformed", message: `no endpoint at position ${at}` });
        }
        if ((parts & 1) > 0) {
            work.set(id, decodeWork(reader, form));
        }
        if ((parts & 2) > 0) {
            statements.set(id, decodeStatement(reader, form));
        }
        count += 1;
    }
    if (reader.isMalformed || text.slice(end + 1) !== digits(count)) {
        return Left({ kind: "malformed", message: "a truncated or unreadable text" });
    }
    return Right({ hosts, work, statements });
}

function encodeWork({ running, prefillTokens, heldTokens }: EndpointWork, form: LoadForm): string {
    return form === "report"
        ? digits(running) + digits(prefillTokens / prefillExactUnit) + digits(heldTokens / heldExactUnit)
        : digits(running) + digits(toLevel(prefillTokens, prefillUnit, prefillStep))
            + digits(toLevel(heldTokens, heldUnit, heldStep));
}

function decodeWork(reader: NumberReader, form: LoadForm): EndpointWork {
    const running = reader.next();
    return form === "report"
        ? { running, prefillTokens: reader.next() * prefillExactUnit, heldTokens: reader.next() * heldExactUnit }
        : {
            running,
            prefillTokens: fromLevel(reader.next(), prefillUnit, prefillStep),
            heldTokens: fromLevel(reader.next(), heldUnit, heldStep),
        };
}

function encodeStatement({ running, waiting, slots, speed, ageMs }: AgedStatement, form: LoadForm): string {
    const age = digits(ageMs / ageStepMs);
    return form === "report"
        ? digits(running) + digits(waiting) + digits(slots) + digits(speed ?? 0) + age
        : digits(toLevel(waiting, 1, waitingStep)) + digits(speed === undefined ? 0 : speedLevel(speed)) + age;
}

/** A digest leaves out the running requests and the slots, which the sums and the list of endpoints tell. */
function decodeStatement(reader: NumberReader, form: LoadForm): AgedStatement {
    const [running, waiting, slots] = form === "report"
        ? [reader.next(), reader.next(), reader.next()]
        : [0, fromLevel(reader.next(), 1, waitingStep), 1];
    const figure = reader.next();
    const speed = figure === 0 ? undefined : form === "report" ? figure : 10 ** ((figure - 1) / speedStepsPerDecade);
    return { running, waiting, slots, speed, ageMs: reader.next() * ageStepMs };
}

/** 0 stands for an unknown speed. */
function speedLevel(speed: number): number {
    return 1 + Math.log10(Math.max(1, speed)) * speedStepsPerDecade;
}

function toLevel(value: number, unit: number, step: number): number {
    return Math.log(1 + Math.max(0, value) / unit) / Math.log(step);
}

function fromLevel(level: number, unit: number, step: number): number {
    return (step ** level - 1) * unit;
}

/** A number, rounded, in base 32; all digits but the last have the bit of value 32 set. */
function digits(value: number): string {
    let rest = Math.min(base ** maxDigits - 1, Math.max(0, Math.round(value)));
    let text = alphabet.charAt(rest % base);
    for (rest = Math.floor(rest / base); rest > 0; rest = Math.floor(rest / base)) {
        text = alphabet.charAt(rest % base + base) + text;
    }
    return text;
}

class NumberReader {
    private at = 0;
    private hasFault = false;

    public constructor(private readonly text: string) {}

    public get isAtEnd(): boolean {
        return this.at >= this.text.length;
    }

    /** True once a number could not be read. */
    public get isMalformed(): boolean {
        return this.hasFault;
    }

    /** The next number; 0 when the text is malformed. */
    public next(): number {
        let value = 0;
        for (let count = 0; count < maxDigits; count++) {
            const digit = valueOf.get(this.text.charAt(this.at));
            if (digit === undefined) {
                break;
            }
            this.at += 1;
            value = value * base + digit % base;
            if (digit < base) {
                return value;
            }
        }
        this.hasFault = true;
        return 0;
    }
}
