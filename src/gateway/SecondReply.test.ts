import assert from "node:assert/strict";
import { test } from "node:test";
import { bodyHoldsReply, eventHoldsReply, headHoldsReply } from "./SecondReply.js";

const names = ["x-id", "x-stamp"];
const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n";
const quoted = "HTTP/1.1 404 Not Found\r\nServer: a\r\n\r\n";

interface Case {
    readonly name: string;
    readonly text: string;
    /** Whether a second reply begins in it, as a body with a length or chunks, as one without, and as an event. */
    readonly framed: boolean;
    readonly unframed: boolean;
    readonly event: boolean;
}

const none = { framed: false, unframed: false, event: false };
const all = { framed: true, unframed: true, event: true };
const cases: readonly Case[] = [
    { name: "nothing", text: "", ...none },
    { name: "other text", text: "HTTP/ and HTTP/1.1, HTTP/1.1 2000", ...none },
    { name: "a log line", text: "\"GET / HTTP/1.1\" 200 4\r\nHTTP/1.1 200\n", ...none },
    { name: "a status line in a sentence", text: "It replied HTTP/1.1 200 OK.", ...none },
    { name: "a head with line feeds only", text: "a HTTP/1.1 200 OK\nX-Id: 1\n\n", ...none },
    { name: "a status line in JSON", text: "{\"line\":\"HTTP/1.1 200 OK\\r\\nX-Id: 1\"}\r\n", ...none },
    { name: "a quoted status line in an event", text: "data: HTTP/1.1 200 OK\n\n", ...none },
    { name: "a head of an endpoint", text: `good${head}bad`, ...all },
    { name: "such a head alone", text: head, ...all },
    { name: "such a head of HTTP/1.0", text: `good${head.replace("1.1", "1.0")}`, ...all },
    { name: "such a head with names in lower case", text: `good${head.toLowerCase().replace("http", "HTTP")}`, ...all },
    { name: "such a head behind a quoted one", text: `see ${quoted}good${head}`, ...all },
    { name: "a quoted head", text: `see ${quoted}`, framed: false, unframed: true, event: false },
    { name: "a quoted head on a line of its own", text: `see\n${quoted}`, framed: false, unframed: true, event: true },
    { name: "an interim reply", text: "HTTP/1.1 103 X\r\n\r\n", framed: false, unframed: true, event: true },
    { name: "a status line alone", text: "goodHTTP/1.1 200 OK\r\n", ...all },
    { name: "a name of the protocol at the end", text: "good, by HTTP/1.1", ...none },
    { name: "a status line cut in its status", text: "goodHTTP/1.1 2", framed: false, unframed: true, event: false },
    {
        name: "a status line cut in its reason",
        text: "goodHTTP/1.1 200 O",
        framed: false,
        unframed: true,
        event: false,
    },
    {
        name: "a status line cut in its end",
        text: "goodHTTP/1.0 200 OK\r",
        framed: false,
        unframed: true,
        event: false,
    },
    { name: "a head that is cut in a name", text: "goodHTTP/1.1 200 OK\r\nX", ...all },
    { name: "a head that is cut in a value", text: "goodHTTP/1.1 200 OK\r\nA: b\r\nC: d", ...all },
    { name: "a head that is cut between its last bytes", text: "goodHTTP/1.1 200 OK\r\nA: b\r\n\r", ...all },
];

for (const { name, text, framed, unframed, event } of cases) {
    // Guards against a second reply that is taken for a part of a body, and against bodies that can't be delivered.
    test(`a second reply is told from what else a body may hold: ${name}`, () => {
        const bytes = Buffer.from(text);
        const found = [
            bodyHoldsReply(bytes, true, names),
            bodyHoldsReply(bytes, false, names),
            eventHoldsReply(bytes, names),
        ];
        assert.deepEqual(found, [framed, unframed, event]);
    });
}

const values: readonly { readonly value: string; readonly isJoined: boolean; }[] = [
    { value: "HTTP/1.1 proxy.example", isJoined: false },
    { value: "HTTP/1.1 192.168.0.1", isJoined: false },
    { value: "HTTP/1.1 127.0.0.1:3128 (proxy), HTTP/1.1 100-a", isJoined: false },
    { value: "HTTP/1.1 2000", isJoined: false },
    { value: "HTTP/1.1 200", isJoined: true },
    { value: "HTTP/1.1 200 OK", isJoined: true },
    { value: "1HTTP/1.0 503 Service Unavailable", isJoined: true },
];

for (const { value, isJoined } of values) {
    // Guards against sound replies that are rejected because of the hosts that they name, and against joined heads.
    test(`a header with the value "${value}" ${isJoined ? "holds" : "does not hold"} a second status line`, () => {
        const res = { statusMessage: "OK", rawHeaders: ["Via", value] };
        assert.equal(headHoldsReply(res), isJoined);
    });
}

const long = (part: string) => Buffer.alloc(16 * 1024 * 1024, part);
const repeated: readonly string[] = [
    "HTTP/1.",
    "HTTP/1.1 ",
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\nA: ",
    "A: HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
];

for (const part of repeated) {
    // Guards against the time that converting the same bytes again takes, in which this host does nothing else.
    test(`a body that repeats ${JSON.stringify(part)} is read once`, () => {
        let reads = 0;
        const body = long(part);
        const toString = body.toString.bind(body);
        body.toString = (...args) => {
            const text = toString(...args);
            reads += text.length;
            return text;
        };
        bodyHoldsReply(body, true, names);
        assert.ok(reads <= body.length, `${reads} bytes of ${body.length}`);
    });
}
