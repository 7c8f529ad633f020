// HTTP/1.1 message parser, for requests and responses. Feed it whatever a socket delivers.

export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export interface HttpMessage {
  /** Requests: method and target. Responses: empty. */
  method: string;
  target: string;
  /** Responses: the status. Requests: 0. */
  status: number;
  headers: Map<string, string>;
  keepAlive: boolean;
  body: Buffer;
}

export interface HttpParserLimits {
  headerBytes: number;
  headerCount: number;
  bodyBytes: number;
}

type Stage =
  | { at: 'head' }
  | { at: 'body'; need: number }
  | { at: 'until-close' }
  | { at: 'chunk-size' }
  | { at: 'chunk-data'; need: number }
  | { at: 'chunk-end' }
  | { at: 'trailer' };

const EMPTY = Buffer.alloc(0);
const CRLF = Buffer.from('\r\n');
const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_CHUNK_LINE = 256;
const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

export class HttpParser {
  private buffer: Buffer = EMPTY;
  private stage: Stage = { at: 'head' };
  private message: HttpMessage | null = null;
  private parts: Buffer[] = [];
  private size = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: HttpParserLimits,
  ) {}

  /** Returns the messages that this piece completes. Throws HttpError on malformed or oversized input. */
  push(chunk: Buffer): HttpMessage[] {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    const out: HttpMessage[] = [];
    while (this.step(out));
    return out;
  }

  /** The connection ended: completes a response whose body runs to the end of the connection. */
  finish(): HttpMessage | null {
    if (this.stage.at !== 'until-close') return null;
    const out: HttpMessage[] = [];
    this.complete(out);
    return out[0] ?? null;
  }

  private step(out: HttpMessage[]): boolean {
    switch (this.stage.at) {
      case 'head':
        return this.head(out);
      case 'body':
      case 'chunk-data':
        return this.data(out, this.stage);
      case 'until-close':
        if (this.buffer.length === 0) return false;
        this.take(this.buffer.length);
        return false;
      case 'chunk-size': {
        const line = this.line(MAX_CHUNK_LINE);
        if (line === null) return false;
        const hex = line.split(';', 1)[0].trim();
        if (!/^[0-9a-fA-F]{1,8}$/.test(hex)) throw new HttpError(400, 'bad chunk size');
        const need = parseInt(hex, 16);
        if (this.size + need > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
        this.stage = need === 0 ? { at: 'trailer' } : { at: 'chunk-data', need };
        return true;
      }
      case 'chunk-end': {
        const line = this.line(MAX_CHUNK_LINE);
        if (line === null) return false;
        if (line !== '') throw new HttpError(400, 'bad chunk end');
        this.stage = { at: 'chunk-size' };
        return true;
      }
      case 'trailer': {
        const line = this.line(this.limits.headerBytes);
        if (line === null) return false;
        if (line === '') this.complete(out);
        return true;
      }
    }
  }

  private head(out: HttpMessage[]): boolean {
    // Stray line ends between messages are allowed by the standard.
    while (this.buffer.length >= 2 && this.buffer[0] === 13 && this.buffer[1] === 10) {
      this.buffer = this.buffer.subarray(2);
    }
    const end = this.buffer.indexOf(HEAD_END);
    if (end < 0 || end > this.limits.headerBytes) {
      if (this.buffer.length > this.limits.headerBytes) throw new HttpError(431, 'header too large');
      return false;
    }
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    if (lines.length - 1 > this.limits.headerCount) throw new HttpError(431, 'too many header fields');
    const message = this.startLine(lines[0]);
    for (let i = 1; i < lines.length; i++) {
      const line = lines[i];
      const colon = line.indexOf(':');
      if (colon <= 0 || !tokenPattern.test(line.slice(0, colon)))
        throw new HttpError(400, 'bad header field');
      const name = line.slice(0, colon).toLowerCase();
      const value = line.slice(colon + 1).trim();
      // Two lengths that differ would let two readers see two different messages.
      if (name === 'content-length' && message.headers.has(name) && message.headers.get(name) !== value) {
        throw new HttpError(400, 'two content lengths');
      }
      message.headers.set(name, value);
    }
    const connection = (message.headers.get('connection') ?? '').toLowerCase();
    if (connection.includes('close')) message.keepAlive = false;
    this.message = message;
    this.stage = this.framing(message);
    if (this.stage.at === 'body' && this.stage.need === 0) this.complete(out);
    return true;
  }

  private startLine(line: string): HttpMessage {
    const message: HttpMessage = {
      method: '',
      target: '',
      status: 0,
      headers: new Map(),
      keepAlive: true,
      body: EMPTY,
    };
    if (this.kind === 'request') {
      const match = /^([A-Z]{1,20}) (\S{1,4096}) HTTP\/1\.([01])$/.exec(line);
      if (!match) throw new HttpError(400, 'bad request line');
      message.method = match[1]!;
      message.target = match[2]!;
      message.keepAlive = match[3] === '1';
    } else {
      const match = /^HTTP\/1\.([01]) (\d{3})(?: .*)?$/.exec(line);
      if (!match) throw new HttpError(400, 'bad status line');
      message.status = Number(match[2]);
      message.keepAlive = match[1] === '1';
    }
    return message;
  }

  private framing(message: HttpMessage): Stage {
    const coding = message.headers.get('transfer-encoding');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked') throw new HttpError(501, 'unknown transfer coding');
      if (message.headers.has('content-length')) throw new HttpError(400, 'two framings');
      return { at: 'chunk-size' };
    }
    const length = message.headers.get('content-length');
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpError(400, 'bad content length');
      const need = Number(length);
      if (need > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
      return { at: 'body', need };
    }
    const bodiless = this.kind === 'request' || message.status === 204 || message.status === 304;
    if (bodiless) return { at: 'body', need: 0 };
    message.keepAlive = false;
    return { at: 'until-close' };
  }

  private data(out: HttpMessage[], stage: { at: 'body' | 'chunk-data'; need: number }): boolean {
    if (this.buffer.length === 0) return false;
    const n = Math.min(stage.need, this.buffer.length);
    this.take(n);
    stage.need -= n;
    if (stage.need > 0) return false;
    if (stage.at === 'body') this.complete(out);
    else this.stage = { at: 'chunk-end' };
    return true;
  }

  private take(n: number): void {
    this.size += n;
    if (this.size > this.limits.bodyBytes) throw new HttpError(413, 'body too large');
    this.parts.push(this.buffer.subarray(0, n));
    this.buffer = this.buffer.subarray(n);
  }

  private line(max: number): string | null {
    const end = this.buffer.indexOf(CRLF);
    if (end < 0 || end > max) {
      if (this.buffer.length > max) throw new HttpError(400, 'line too long');
      return null;
    }
    const line = this.buffer.toString('latin1', 0, end);
    this.buffer = this.buffer.subarray(end + 2);
    return line;
  }

  private complete(out: HttpMessage[]): void {
    const message = this.message!;
    message.body = this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
    out.push(message);
    this.message = null;
    this.parts = [];
    this.size = 0;
    this.stage = { at: 'head' };
  }
}
