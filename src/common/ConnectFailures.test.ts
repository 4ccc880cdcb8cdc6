/** Checks what errors of connections that were not made say of the other end. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ConnectFailure, connectFailureOf } from "./ConnectFailures.js";

const cases: readonly (readonly [string | undefined, ConnectFailure])[] = [
    ["ECONNREFUSED", "refused"],
    ["ECONNRESET", "refused"],
    [undefined, "refused"],
    ["EMFILE", "local"],
    ["ENFILE", "local"],
    ["ENOBUFS", "local"],
    ["ENOMEM", "local"],
    ["EADDRNOTAVAIL", "local"],
    ["ENETUNREACH", "timeout"],
    ["EHOSTUNREACH", "timeout"],
    ["ETIMEDOUT", "timeout"],
];
for (const [code, failure] of cases) {
    // Guards against an endpoint that is taken for crashed since this process has run out of a resource.
    test(`${code ?? "an error without a code"}: ${failure}`, () => {
        assert.equal(
            connectFailureOf(Object.assign(new Error("connect"), code === undefined ? {} : { code })),
            failure,
        );
    });
}
