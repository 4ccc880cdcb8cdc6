/** Checks which bytes of a connection the HTTP parser gets, on a connection without network. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { type InputSocket, PipelinedInput } from "./PipelinedInput.js";

/** A connection whose server takes each blank line for the end of a request, and answers when told to. */
class Connection extends EventEmitter {
    public destroyed = false;
    public parsed = "";
    public open = 0;
    public begun = 0;
    public readonly ends: string[] = [];
    public readonly input: PipelinedInput;
    private paused = false;
    private serverPauses = false;

    public constructor(private readonly maxOpen: number) {
        super();
        this.input = new PipelinedInput(
            this as unknown as InputSocket,
            {
                received: () => undefined,
                parse: bytes => this.parse(bytes),
                end: () => this.ends.push("end"),
                cutOff: () => this.ends.push("cut off"),
                isFull: () => this.open >= this.maxOpen,
            },
        );
    }

    public pause(): this {
        this.paused = true;
        return this;
    }

    public resume(): this {
        this.paused = false;
        this.emit("resume");
        return this;
    }

    public isPaused(): boolean {
        return this.paused;
    }

    /** Lets the server pause the connection after the next part, as it does while an answer is not taken. */
    public pauseAfterPart(): void {
        this.serverPauses = true;
    }

    public receive(text: string): void {
        this.emit("data", Buffer.from(text));
    }

    /** Answers the first open request. */
    public answer(): void {
        this.open -= 1;
        this.input.continue();
    }

    private parse(bytes: Buffer): void {
        const before = this.parsed.split("\r\n\r\n").length;
        this.parsed += bytes.toString();
        const begun = this.parsed.split("\r\n\r\n").length - before;
        this.begun += begun;
        this.open += begun;
        if (this.serverPauses) {
            this.serverPauses = false;
            this.pause();
        }
    }
}

const request = (id: number, bytes: number) => `GET /${id} ${"x".repeat(bytes)}\r\n\r\n`;
const requests = (count: number, bytes: number) =>
    Array.from({ length: count }, (_, id) => request(id, bytes)).join("");

/** Parts of this size may hold several requests. */
const partBytes = 64;

const sizes: readonly { readonly bytes: number; readonly reads: number; }[] = [
    { bytes: 10, reads: 1 },
    { bytes: 100, reads: 1 },
    { bytes: 100, reads: 7 },
    { bytes: 1000, reads: 1 },
    { bytes: 16_000, reads: 50 },
];
for (const { bytes, reads } of sizes) {
    const maxBegun = 1 + Math.ceil(partBytes / request(0, bytes).length);
    const name = `pipelined requests of ${bytes} bytes in ${reads} reads`;
    // Guards against a process that all requests of one read fill with objects before the first is answered.
    test(`${name}: ${maxBegun} at most begin before the first answer, and all are parsed in order`, () => {
        const connection = new Connection(1);
        const text = requests(60, bytes);
        const readBytes = Math.ceil(text.length / reads);
        let at = 0;
        for (let turns = 0; at < text.length || connection.open > 0; turns++) {
            assert.ok(turns < 10_000, "the input stalls");
            assert.ok(connection.open <= maxBegun, `${connection.open} requests`);
            if (!connection.isPaused() && at < text.length) {
                connection.receive(text.slice(at, at + readBytes));
                at += readBytes;
            }
            else {
                connection.answer();
            }
        }
        assert.equal(connection.parsed, text);
        assert.equal(connection.begun, 60);
        assert.equal(connection.input.heldBytes, 0);
    });
}

// Guards against a caller that has left and whose request goes on, since its connection isn't read.
test("a connection with one request in progress is read on, and one that sends far more is not", () => {
    const connection = new Connection(1);
    connection.receive(request(0, 1000));
    assert.equal(connection.isPaused(), false);
    connection.receive(request(1, 15_000));
    assert.equal(connection.isPaused(), false);
    connection.receive(request(2, 15_000));
    assert.equal(connection.isPaused(), true);
    connection.answer();
    assert.equal(connection.isPaused(), false);
    assert.equal(connection.begun, 2);
});

// Guards against bytes that the parser gets while it is paused, which it takes for an invalid request.
test("nothing is parsed while the server has paused the connection, and all of it afterwards", () => {
    const connection = new Connection(1);
    connection.pauseAfterPart();
    connection.receive(requests(3, 1000));
    connection.answer();
    assert.equal(connection.begun, 1);
    assert.equal(connection.isPaused(), true);
    connection.resume();
    assert.equal(connection.begun, 2);
    connection.answer();
    assert.equal(connection.begun, 3);
});

// Guards against a pause by the server that is missed, since the connection was paused for its held bytes before.
test("nothing is parsed after a pause by the server that follows one for held bytes", () => {
    const connection = new Connection(1);
    connection.receive(requests(40, 1000));
    assert.equal(connection.isPaused(), true);
    connection.pauseAfterPart();
    connection.answer();
    assert.equal(connection.begun, 2);
    connection.answer();
    assert.equal(connection.begun, 2);
    connection.resume();
    assert.equal(connection.begun, 3);
});

// Guards against answers that are lost since the caller has ended its direction behind them.
test("the end of a connection is passed on, unless bytes are held, which are discarded", () => {
    const connection = new Connection(1);
    connection.receive(request(0, 1000));
    connection.emit("end");
    assert.deepEqual(connection.ends, ["end"]);
    const other = new Connection(1);
    other.receive(requests(2, 1000));
    other.emit("end");
    other.answer();
    assert.deepEqual([other.ends, other.begun], [["cut off"], 1]);
});

// Guards against memory that a closed connection holds on to.
test("a closed connection holds nothing", () => {
    const connection = new Connection(1);
    connection.receive(requests(3, 1000));
    assert.ok(connection.input.heldBytes > 0);
    connection.destroyed = true;
    connection.emit("close");
    assert.equal(connection.input.heldBytes, 0);
});
