/** Opens HTTP requests; what Node throws for an address, a path or a header that it can't write becomes a value. */
import * as http from "node:http";
import { Either } from "purify-ts";

/** Creates a request as `http.request` does; the error says what it could not write. */
export function openRequest(url: string, options: http.RequestOptions): Either<string, http.ClientRequest> {
    return Either.encase(() => http.request(url, options)).mapLeft(err => err.message);
}
