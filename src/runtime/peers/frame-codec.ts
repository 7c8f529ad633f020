/**
 * Codec for the frames between controllers: a big-endian length of four bytes, then a request or a response in CBOR.
 *
 * The encoded fields are `i` (request id), `q` (request) and `a` (response); short names keep the frames small.
 */
import { encode, tryDecode } from '../../wire/cbor.js';

/** A larger frame closes the connection. */
const MAX_FRAME_BYTES = 256 * 1024;
const LENGTH_PREFIX_BYTES = 4;

/** A request or the response to it. The response is null if the peer has none. */
export interface Frame {
  requestId: number;
  request?: unknown;
  response?: unknown;
}

interface EncodedFrame {
  i: number;
  q?: unknown;
  a?: unknown;
}

const encodeFrame = (frame: EncodedFrame): Buffer => {
  const body = encode(frame);
  const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
};

/** Encodes a request. */
export const encodeRequestFrame = (requestId: number, request: unknown): Buffer =>
  encodeFrame({ i: requestId, q: request });

/** Encodes a response. */
export const encodeResponseFrame = (requestId: number, response: unknown): Buffer =>
  encodeFrame({ i: requestId, a: response });

/** Returns null for a malformed frame. */
const decodeFrame = (body: Buffer): Frame | null => {
  const value = tryDecode(body);
  if (typeof value !== 'object' || value === null) return null;
  const { i, q, a } = value as EncodedFrame;
  return typeof i === 'number' ? { requestId: i, request: q, response: a } : null;
};

/** Splits a byte stream into frames. */
export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  /** Returns the frames that this chunk completes, or null if the stream contains an oversized or malformed frame. */
  push(chunk: Buffer): Frame[] | null {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    const frames: Frame[] = [];
    while (this.buffer.length >= LENGTH_PREFIX_BYTES) {
      const end = LENGTH_PREFIX_BYTES + this.buffer.readUInt32BE(0);
      if (end > LENGTH_PREFIX_BYTES + MAX_FRAME_BYTES) return null;
      if (this.buffer.length < end) break;
      const frame = decodeFrame(this.buffer.subarray(LENGTH_PREFIX_BYTES, end));
      this.buffer = this.buffer.subarray(end);
      if (frame === null) return null;
      frames.push(frame);
    }
    return frames;
  }
}
