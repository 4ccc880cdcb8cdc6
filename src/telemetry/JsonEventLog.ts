/** Event log that writes one JSON object per line through tslog: stamp, host, event number, event name, fields. */
import { Either } from "purify-ts";
import { Logger } from "tslog";
import type { HostId } from "../common/Types.js";
import { EventId } from "./Events.js";
import type { EventFields, EventLog, HybridClock } from "./Types.js";

/** Receives one complete line, without its line terminator. */
export type LineSink = (line: string) => void;

interface EventRecord extends EventFields {
    readonly hlc: string;
    readonly host: string;
    readonly event: number;
    readonly name: string;
}

export class JsonEventLog implements EventLog {
    private readonly logger: Logger<EventRecord>;

    public constructor(
        private readonly host: HostId,
        private readonly clock: HybridClock,
        private readonly sink: LineSink,
        private readonly fields: EventFields = {},
    ) {
        this.logger = new Logger<EventRecord>({
            type: "hidden",
            hideLogPositionForProduction: true,
            argumentsArrayName: "records",
            maskValuesOfKeys: [],
        });
        this.logger.attachTransport(logged => {
            const [record] = (logged as unknown as { readonly records: readonly [EventRecord]; }).records;
            this.sink(formatLine(record));
        });
    }

    public event(id: EventId, fields: EventFields = {}): void {
        this.logger.info({
            ...this.fields,
            ...fields,
            hlc: this.clock.stamp(),
            host: this.host,
            event: id,
            name: EventId[id],
        });
    }

    public with(fields: EventFields): EventLog {
        return new JsonEventLog(this.host, this.clock, this.sink, { ...this.fields, ...fields });
    }
}

/** Fields may hold a value of another process that is nested too deeply to be written. */
function formatLine(record: EventRecord): string {
    const { hlc, host, event, name } = record;
    return Either.encase(() => JSON.stringify(record)).caseOf({
        Left: ({ message }) => JSON.stringify({ hlc, host, event, name, unwritable: message }),
        Right: line => line,
    });
}
