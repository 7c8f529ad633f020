/** Parser for the head of an HTTP/1.1 message: start line, header fields and body framing. */
import { excerpt, HttpError, type HttpMessage } from './http-message.js';
import { HTTP_STATUS } from './http-status.js';

/** The kind of message that a parser reads. */
export type HttpMessageKind = 'request' | 'response';

/** How the end of a message body is determined. */
export type BodyFraming = { kind: 'length'; bytes: number } | { kind: 'chunked' } | { kind: 'until-close' };

const NO_BODY: BodyFraming = { kind: 'length', bytes: 0 };
const EMPTY = Buffer.alloc(0);
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const REQUEST_LINE = /^([A-Z]{1,20}) (\S{1,4096}) HTTP\/1\.([01])$/;
const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: .*)?$/;
const CONTENT_LENGTH = /^\d{1,15}$/;

/** Parses the head; the body of the returned message is empty. Throws HttpError on a malformed line. */
export const parseHead = (kind: HttpMessageKind, lines: readonly string[]): HttpMessage => {
  const message = kind === 'request' ? parseRequestLine(lines[0]) : parseStatusLine(lines[0]);
  for (let i = 1; i < lines.length; i++) addHeader(message.headers, lines[i]);
  const connection = (message.headers.get('connection') ?? '').toLowerCase();
  if (connection.includes('close')) message.keepAlive = false;
  return message;
};

const parseRequestLine = (line: string): HttpMessage => {
  const match = REQUEST_LINE.exec(line);
  if (!match)
    throw new HttpError(HTTP_STATUS.badRequest, `expected an HTTP/1.1 request line, got ${excerpt(line)}`);
  const [, method, target, minorVersion] = match;
  return { method, target, status: 0, headers: new Map(), keepAlive: minorVersion === '1', body: EMPTY };
};

const parseStatusLine = (line: string): HttpMessage => {
  const match = STATUS_LINE.exec(line);
  if (!match)
    throw new HttpError(HTTP_STATUS.badRequest, `expected an HTTP/1.1 status line, got ${excerpt(line)}`);
  const [, minorVersion, status] = match;
  return {
    method: '',
    target: '',
    status: Number(status),
    headers: new Map(),
    keepAlive: minorVersion === '1',
    body: EMPTY,
  };
};

const addHeader = (headers: Map<string, string>, line: string): void => {
  const colon = line.indexOf(':');
  if (colon <= 0 || !TOKEN.test(line.slice(0, colon)))
    throw new HttpError(
      HTTP_STATUS.badRequest,
      `expected a header field "name: value", got ${excerpt(line)}`,
    );
  const name = line.slice(0, colon).toLowerCase();
  const value = line.slice(colon + 1).trim();
  // With two different lengths, a proxy and this parser could disagree on where the message ends (request smuggling).
  if (name === 'content-length' && headers.has(name) && headers.get(name) !== value)
    throw new HttpError(
      HTTP_STATUS.badRequest,
      `conflicting content-length fields: ${excerpt(headers.get(name)!)} and ${excerpt(value)}`,
    );
  headers.set(name, value);
};

/** Determines the body framing. A body that ends with its connection clears `keepAlive`. */
export const bodyFraming = (kind: HttpMessageKind, message: HttpMessage, maxBytes: number): BodyFraming => {
  const coding = message.headers.get('transfer-encoding');
  const length = message.headers.get('content-length');
  if (coding !== undefined) {
    if (coding.toLowerCase() !== 'chunked')
      throw new HttpError(
        HTTP_STATUS.notImplemented,
        `transfer-encoding: expected "chunked", got ${excerpt(coding)}`,
      );
    if (length !== undefined)
      throw new HttpError(HTTP_STATUS.badRequest, 'both transfer-encoding and content-length given');
    return { kind: 'chunked' };
  }
  if (length !== undefined) {
    if (!CONTENT_LENGTH.test(length))
      throw new HttpError(
        HTTP_STATUS.badRequest,
        `content-length: expected up to 15 digits, got ${excerpt(length)}`,
      );
    const bytes = Number(length);
    if (bytes > maxBytes)
      throw new HttpError(
        HTTP_STATUS.contentTooLarge,
        `body of ${bytes} bytes exceeds the limit of ${maxBytes}`,
      );
    return { kind: 'length', bytes };
  }
  const bodiless = kind === 'request' || message.status === 204 || message.status === 304;
  if (bodiless) return NO_BODY;
  message.keepAlive = false;
  return { kind: 'until-close' };
};
