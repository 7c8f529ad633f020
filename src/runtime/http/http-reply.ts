/** Replies of the HTTP server, and their form on the connection. */

/** What a handler answers a request. */
export interface HttpReply {
  status: number;
  body?: Buffer;
  retryAfterS?: number;
  /** Why the request was refused: for the log, not sent. */
  refusalCause?: string;
  /** The state of a job that a user is told: for the log, not sent beside the body. */
  jobStatus?: string;
}

const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  413: 'Content Too Large',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  501: 'Not Implemented',
  503: 'Service Unavailable',
};

/** The bytes of a response; without `keepAlive` it announces the end of the connection. */
export const encodeReply = ({ status, body, retryAfterS }: HttpReply, keepAlive: boolean): Buffer => {
  let head = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\nContent-Length: ${body?.length ?? 0}\r\n`;
  if (body) head += 'Content-Type: application/cbor\r\n';
  if (retryAfterS !== undefined) head += `Retry-After: ${retryAfterS}\r\n`;
  if (!keepAlive) head += 'Connection: close\r\n';
  head += '\r\n';
  return body ? Buffer.concat([Buffer.from(head, 'latin1'), body]) : Buffer.from(head, 'latin1');
};
