/**
 * Sessions of hosts towards the records group. A session is heard of with every command; `beat` counts them. There is
 * no time here: an observer that has seen the same beat for a whole lease on its own clock asks for the session's end,
 * naming that beat, and is refused when the host was heard of meanwhile.
 */
import { compareSessions, type HolderBeat, type SessionId, type Ticket } from "./Commands.js";

interface SessionRecord {
    readonly session: SessionId;
    beat: number;
    ended: boolean;
    /** Tickets below this number are decided. */
    floor: number;
    /** Decided tickets at or above the floor. */
    closed: Set<number>;
}

export interface SessionTableSnapshot {
    readonly sessions: readonly (Omit<SessionRecord, "closed"> & { readonly closed: readonly number[]; })[];
}

/** Keeps one record for each host: its latest session. */
export class SessionTable {
    private readonly byHost = new Map<string, SessionRecord>();

    /**
     * Hears of a session. A later session of the host takes the place of the earlier one, which is returned when it
     * had not ended.
     */
    public hear(session: SessionId, floor: number): SessionId | undefined {
        const known = this.byHost.get(session.host);
        const order = known === undefined ? 1 : compareSessions(session, known.session);
        if (known !== undefined && order === 0) {
            known.beat += 1;
            this.raiseFloor(known, floor);
        }
        if (order <= 0) {
            return undefined;
        }
        this.byHost.set(session.host, { session, beat: 1, ended: false, floor, closed: new Set() });
        return known === undefined || known.ended ? undefined : known.session;
    }

    public isLive(session: SessionId): boolean {
        const known = this.byHost.get(session.host);
        return known !== undefined && !known.ended && compareSessions(session, known.session) === 0;
    }

    /** The host's latest session, when the given one is not live; undefined while it is. */
    public endedBy(session: SessionId): SessionId | undefined {
        return this.isLive(session) ? undefined : this.byHost.get(session.host)?.session;
    }

    /** Ends a session that has not been heard of since the beat; false when it has. */
    public expire(session: SessionId, beat: number): boolean {
        const known = this.byHost.get(session.host);
        if (known === undefined || !this.isLive(session) || known.beat !== beat) {
            return false;
        }
        known.ended = true;
        return true;
    }

    /** True when a ticket may still do something: its session is live and the ticket was not closed. */
    public isOpen(ticket: Ticket): boolean {
        const known = this.byHost.get(ticket.session.host);
        return known !== undefined && this.isLive(ticket.session) && ticket.seq >= known.floor
            && !known.closed.has(ticket.seq);
    }

    /** Closes a ticket, so that a command that names it does nothing from now on. */
    public close(ticket: Ticket): void {
        const known = this.byHost.get(ticket.session.host);
        if (known !== undefined && this.isLive(ticket.session) && ticket.seq >= known.floor) {
            known.closed.add(ticket.seq);
        }
    }

    public beatOf(session: SessionId): HolderBeat {
        return { session, beat: this.byHost.get(session.host)?.beat ?? 0 };
    }

    public snapshot(): SessionTableSnapshot {
        const sessions = [...this.byHost.values()].map(one => ({ ...one, closed: [...one.closed] }));
        return { sessions };
    }

    public restore(snapshot: SessionTableSnapshot): void {
        this.byHost.clear();
        for (const one of snapshot.sessions) {
            this.byHost.set(one.session.host, { ...one, closed: new Set(one.closed) });
        }
    }

    private raiseFloor(known: SessionRecord, floor: number): void {
        if (floor <= known.floor) {
            return;
        }
        known.floor = floor;
        for (const seq of known.closed) {
            if (seq < floor) {
                known.closed.delete(seq);
            }
        }
    }
}
