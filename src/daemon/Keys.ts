/** Reads the shared keys of peers and operators from the files given in the settings. */
import { readFileSync } from "node:fs";
import { Either, Left } from "purify-ts";
import type { DaemonSettings } from "../config/Schema.js";

export interface DaemonKeys {
    readonly peerKey: string;
    /** Undefined disables the operators' API. */
    readonly operatorKey: string | undefined;
}

export interface KeyError {
    readonly kind: "bad-key";
    readonly message: string;
}

const minKeyLength = 16;

/** Reads both keys. Returns an error if a key file can't be read or a key is shorter than 16 characters. */
export function readKeys(daemon: DaemonSettings): Either<KeyError, DaemonKeys> {
    if (daemon.peerKeyFile === undefined) {
        return Left({ kind: "bad-key", message: "daemon.peerKeyFile is not set" });
    }
    const operatorKey = daemon.operatorKeyFile === undefined
        ? Either.of<KeyError, string | undefined>(undefined)
        : readKey(daemon.operatorKeyFile);
    return readKey(daemon.peerKeyFile).chain(peerKey => operatorKey.map(key => ({ peerKey, operatorKey: key })));
}

function readKey(file: string): Either<KeyError, string> {
    return Either.encase(() => readFileSync(file, "utf8").trim())
        .mapLeft<KeyError>(err => ({ kind: "bad-key", message: `the key file can't be read: ${err.message}` }))
        .chain(key =>
            key.length < minKeyLength
                ? Left<KeyError, string>({
                    kind: "bad-key",
                    message: `${file}: a key must have at least ${minKeyLength} characters`,
                })
                : Either.of<KeyError, string>(key)
        );
}
