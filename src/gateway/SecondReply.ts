/**
 * Finds a second reply in the bytes of a reply. A faulty endpoint may write a reply once more, or an earlier one. Where the
 * body ends with its connection, or the endpoint has truncated it, the second reply stands where the rest of the body is
 * expected, and nothing but its head tells the two apart. Where an earlier reply is cut in its head, the next status line
 * becomes a part of its reason phrase or of a header's value, and two heads pass for one.
 */
import type { IncomingMessage } from "node:http";

/** What a status line begins with. */
const statusLineMark = "HTTP/1.";
/** A status line, and what begins a header or ends the head. */
const beginOfHead = /HTTP\/1\.[01] [1-5]\d\d[ \w'()-]*\r\n(?:\r|[^\s:]+:)/g;
const endOfHead = "\r\n\r\n";
/** A head without its end. */
const cutHead = /HTTP\/1\.[01] [1-5]\d\d[ \w'()-]*\r\n(?:[^\s:]+:[^\r\n]*\r\n)*(?:[^\s:]+(?::[^\r\n]*)?)?\r?$/;
/** A status line without its end, as far as it can't be the name of the protocol alone. */
const cutStatusLine = /HTTP\/1\.[01] [1-5](?:\d?|\d\d(?: [\w '()-]*)?\r?)$/;
/** Holds a status line. */
const statusLineBytes = 128;
/** The parser of HTTP takes no longer head. */
const maxHeadBytes = 16 * 1024;
/** Ends the line that it has joined. In a Via header, an address may follow the name of the protocol. */
const statusLine = /HTTP\/1\.[01] [1-5]\d\d(?: |$)/;
const lineFeed = 0x0a;

/** True when a head has a second status line within it. */
export function headHoldsReply(
    { statusMessage = "", rawHeaders }: Pick<IncomingMessage, "statusMessage" | "rawHeaders">,
): boolean {
    return [statusMessage, ...rawHeaders].some(text => statusLine.test(text));
}

/**
 * True when a whole body holds the head of a reply, or ends in one. A framed body may quote one: there it counts only
 * with one of the `replyHeaders`, which endpoints alone write (names in lower case), or when it is cut. One without framing
 * that ends in a status line holds a reply as well.
 */
export function bodyHoldsReply(body: Buffer, isFramed: boolean, replyHeaders: readonly string[]): boolean {
    return (!isFramed && cutStatusLine.test(body.toString("latin1", Math.max(0, body.length - statusLineBytes))))
        || holdsHead(body, replyHeaders, () => !isFramed);
}

/**
 * True when an event of a stream holds the head of a reply. No line of an event begins like one; within a line it may be
 * quoted, and counts as in a framed body.
 */
export function eventHoldsReply(event: Buffer, replyHeaders: readonly string[]): boolean {
    return holdsHead(event, replyHeaders, at => at === 0 || event[at - 1] === lineFeed);
}

function holdsHead(bytes: Buffer, replyHeaders: readonly string[], counts: (at: number) => boolean): boolean {
    const first = bytes.indexOf(statusLineMark);
    if (first < 0) {
        return false;
    }
    // Converted once: a body may hold a million marks.
    const text = bytes.toString("latin1", first);
    if (cutHead.test(text.slice(-maxHeadBytes))) {
        return true;
    }
    let searched = 0;
    for (const { index } of text.matchAll(beginOfHead)) {
        if (index < searched) {
            continue;
        }
        const end = text.indexOf(endOfHead, index);
        searched = end < 0 ? text.length : end;
        if (counts(first + index) || hasHeader(text.slice(index, searched), replyHeaders)) {
            return true;
        }
    }
    return false;
}

function hasHeader(head: string, names: readonly string[]): boolean {
    const text = head.toLowerCase();
    return names.some(name => text.includes(`\r\n${name}:`));
}
