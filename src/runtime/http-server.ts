import type { Socket } from 'node:net';
import { HttpError, HttpParser, type HttpMessage } from './http-parser.js';
import type { Logger } from './logger.js';

export interface HttpReply {
  status: number;
  body?: Buffer;
  retryAfterS?: number;
}

export type Handler = (request: HttpMessage, reply: (r: HttpReply) => void) => void;

export interface ServerLimits {
  connections: number;
  idleMs: number;
  bodyBytes: number;
}

const reasons: Record<number, string> = {
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

const render = (r: HttpReply, keepAlive: boolean): Buffer => {
  const body = r.body;
  let head = `HTTP/1.1 ${r.status} ${reasons[r.status] ?? 'Status'}\r\nContent-Length: ${body?.length ?? 0}\r\n`;
  if (body) head += 'Content-Type: application/cbor\r\n';
  if (r.retryAfterS !== undefined) head += `Retry-After: ${r.retryAfterS}\r\n`;
  if (!keepAlive) head += 'Connection: close\r\n';
  head += '\r\n';
  return body ? Buffer.concat([Buffer.from(head, 'latin1'), body]) : Buffer.from(head, 'latin1');
};

/** One request at a time for each connection; later ones wait in the parser's buffer, which is bounded. */
export const httpConnections = (
  limits: ServerLimits,
  log: Logger,
  handler: Handler,
): ((s: Socket) => void) => {
  let open = 0;
  return (socket) => {
    // Guards against peers that open sockets without end: the state, cloud and peer links need some too.
    if (open >= limits.connections) {
      socket.destroy();
      return;
    }
    open++;
    socket.setNoDelay(true);
    const parser = new HttpParser('request', {
      headerBytes: 8192,
      headerCount: 64,
      bodyBytes: limits.bodyBytes,
    });
    const waiting: HttpMessage[] = [];
    let busy = false;
    let ended = false;
    const next = (): void => {
      const request = waiting.shift();
      if (!request) {
        socket.resume();
        return;
      }
      busy = true;
      let answered = false;
      handler(request, (r) => {
        if (answered) return;
        answered = true;
        busy = false;
        if (socket.destroyed) return;
        socket.write(render(r, request.keepAlive));
        if (!request.keepAlive) socket.end();
        else next();
      });
    };
    socket.on('data', (chunk) => {
      if (ended) return;
      try {
        waiting.push(...parser.push(chunk));
      } catch (e) {
        ended = true;
        const status = e instanceof HttpError ? e.status : 400;
        log.limited('bad-request', 'debug', { status, cause: String(e) }, 'malformed request refused');
        if (!busy) socket.end(render({ status }, false));
        else socket.destroy();
        return;
      }
      if (busy || waiting.length > 1) socket.pause(); // holds back a sender that pipelines
      if (!busy) next();
    });
    // Guards against slow senders: a connection that says nothing for long is dropped.
    socket.setTimeout(limits.idleMs, () => {
      if (!busy) socket.destroy();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      open--;
    });
  };
};
