/** A 32-bit text hash that must stay the same on every host and in every version: FNV-1a with a final bit mixer. */

const fnvOffset = 0x811C9DC5;
const fnvPrime = 0x01000193;

/** Returns the hash as an unsigned 32-bit integer. */
export function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85EBCA6B);
    hash = Math.imul(hash ^ (hash >>> 13), 0xC2B2AE35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
