/**
 * Finds an endpoint slot for a stage call. The router's choices are tried in their order; endpoints tried before rank
 * last. A suspect request gets an endpoint of its own, where no other call of this host starts meanwhile.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, EndpointId, Random } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { EndpointDirectory, Priority, Slot, SlotError, SlotHolder } from "../endpoints/Types.js";
import type { RouteChoice, Router } from "../routing/Types.js";
import { EndpointReservations } from "./EndpointReservations.js";

/** Endpoints tried in one round. */
const maxChoices = 3;
/** The next choice is tried after the expected time multiplied by this factor. */
const timeoutFactor = 2;
const overnight: Priority = 2;
/** Timeout of an overnight call at an endpoint, and the total wait after which it gets the priority of quick calls. */
const overnightTimeoutMs = 1000;
/** Timeout at an endpoint of an overnight call that has the priority of quick calls. */
const agedTimeoutMs = 500;
/** How long a call waits when no endpoint of the pool accepts work. */
const noEndpointTimeoutMs = 300;
const noEndpointPollMs = 100;
/** Retry time given to callers when no endpoint of the pool accepts work. */
const noEndpointRetryAfterMs = 1000;
/** Retry interval while no endpoint is available exclusively for a suspect. */
const exclusivePollMs = 20;
/** How often a suspect checks that the earlier calls of this host on its endpoint have ended. */
const drainPollMs = 5;
/** Retry time for an endpoint whose owner, the host that grants its slots, is unreachable. */
const unreachableOwnerRetryAfterMs = 200;

export interface SlotSearch {
    readonly stage: StageSettings;
    readonly prompt: string;
    readonly priority: Priority;
    /** Endpoints tried before; the router ranks them last. */
    readonly avoid: ReadonlySet<EndpointId>;
    /** When the call got its permit, on the local monotonic clock. */
    readonly sinceMs: number;
    /** When the search ends, on the local monotonic clock. */
    readonly startByMs: number;
    /** True when no other call may run on the endpoint. */
    readonly alone: boolean;
    readonly signal: AbortSignal;
}

export interface NoSlot {
    readonly kind: "no-slot";
    readonly reason: "no-endpoint" | "overloaded" | "aborted" | "quarantined";
    readonly message: string;
    /** Undefined when retrying is pointless. */
    readonly retryAfterMs: number | undefined;
}

export interface FoundSlot {
    readonly slot: Slot;
    readonly choice: RouteChoice;
    /** True when no other call runs on the endpoint; always true when the search asked for it. */
    readonly alone: boolean;
    /** Ends the reservation of the endpoint, if any. */
    done(): void;
}

export interface SlotFinderServices {
    readonly router: Router;
    readonly directory: EndpointDirectory;
    readonly slots: SlotHolder;
    readonly clock: Clock;
    readonly random: Random;
}

const aborted: NoSlot = { kind: "no-slot", reason: "aborted", message: "the call was aborted", retryAfterMs: 0 };

export class SlotFinder {
    private readonly reservations: EndpointReservations;
    /** Calls that wait for a slot, by endpoint. */
    private readonly waiting = new Map<EndpointId, number>();

    public constructor(private readonly services: SlotFinderServices) {
        this.reservations = new EndpointReservations(services.clock);
    }

    /** Records whether a call of this host on the endpoint succeeded. */
    public recordEnd(endpoint: EndpointId, succeeded: boolean): void {
        this.reservations.recordEnd(endpoint, succeeded);
    }

    /** Searches until a slot is found, the signal is aborted, or further waiting cannot succeed in time. */
    public async find(search: SlotSearch): Promise<Either<NoSlot, FoundSlot>> {
        const { clock, random } = this.services;
        const noEndpointUntilMs = clock.nowMs() + noEndpointTimeoutMs;
        while (!search.signal.aborted) {
            const round = await this.tryChoices(search);
            if (round.isRight()) {
                return round;
            }
            const failure = round.extract() as NoSlot;
            const untilMs = failure.reason === "no-endpoint"
                ? Math.min(noEndpointUntilMs, search.startByMs)
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
        return Left(this.poolFailure(search, errors));
    }

    private async tryChoice(
        search: SlotSearch,
        choice: RouteChoice,
        choicesLeft: number,
    ): Promise<Either<SlotError, FoundSlot>> {
        const { clock, slots } = this.services;
        const id = choice.endpoint.id;
        if (search.alone) {
            this.reservations.reserve(id);
            await this.untilDrained(id, search);
        }
        const done = () => {
            if (search.alone) {
                this.reservations.release(id);
            }
        };
        const nowMs = clock.nowMs();
        const policy = this.waitPolicy(search, choice, nowMs);
        this.waiting.set(id, (this.waiting.get(id) ?? 0) + 1);
        const granted = await slots.acquire(id, {
            priority: policy.priority,
            deadlineMs: choicesLeft === 1 && search.priority !== overnight
                ? search.startByMs
                : Math.min(search.startByMs, nowMs + policy.timeoutMs),
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
            // A crash of a suspect that shares its endpoint proves nothing, and would fail the other calls too.
            slot.release("never-sent");
            done();
            return Left({ kind: "no-slot", endpoint: id, retryAfterMs: exclusivePollMs });
        }
        return Right({ slot, choice, alone: search.alone, done });
    }

    /**
     * Priority and maximum wait of a call at an endpoint. An overnight call that has waited too long gets the priority
     * of quick calls and an equally short wait, so that a steady stream of quick calls cannot starve it.
     */
    private waitPolicy(
        search: SlotSearch,
        choice: RouteChoice,
        nowMs: number,
    ): { priority: Priority; timeoutMs: number; } {
        if (search.priority !== overnight) {
            return { priority: search.priority, timeoutMs: choice.expectedMs * timeoutFactor };
        }
        return nowMs - search.sinceMs < overnightTimeoutMs
            ? { priority: overnight, timeoutMs: overnightTimeoutMs }
            : { priority: 0, timeoutMs: agedTimeoutMs };
    }

    /** Waits until this host has no call in flight on the endpoint, at most until the search ends. */
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
        const free = this.rank(search).filter(one => !this.reservations.isReserved(one.endpoint.id));
        if (!search.alone) {
            return free.slice(0, maxChoices);
        }
        const pool = this.services.directory.inPool(search.stage.pool);
        const quiet = free.filter(one => this.reservations.isQuiet(one.endpoint.id));
        quiet.sort((a, b) => a.endpoint.ownInFlight - b.endpoint.ownInFlight);
        return this.reservations.canReserve(pool) ? quiet.slice(0, 1) : [];
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
        if (!this.reservations.isQuiet(slot.endpoint)) {
            return false;
        }
        if (slot.exclusive !== undefined) {
            return slot.exclusive;
        }
        const view = this.services.directory.get(slot.endpoint);
        const others = view?.reported === undefined ? 0 : view.reported.running + view.reported.waiting;
        return others === 0;
    }

    /** Derives the reason for the whole pool from the errors of its endpoints. */
    private poolFailure(search: SlotSearch, errors: readonly SlotError[]): NoSlot {
        const pool = search.stage.pool;
        // Either all endpoints are reserved for exclusive calls, or none can be reserved for this one.
        if (errors.length === 0 && this.rank(search).length > 0) {
            return this.overloaded(`no endpoint of pool ${pool} is free`, exclusivePollMs);
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
            message: `no endpoint of pool ${pool} accepts new work`,
            retryAfterMs: noEndpointRetryAfterMs,
        };
    }

    private overloaded(message: string, retryAfterMs: number): NoSlot {
        return { kind: "no-slot", reason: "overloaded", message, retryAfterMs };
    }
}
