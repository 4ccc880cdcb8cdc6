/**
 * Finds a slot for a stage call: the router's choices in order, other endpoints before those already tried. A suspect
 * gets an endpoint of its own, and no other call of this host starts there meanwhile.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId, Random } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { EndpointDirectory, Priority, Slot, SlotError, SlotHolder } from "../endpoints/Types.js";
import type { RouteChoice, Router } from "../routing/Types.js";

/** Endpoints asked for a slot in one round. */
const maxChoices = 3;
/** How long a call waits for an endpoint when the pool has none that takes work. */
const noEndpointPatienceMs = 300;
const noEndpointPollMs = 100;
const noEndpointRetryAfterMs = 1000;
const unreachableOwnerRetryAfterMs = 200;

export interface SlotSearch {
    readonly stage: StageSettings;
    readonly prompt: string;
    readonly priority: Priority;
    readonly avoid: ReadonlySet<EndpointId>;
    /** The search ends then, on the local monotonic clock. */
    readonly startByMs: number;
    /** Whether no other call may be on the endpoint. */
    readonly alone: boolean;
    readonly signal: AbortSignal;
}

export interface NoSlot {
    readonly kind: "no-slot";
    readonly reason: "no-endpoint" | "overloaded" | "aborted";
    readonly message: string;
    readonly retryAfterMs: number;
}

export interface FoundSlot {
    readonly slot: Slot;
    readonly choice: RouteChoice;
    /** True when no other call is on the endpoint, as far as can be known. */
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
    /** Endpoints on which a suspect of this host runs alone. */
    private readonly reserved = new Set<EndpointId>();

    public constructor(private readonly services: SlotFinderServices) {}

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
            const waitMs = failure.reason === "no-endpoint" ? noEndpointPollMs : failure.retryAfterMs;
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
        const nowMs = clock.nowMs();
        if (search.alone) {
            this.reserved.add(id);
        }
        const done = () => {
            if (search.alone) {
                this.reserved.delete(id);
            }
        };
        const granted = await slots.acquire(id, {
            priority: search.priority,
            deadlineMs: nowMs + (search.startByMs - nowMs) / choicesLeft,
            signal: search.signal,
            ...(search.alone ? { exclusive: true } : {}),
        });
        if (granted.isLeft()) {
            done();
            return Left(granted.extract());
        }
        const slot = granted.extract() as Slot;
        return Right({ slot, choice, alone: search.alone && this.isAlone(slot), done });
    }

    private choices(search: SlotSearch): readonly RouteChoice[] {
        const ranked = this.services.router.rank({
            pool: search.stage.pool,
            model: search.stage.model,
            prompt: search.prompt,
            avoid: search.avoid,
            deadlineMs: search.startByMs,
        });
        const free = ranked.filter(one => !this.reserved.has(one.endpoint.id));
        if (!search.alone) {
            return free.slice(0, maxChoices);
        }
        return free.filter(one => one.endpoint.ownInFlight === 0).slice(0, 1);
    }

    private isAlone(slot: Slot): boolean {
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
        if (search.alone && errors.length === 0 && this.services.directory.inPool(pool).length > 0) {
            return this.overloaded(`no endpoint of pool ${pool} is free for a call that has to run alone`, 50);
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
