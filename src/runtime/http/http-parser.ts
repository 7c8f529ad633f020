/** Incremental HTTP/1.1 message parser for requests and responses. */
import { bodyFraming, parseHead, type HttpMessageKind } from './http-head.js';
import { excerpt, HttpError, type HttpMessage } from './http-message.js';
import { HTTP_STATUS } from './http-status.js';

/** Limits on the size of a message. */
export interface HttpParserLimits {
  headerBytes: number;
  headerCount: number;
  bodyBytes: number;
}

/** The part of a message that the parser reads next; `remaining` is the number of bytes left of a body or chunk. */
type ParserState =
  | { phase: 'head' }
  | { phase: 'body'; remaining: number }
  | { phase: 'until-close' }
  | { phase: 'chunk-size' }
  | { phase: 'chunk-data'; remaining: number }
  | { phase: 'chunk-end' }
  | { phase: 'trailer' };

const EMPTY = Buffer.alloc(0);
const CRLF = Buffer.from('\r\n');
const HEAD_END = Buffer.from('\r\n\r\n');
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;
const MAX_CHUNK_LINE_BYTES = 256;

/** Parses the messages of one connection in sequence. */
export class HttpParser {
  private buffer: Buffer = EMPTY;
  private state: ParserState = { phase: 'head' };
  private message: HttpMessage | null = null;
  private bodyParts: Buffer[] = [];
  private bodySize = 0;

  constructor(
    private readonly kind: HttpMessageKind,
    private readonly limits: HttpParserLimits,
  ) {}

  /** Returns the messages that this chunk of input completes. Throws HttpError on malformed or oversized input. */
  push(chunk: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    const completed: HttpMessage[] = [];
    while (this.step(completed));
    return completed;
  }

  /** Called when the connection is closed; returns the response whose body ends with the connection, if any. */
  finish(): HttpMessage | null {
    if (this.state.phase !== 'until-close') return null;
    const completed: HttpMessage[] = [];
    this.complete(completed);
    return completed[0] ?? null;
  }

  /** Parses one part of a message; returns false if it needs more input. */
  private step(completed: HttpMessage[]): boolean {
    switch (this.state.phase) {
      case 'head':
        return this.readHead(completed);
      case 'body':
      case 'chunk-data':
        return this.readData(completed, this.state);
      case 'until-close':
        if (this.buffer.length > 0) this.moveToBody(this.buffer.length);
        return false;
      case 'chunk-size':
        return this.readChunkSize();
      case 'chunk-end':
        return this.readChunkEnd();
      case 'trailer':
        return this.readTrailer(completed);
    }
  }

  private readHead(completed: HttpMessage[]): boolean {
    // RFC 9112 allows empty lines before a message.
    while (this.buffer.length >= 2 && this.buffer[0] === CARRIAGE_RETURN && this.buffer[1] === LINE_FEED)
      this.buffer = this.buffer.subarray(CRLF.length);
    const end = this.buffer.indexOf(HEAD_END);
    if (end < 0 || end > this.limits.headerBytes) {
      if (this.buffer.length > this.limits.headerBytes)
        throw new HttpError(
          HTTP_STATUS.headersTooLarge,
          `header exceeds the limit of ${this.limits.headerBytes} bytes`,
        );
      return false;
    }
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + HEAD_END.length);
    if (lines.length - 1 > this.limits.headerCount)
      throw new HttpError(
        HTTP_STATUS.headersTooLarge,
        `${lines.length - 1} header fields exceed the limit of ${this.limits.headerCount}`,
      );
    const message = parseHead(this.kind, lines);
    this.message = message;
    this.state = this.bodyState(message);
    if (this.state.phase === 'body' && this.state.remaining === 0) this.complete(completed);
    return true;
  }

  private bodyState(message: HttpMessage): ParserState {
    const framing = bodyFraming(this.kind, message, this.limits.bodyBytes);
    switch (framing.kind) {
      case 'length':
        return { phase: 'body', remaining: framing.bytes };
      case 'chunked':
        return { phase: 'chunk-size' };
      case 'until-close':
        return { phase: 'until-close' };
    }
  }

  private readData(
    completed: HttpMessage[],
    state: { phase: 'body' | 'chunk-data'; remaining: number },
  ): boolean {
    if (this.buffer.length === 0) return false;
    const available = Math.min(state.remaining, this.buffer.length);
    this.moveToBody(available);
    state.remaining -= available;
    if (state.remaining > 0) return false;
    if (state.phase === 'body') this.complete(completed);
    else this.state = { phase: 'chunk-end' };
    return true;
  }

  private readChunkSize(): boolean {
    const line = this.takeLine(MAX_CHUNK_LINE_BYTES);
    if (line === null) return false;
    const hex = line.split(';', 1)[0].trim();
    if (!CHUNK_SIZE.test(hex))
      throw new HttpError(
        HTTP_STATUS.badRequest,
        `chunk size: expected up to 8 hexadecimal digits, got ${excerpt(hex)}`,
      );
    const remaining = parseInt(hex, 16);
    if (this.bodySize + remaining > this.limits.bodyBytes)
      throw new HttpError(
        HTTP_STATUS.contentTooLarge,
        `body exceeds the limit of ${this.limits.bodyBytes} bytes`,
      );
    this.state = remaining === 0 ? { phase: 'trailer' } : { phase: 'chunk-data', remaining };
    return true;
  }

  private readChunkEnd(): boolean {
    const line = this.takeLine(MAX_CHUNK_LINE_BYTES);
    if (line === null) return false;
    if (line !== '')
      throw new HttpError(HTTP_STATUS.badRequest, `expected a line end after a chunk, got ${excerpt(line)}`);
    this.state = { phase: 'chunk-size' };
    return true;
  }

  private readTrailer(completed: HttpMessage[]): boolean {
    const line = this.takeLine(this.limits.headerBytes);
    if (line === null) return false;
    if (line === '') this.complete(completed);
    return true;
  }

  /** Moves `byteCount` bytes from the input buffer to the body. */
  private moveToBody(byteCount: number): void {
    this.bodySize += byteCount;
    if (this.bodySize > this.limits.bodyBytes)
      throw new HttpError(
        HTTP_STATUS.contentTooLarge,
        `body exceeds the limit of ${this.limits.bodyBytes} bytes`,
      );
    this.bodyParts.push(this.buffer.subarray(0, byteCount));
    this.buffer = this.buffer.subarray(byteCount);
  }

  private takeLine(maxBytes: number): string | null {
    const end = this.buffer.indexOf(CRLF);
    if (end < 0 || end > maxBytes) {
      if (this.buffer.length > maxBytes)
        throw new HttpError(HTTP_STATUS.badRequest, `line exceeds the limit of ${maxBytes} bytes`);
      return null;
    }
    const line = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + CRLF.length);
    return line;
  }

  private complete(completed: HttpMessage[]): void {
    const message = this.message!;
    message.body = this.bodyParts.length === 1 ? this.bodyParts[0] : Buffer.concat(this.bodyParts);
    completed.push(message);
    this.message = null;
    this.bodyParts = [];
    this.bodySize = 0;
    this.state = { phase: 'head' };
  }
}
