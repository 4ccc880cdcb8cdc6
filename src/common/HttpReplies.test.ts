/** Checks which replies reach their readers, also with a lenient parser, as older and otherwise started processes have. */
import assert from "node:assert/strict";
import * as http from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { onReply } from "./HttpReplies.js";

let serve: (socket: Socket) => void = () => undefined;
const server = createServer(socket => {
    socket.on("error", () => undefined);
    socket.once("data", () => serve(socket));
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));
after(() => void server.close());

/** What the reader of a reply gets: its body, or why there is none. */
function ask(insecureHTTPParser: boolean): Promise<string> {
    return new Promise(resolve => {
        const { port } = server.address() as AddressInfo;
        const req = http.request({ host: "127.0.0.1", port, agent: false, insecureHTTPParser });
        req.on("error", () => resolve("error"));
        onReply(req, {
            read: res => {
                let body = "";
                res.on("data", (chunk: Buffer) => body += chunk.toString());
                res.on("error", () => resolve("error"));
                res.on("end", () => resolve(`body ${body}`));
            },
            fail: ({ kind }) => {
                resolve(kind);
                req.destroy();
            },
        });
        req.end();
    });
}

const okLine = "HTTP/1.1 200 OK\r\n";
const length = "Content-Length: 3\r\n";
const oddHeads = [
    { name: "a blank before the first name", text: `${okLine} X: v\r\n${length}\r\nabc` },
    { name: "a folded line", text: `${okLine}X: v\r\n w\r\n${length}\r\nabc` },
    { name: "a blank behind the name of the length", text: `${okLine}Content-Length : 3\r\n\r\nabc` },
    { name: "a blank behind the name of the transfer coding", text: `${okLine}Transfer-Encoding : chunked\r\n\r\nabc` },
    { name: "a line that begins with CR", text: `${okLine}\rX: v\r\n${length}\r\nabc` },
    { name: "a line that begins with LF", text: `${okLine}Y: w\r\n\nX: v\r\n${length}\r\nabc` },
    { name: "a bare LF between two fields", text: `${okLine}X: v\n${length}\r\nabc` },
    { name: "a control byte in a value", text: `${okLine}X: \x01v\r\n${length}\r\nabc` },
    { name: "status 000", text: `HTTP/1.1 000 OK\r\n${length}\r\nabc` },
];
const soundHeads = [
    { name: "a length", text: `${okLine}${length}\r\nabc` },
    { name: "chunks", text: `${okLine}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n` },
    { name: "neither", text: `${okLine}\r\nabc` },
    { name: "an interim head", text: `HTTP/1.1 103 Early Hints\r\nX: v\r\n\r\n${okLine}${length}\r\nabc` },
];

for (const isLenient of [false, true]) {
    const parser = isLenient ? "a lenient parser" : "a strict parser";
    for (const { name, text } of oddHeads) {
        // Guards against a head that is not HTTP and passes because of how this process was started.
        test(`a reply with an odd head does not reach its reader, with ${parser}: ${name}`, async () => {
            serve = socket => socket.end(Buffer.from(text, "latin1"));
            const outcome = await ask(isLenient);
            assert.ok(outcome === "malformed-head" || outcome === "error", outcome);
        });
    }

    for (const { name, text } of soundHeads) {
        // Guards against sound replies that are refused.
        test(`a sound reply reaches its reader, with ${parser}: ${name}`, async () => {
            serve = socket => socket.end(text);
            assert.equal(await ask(isLenient), "body abc");
        });
    }
}

// Guards against a reset that Node.js reports as the end of a reply.
test("a reply without a length that is reset with its bytes does not reach its end", async () => {
    serve = socket => socket.write(`${okLine}\r\nab`, () => socket.resetAndDestroy());
    assert.equal(await ask(false), "reset");
});

// Guards against a complete reply that counts as broken because of what follows.
test("a reply with a length reaches its end when the connection is reset behind it", async () => {
    serve = socket => socket.write(`${okLine}${length}\r\nabc`, () => socket.resetAndDestroy());
    assert.equal(await ask(false), "body abc");
});
