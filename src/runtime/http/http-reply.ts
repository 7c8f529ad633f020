/** Replies of the HTTP server, and their encoding. */

/** The reply of a request handler. */
export interface HttpReply {
  status: number;
  body?: Buffer;
  retryAfterS?: number;
  /** The reason of a rejection, for the log; not part of the response. */
  rejectionCause?: string;
  /** The job status that the body reports, for the log; not sent separately. */
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

/** Encodes a response; without `keepAlive` it contains `Connection: close`. */
export const encodeReply = ({ status, body, retryAfterS }: HttpReply, keepAlive: boolean): Buffer => {
  let head = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\nContent-Length: ${body?.length ?? 0}\r\n`;
  if (body) head += 'Content-Type: application/cbor\r\n';
  if (retryAfterS !== undefined) head += `Retry-After: ${retryAfterS}\r\n`;
  if (!keepAlive) head += 'Connection: close\r\n';
  head += '\r\n';
  return body ? Buffer.concat([Buffer.from(head, 'latin1'), body]) : Buffer.from(head, 'latin1');
};
