/**
 * Sessions of hosts with the records group. Every command of a session is a heartbeat, and `beat` counts them. The
 * table uses no time: an observer that has seen the same count for a whole lease on its own clock requests the end of
 * the session with that count, and is refused if the count has risen since.
 */
import { compareSessions, type HolderHeartbeat, type SessionId, type Ticket } from "./Commands.js";

interface SessionRecord {
    readonly session: SessionId;
    beat: number;
    ended: boolean;
    /** Tickets below this number are closed. */
    floor: number;
    /** Closed tickets at or above the floor. */
    closed: Set<number>;
}

export interface SessionTableSnapshot {
    readonly sessions: readonly (Omit<SessionRecord, "closed"> & { readonly closed: readonly number[]; })[];
}

/** Keeps one record for each host: its latest session. */
export class SessionTable {
    private readonly byHost = new Map<string, SessionRecord>();

    /**
     * Counts a heartbeat of a session. A later session of a host replaces the earlier one, which is returned if it had
     * not ended.
     */
    public recordHeartbeat(session: SessionId, floor: number): SessionId | undefined {
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

    /** The host's latest session if the given one is not live; undefined while it is. */
    public endedBy(session: SessionId): SessionId | undefined {
        return this.isLive(session) ? undefined : this.byHost.get(session.host)?.session;
    }

    /** Ends a live session whose heartbeat count is still `beat`; false otherwise. */
    public expire(session: SessionId, beat: number): boolean {
        const known = this.byHost.get(session.host);
        if (known === undefined || !this.isLive(session) || known.beat !== beat) {
            return false;
        }
        known.ended = true;
        return true;
    }

    /** True while a ticket may be used: its session is live and the ticket is not closed. */
    public isOpen(ticket: Ticket): boolean {
        const known = this.byHost.get(ticket.session.host);
        return known !== undefined && this.isLive(ticket.session) && ticket.seq >= known.floor
            && !known.closed.has(ticket.seq);
    }

    /** Closes a ticket, so that commands that name it have no effect from now on. */
    public close(ticket: Ticket): void {
        const known = this.byHost.get(ticket.session.host);
        if (known !== undefined && this.isLive(ticket.session) && ticket.seq >= known.floor) {
            known.closed.add(ticket.seq);
        }
    }

    public heartbeatOf(session: SessionId): HolderHeartbeat {
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
