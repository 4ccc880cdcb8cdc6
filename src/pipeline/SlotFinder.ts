/**
 * Finds a slot for a stage call: the router's choices in order, other endpoints before those already tried. A suspect
 * gets an endpoint of its own, and no other call of this host starts there meanwhile.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId, Random } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { EndpointDirectory, Priority, Slot, SlotError, SlotHolder } from "../endpoints/Types.js";
import type { RouteChoice, Router } from "../routing/Types.js";
import { EndpointReservations } from "./EndpointReservations.js";

/** Endpoints asked for a slot in one round. */
const maxChoices = 3;
/** Multiple of the expected time after which the next choice is tried. */
const patienceFactor = 2;
const overnight: Priority = 2;
/** Wait for a slot after which an overnight call is ranked among the quick ones, and its patience then. */
const overnightPatienceMs = 1000;
const agedPatienceMs = 500;
/** How long a call waits for an endpoint when the pool has none that takes work. */
const noEndpointPatienceMs = 300;
const noEndpointPollMs = 100;
const noEndpointRetryAfterMs = 1000;
/** Wait for an endpoint that a suspect may have to itself. */
const alonePollMs = 20;
const drainPollMs = 5;
const unreachableOwnerRetryAfterMs = 200;

export interface SlotSearch {
    readonly stage: StageSettings;
    readonly prompt: string;
    readonly priority: Priority;
    readonly avoid: ReadonlySet<EndpointId>;
    /** When the call got its turn, on the local monotonic clock. */
    readonly sinceMs: number;
    /** The search ends then, on the local monotonic clock. */
    readonly startByMs: number;
    /** Whether no other call may be on the endpoint. */
    readonly alone: boolean;
    readonly signal: AbortSignal;
}

export interface NoSlot {
    readonly kind: "no-slot";
    readonly reason: "no-endpoint" | "overloaded" | "aborted" | "quarantined";
    readonly message: string;
    /** Undefined where coming back is of no use. */
    readonly retryAfterMs: number | undefined;
}

export interface FoundSlot {
    readonly slot: Slot;
    readonly choice: RouteChoice;
    /** True when no other call is on the endpoint; so it is for each slot that was asked for alone. */
    readonly alone: boolean;
    /** Ends the hold on the endpoint that a suspect has. */
    done(): void;
}

export interface SlotFinderServices {
    readonly router: Router;
    readonly directory: EndpointDirectory;
    readonly slots: SlotHolder;
    readonly clock: Clock;
    readonly random: Random;
}

const aborted: NoSlot = { kind: "no-slot", reason: "aborted", message: "given up", retryAfterMs: 0 };

export class SlotFinder {
    private readonly reserve: EndpointReservations;
    /** Calls that wait for a slot, by endpoint. */
    private readonly waiting = new Map<EndpointId, number>();

    public constructor(private readonly services: SlotFinderServices) {
        this.reserve = new EndpointReservations(services.clock);
    }

    /** Records how a call of this host ended. */
    public noteEnd(endpoint: EndpointId, whole: boolean): void {
        this.reserve.noteEnd(endpoint, whole);
    }

    /** Looks for a slot until there is one, or until waiting on is no use. */
    public async find(search: SlotSearch): Promise<Either<NoSlot, FoundSlot>> {
        const { clock, random } = this.services;
        const emptyUntilMs = clock.nowMs() + noEndpointPatienceMs;
        while (!search.signal.aborted) {
            const round = await this.tryChoices(search);
            if (round.isRight()) {
                return round;
            }
            const failure = round.extract() as NoSlot;
            const untilMs = failure.reason === "no-endpoint"
                ? Math.min(emptyUntilMs, search.startByMs)
                : search.startByMs;
            const waitMs = failure.reason === "no-endpoint"
                ? noEndpointPollMs
                : failure.retryAfterMs ?? noEndpointPollMs;
            if (clock.nowMs() + waitMs >= untilMs) {
                return Left(failure);
            }
            await clock.sleep(waitMs * (1 + random.next() / 4), search.signal);
        }
        return Left(aborted);
    }

    private async tryChoices(search: SlotSearch): Promise<Either<NoSlot, FoundSlot>> {
        const choices = this.choices(search);
        const errors: SlotError[] = [];
        for (const [index, choice] of choices.entries()) {
            const found = await this.tryChoice(search, choice, choices.length - index);
            if (found.isRight()) {
                return Right(found.extract());
            }
            errors.push(found.extract() as SlotError);
            if (search.signal.aborted) {
                return Left(aborted);
            }
        }
        return Left(this.judge(search, errors));
    }

    private async tryChoice(
        search: SlotSearch,
        choice: RouteChoice,
        choicesLeft: number,
    ): Promise<Either<SlotError, FoundSlot>> {
        const { clock, slots } = this.services;
        const id = choice.endpoint.id;
        if (search.alone) {
            this.reserve.reserve(id);
            await this.untilDrained(id, search);
        }
        const done = () => {
            if (search.alone) {
                this.reserve.free(id);
            }
        };
        const nowMs = clock.nowMs();
        const rank = this.rankOf(search, choice, nowMs);
        this.waiting.set(id, (this.waiting.get(id) ?? 0) + 1);
        const granted = await slots.acquire(id, {
            priority: rank.priority,
            deadlineMs: choicesLeft === 1 && search.priority !== overnight
                ? search.startByMs
                : Math.min(search.startByMs, nowMs + rank.patienceMs),
            signal: search.signal,
            ...(search.alone ? { exclusive: true } : {}),
        });
        this.waiting.set(id, (this.waiting.get(id) ?? 1) - 1);
        if (granted.isLeft()) {
            done();
            return Left(granted.extract());
        }
        const slot = granted.extract() as Slot;
        if (search.alone && !this.isAlone(slot)) {
            // A suspect that is not alone would be proof of nothing, and would take others with it.
            slot.release("never-sent");
            done();
            return Left({ kind: "no-slot", endpoint: id, retryAfterMs: alonePollMs });
        }
        return Right({ slot, choice, alone: search.alone, done });
    }

    /**
     * How a call stands in the line for a slot. An overnight call that has waited for long is ranked among the quick
     * ones, by a patience as short as theirs, so that a steady stream of them can't keep it from its turn.
     */
    private rankOf(
        search: SlotSearch,
        choice: RouteChoice,
        nowMs: number,
    ): { priority: Priority; patienceMs: number; } {
        if (search.priority !== overnight) {
            return { priority: search.priority, patienceMs: choice.expectedMs * patienceFactor };
        }
        return nowMs - search.sinceMs < overnightPatienceMs
            ? { priority: overnight, patienceMs: overnightPatienceMs }
            : { priority: 0, patienceMs: agedPatienceMs };
    }

    /** Waits until the other calls of this host on the endpoint have ended. */
    private async untilDrained(id: EndpointId, search: SlotSearch): Promise<void> {
        const { clock, directory } = this.services;
        while (!search.signal.aborted && clock.nowMs() + drainPollMs < search.startByMs) {
            if ((directory.get(id)?.ownInFlight ?? 0) === 0) {
                return;
            }
            await clock.sleep(drainPollMs, search.signal);
        }
    }

    private choices(search: SlotSearch): readonly RouteChoice[] {
        const free = this.rank(search).filter(one => !this.reserve.isReserved(one.endpoint.id));
        if (!search.alone) {
            return free.slice(0, maxChoices);
        }
        const pool = this.services.directory.inPool(search.stage.pool);
        const quiet = free.filter(one => this.reserve.isQuiet(one.endpoint.id));
        quiet.sort((a, b) => a.endpoint.ownInFlight - b.endpoint.ownInFlight);
        return this.reserve.hasRoom(pool) ? quiet.slice(0, 1) : [];
    }

    private rank(search: SlotSearch): readonly RouteChoice[] {
        return this.services.router.rank({
            pool: search.stage.pool,
            model: search.stage.model,
            prompt: search.prompt,
            avoid: search.avoid,
            waiting: this.waiting,
            deadlineMs: search.startByMs,
        });
    }

    private isAlone(slot: Slot): boolean {
        if (!this.reserve.isQuiet(slot.endpoint)) {
            return false;
        }
        if (slot.exclusive !== undefined) {
            return slot.exclusive;
        }
        const view = this.services.directory.get(slot.endpoint);
        const others = view?.reported === undefined ? 0 : view.reported.running + view.reported.waiting;
        return others === 0;
    }

    /** What failed attempts at slots say of the pool. */
    private judge(search: SlotSearch, errors: readonly SlotError[]): NoSlot {
        const pool = search.stage.pool;
        // All endpoints may be reserved for calls that run alone, or none may be free for such a call.
        if (errors.length === 0 && this.rank(search).length > 0) {
            return this.overloaded(`no endpoint of pool ${pool} is free`, alonePollMs);
        }
        const waits = errors.flatMap(error => {
            switch (error.kind) {
                case "no-slot":
                    return [error.retryAfterMs];
                case "owner-unreachable":
                    return [unreachableOwnerRetryAfterMs];
                case "closed":
                    return [];
            }
        });
        if (waits.length > 0) {
            return this.overloaded(`all endpoints of pool ${pool} are busy`, Math.max(1, Math.min(...waits)));
        }
        return {
            kind: "no-slot",
            reason: "no-endpoint",
            message: `no endpoint of pool ${pool} takes new work`,
            retryAfterMs: noEndpointRetryAfterMs,
        };
    }

    private overloaded(message: string, retryAfterMs: number): NoSlot {
        return { kind: "no-slot", reason: "overloaded", message, retryAfterMs };
    }
}
