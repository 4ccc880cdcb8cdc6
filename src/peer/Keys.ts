/** Constant-time comparison of shared keys. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Header that carries the key of a peer or an operator. */
export const keyHeader = "fireflykeel-key";

/** True when the presented key equals the expected one; false when no key was presented. */
export function keyMatches(expected: string, presented: string | string[] | undefined): boolean {
    if (typeof presented !== "string") {
        return false;
    }
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(expected), digest(presented));
}
