/**
 * Framing of records on disk. A frame is a header (payload length, checksum of the payload, checksum of the header),
 * the payload, and one trailer byte that is never zero.
 *
 * The format distinguishes an unfinished write from damage. An unfinished write leaves a file that ends within its last
 * frame, or that contains only zeros from some point within a frame to the end; such a tail was never acknowledged and
 * is cut off. Any other invalid frame was once complete and may have been acknowledged, so it is reported as damage.
 */
import { crc32 } from "node:zlib";
import { type Either, Left, Right } from "purify-ts";

const headerBytes = 12;
const trailerBytes = 1;
/** Value of the trailer byte: not zero, so that the zeros of an unfinished write are never taken for it. */
const trailer = 0xA5;

export interface FrameDamage {
    /** Offset of the damaged frame in the file, in bytes. */
    readonly offset: number;
    readonly message: string;
}

export interface ParsedFrames {
    readonly payloads: readonly Uint8Array[];
    /** Total length of the complete frames; bytes beyond it belong to an unfinished write. */
    readonly wholeBytes: number;
}

export function encodeFrame(payload: Uint8Array): Uint8Array {
    const frame = Buffer.alloc(headerBytes + payload.length + trailerBytes);
    frame.writeUInt32LE(payload.length, 0);
    frame.writeUInt32LE(crc32(payload), 4);
    frame.writeUInt32LE(crc32(frame.subarray(0, 8)), 8);
    frame.set(payload, headerBytes);
    frame[frame.length - 1] = trailer;
    return frame;
}

/** Splits a file into payloads; fails at the first damaged frame. */
export function parseFrames(file: Uint8Array): Either<FrameDamage, ParsedFrames> {
    const data = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
    const zerosFrom = startOfTrailingZeros(data);
    const payloads: Uint8Array[] = [];
    let offset = 0;
    while (data.length - offset >= headerBytes) {
        const isHeaderValid = crc32(data.subarray(offset, offset + 8)) === data.readUInt32LE(offset + 8);
        if (!isHeaderValid) {
            return zerosFrom < offset + headerBytes
                ? Right({ payloads, wholeBytes: offset })
                : Left({ offset, message: "bad header checksum" });
        }
        const length = data.readUInt32LE(offset);
        const end = offset + headerBytes + length + trailerBytes;
        if (end > data.length) {
            return Right({ payloads, wholeBytes: offset });
        }
        const payload = data.subarray(offset + headerBytes, end - trailerBytes);
        if (crc32(payload) !== data.readUInt32LE(offset + 4) || data[end - 1] !== trailer) {
            return zerosFrom < end
                ? Right({ payloads, wholeBytes: offset })
                : Left({ offset, message: "bad checksum" });
        }
        payloads.push(payload);
        offset = end;
    }
    return Right({ payloads, wholeBytes: offset });
}

/** Offset of the zeros that an unfinished write has left at the end of a file; the file's length if there are none. */
function startOfTrailingZeros(data: Uint8Array): number {
    let start = data.length;
    while (start > 0 && data[start - 1] === 0) {
        start -= 1;
    }
    return start;
}
