/**
 * Frames between controllers: a length of four bytes, then a request or a response in CBOR.
 *
 * The encoded fields are `i` (the request's id), `q` (the request) and `a` (the response): they go with each message.
 */
import { encode, tryDecode } from '../../wire/cbor.js';

/** Larger frames end the connection. */
const MAX_FRAME_BYTES = 256 * 1024;
const LENGTH_PREFIX_BYTES = 4;

/** A request, or the response to it; one that can't say responds null. */
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

/** The bytes of a request. */
export const encodeRequestFrame = (requestId: number, request: unknown): Buffer =>
  encodeFrame({ i: requestId, q: request });

/** The bytes of a response. */
export const encodeResponseFrame = (requestId: number, response: unknown): Buffer =>
  encodeFrame({ i: requestId, a: response });

/** Null for what is no frame. */
const decodeFrame = (body: Buffer): Frame | null => {
  const value = tryDecode(body);
  if (typeof value !== 'object' || value === null) return null;
  const { i, q, a } = value as EncodedFrame;
  return typeof i === 'number' ? { requestId: i, request: q, response: a } : null;
};

/** Splits a byte stream into frames. */
export class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  /** The frames that this chunk completes; null once the stream is broken. */
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
