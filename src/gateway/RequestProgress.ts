/** How far a request of a caller has come on this host, and why this host ended its connection, if it did. */

/** A request was read whole once it is beyond "reading". */
export type RequestStage = "reading" | "admission" | "waiting" | "endpoint";

export class RequestProgress {
    /** Id of the request; undefined while it is not known. */
    public request: string | undefined;
    public stage: RequestStage = "reading";
    private cause: string | undefined;

    /** Why this host ends the connection before the answer is complete; undefined when it does not. */
    public get endCause(): string | undefined {
        return this.cause;
    }

    /** Records that this host ends the connection before the answer is complete. The first cause counts. */
    public recordEnd(cause: string): void {
        this.cause ??= cause;
    }
}
