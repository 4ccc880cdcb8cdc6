/** Checks whether a failed call may have reached its peer. */
import assert from "node:assert/strict";
import * as http from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { httpFetch, HttpFetchError } from "./HttpFetch.js";

for (const code of ["EMFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ECONNREFUSED"]) {
    // Guards against a call that counts as delivered, and isn't sent again, though no connection was made.
    test(`${code} that connect raises at once: the call was not delivered`, async t => {
        t.mock.method(Socket.prototype, "connect", function(this: Socket & { connecting: boolean; }) {
            this.connecting = true;
            process.nextTick(() => {
                this.connecting = false;
                this.destroy(Object.assign(new Error(`connect ${code}`), { code }));
            });
            return this;
        });
        const sent = httpFetch(
            new http.Agent(),
            "http://127.0.0.1:1/",
            { method: "POST", body: "{}" },
            () => undefined,
        );
        await assert.rejects(sent, (err: unknown) => {
            assert.ok(err instanceof HttpFetchError);
            assert.deepEqual([err.delivered, err.notListening], [false, code === "ECONNREFUSED"]);
            return true;
        });
    });
}
