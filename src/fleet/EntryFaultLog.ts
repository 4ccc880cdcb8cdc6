/** Logs the entries of lists that name no endpoint: each once, although a list is read again and again. */
import { BoundedMap } from "../common/BoundedMap.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { EntryFault } from "./Types.js";

/** Maximum number of lines on one list, whose entries may differ with each read. */
const maxLines = 8;
const maxRemembered = 4096;

export class EntryFaultLog {
    private readonly logged = new BoundedMap<string, EntryFault>(maxRemembered);

    public constructor(private readonly log: EventLog) {}

    /** Logs the faults that are new; `from` names the host that has passed the list on. */
    public record(faults: readonly EntryFault[], from?: string): void {
        const isNew = ({ entry, cause }: EntryFault) => this.logged.get(entry)?.cause !== cause;
        for (const fault of faults.filter(isNew).slice(0, maxLines)) {
            this.logged.set(fault.entry, fault);
            this.log.event(EventId.EndpointEntryUnreadable, { ...fault, ofList: faults.length, from });
        }
    }
}
