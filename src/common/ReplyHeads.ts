/**
 * Checks the heads of replies against the grammar of HTTP/1.1 (RFC 9112), on the bytes as they arrive. The parser of
 * Node.js accepts more, depending on its version and options: status codes that don't exist, blanks in the names of
 * fields, and line ends that end a head before its last field. What it then reports is not what the peer has sent.
 */
import {
    type ClientRequest,
    type IncomingMessage,
    maxHeaderSize,
    validateHeaderName,
    validateHeaderValue,
} from "node:http";
import type { Socket } from "node:net";
import { Either } from "purify-ts";

const endOfHead = "\r\n\r\n";
const statusLine = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const firstFinalStatus = 200;
/** More than the parser takes, which does not count the separators of fields. */
const maxHeadBytes = 2 * maxHeaderSize;
/** Maximum length of what a fault quotes from a head. */
const maxQuotedLength = 40;

/** The heads of the replies to one request: interim ones (1xx), and the final one. */
export class ReplyHeadCheck {
    /** Bytes of a head that has not ended. */
    private pending: Buffer = Buffer.alloc(0);
    private fault: string | undefined;
    private final: { readonly status: number; readonly fields: number; } | undefined;
    private socket: Socket | undefined;

    /** Begins with the request's connection. Call it before the request is sent. */
    public constructor(req: ClientRequest) {
        if (req.socket === null) {
            req.once("socket", socket => this.watch(socket));
        }
        else {
            this.watch(req.socket);
        }
    }

    private get isDecided(): boolean {
        return this.fault !== undefined || this.final !== undefined;
    }

    /** Ends the check when the parser reports the final head; returns why that can't be believed, if so. */
    public end({ statusCode, rawHeaders }: IncomingMessage): string | undefined {
        this.socket?.off("data", this.onData);
        if (this.fault !== undefined) {
            return this.fault;
        }
        if (statusCode !== undefined && statusCode < firstFinalStatus) {
            return `its status is ${statusCode}`;
        }
        if (this.final === undefined) {
            return "the head does not end where the parser has ended it";
        }
        const isSame = this.final.status === statusCode && this.final.fields * 2 === rawHeaders.length;
        return isSame ? undefined : "the parser has read another head than was sent";
    }

    private watch(socket: Socket): void {
        this.socket = socket;
        // Before the listener of Node.js's client, which reports the reply while it reads these bytes.
        socket.prependListener("data", this.onData);
    }

    private readonly onData = (chunk: Buffer) => {
        if (this.isDecided) {
            return;
        }
        this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        while (!this.isDecided) {
            const end = this.pending.indexOf(endOfHead);
            if (end < 0) {
                this.fault = this.pending.length > maxHeadBytes ? "the head is too long" : undefined;
                return;
            }
            this.readHead(this.pending.toString("latin1", 0, end));
            this.pending = this.pending.subarray(end + endOfHead.length);
        }
    };

    private readHead(text: string): void {
        const [first = "", ...fields] = text.split("\r\n");
        const status = Number(statusLine.exec(first)?.[1]);
        if (Number.isNaN(status)) {
            this.fault = `its status line is malformed: ${quote(first)}`;
            return;
        }
        this.fault = fields.map(fieldFault).find(fault => fault !== undefined);
        if (status >= firstFinalStatus) {
            this.final = { status, fields: fields.length };
        }
    }
}

/** Why a line of a head is no field; undefined when it is one. */
function fieldFault(line: string): string | undefined {
    const colon = line.indexOf(":");
    const checked = Either.encase(() => {
        const name = line.slice(0, Math.max(0, colon));
        validateHeaderName(name);
        validateHeaderValue(name, line.slice(colon + 1));
    });
    return checked.isLeft() ? `a field of its head is malformed: ${quote(line)}` : undefined;
}

function quote(text: string): string {
    return JSON.stringify(text.slice(0, maxQuotedLength));
}
