import type { Socket } from 'node:net';
import { HttpError, HttpParser, type HttpMessage } from './http-parser.js';
import type { Logger } from '../logger.js';

export interface HttpReply {
  status: number;
  body?: Buffer;
  retryAfterS?: number;
  /** Why it was refused: for the log, not sent. */
  refusalCause?: string;
  /** The state of a job that a user is told: for the log, not sent beside the body. */
  jobStatus?: string;
}

export type HttpHandler = (request: HttpMessage, reply: (r: HttpReply) => void) => void;

export interface HttpServerLimits {
  connections: number;
  idleMs: number;
  bodyBytes: number;
  /** Who a connection belongs to, by its last request; the larger party is shed first. */
  clientGroup?: (request: HttpMessage) => string;
}

interface Connection {
  socket: Socket;
  party: string;
}

/** From here on answers end their connections, so that more peers than there are sockets take turns. */
const PRESSURE = 0.8;
const UNKNOWN = '';

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

/** Open connections, and which of them wait for a next request, in the order since when. */
class Connections {
  private readonly open = new Set<Connection>();
  private readonly idle = new Set<Connection>();
  private readonly parties = new Map<string, number>();

  constructor(private readonly most: number) {}

  get pressed(): boolean {
    return this.open.size > this.most * PRESSURE;
  }

  get size(): number {
    return this.open.size;
  }

  /**
   * Guards against peers that open sockets without end: the state, cloud and peer links need some too. A new
   * connection takes the place of the one that has been idle for longest, of the party that has the most.
   */
  enter(c: Connection): boolean {
    if (this.open.size >= this.most) {
      const longest = this.longestIdle();
      if (!longest) return false;
      this.leave(longest);
      longest.socket.destroy();
    }
    this.open.add(c);
    this.idle.add(c);
    this.count(c.party, 1);
    return true;
  }

  leave(c: Connection): void {
    if (!this.open.delete(c)) return;
    this.idle.delete(c);
    this.count(c.party, -1);
  }

  begin(c: Connection, party: string): void {
    this.idle.delete(c);
    if (!this.open.has(c) || party === c.party) return;
    this.count(c.party, -1);
    this.count(party, 1);
    c.party = party;
  }

  end(c: Connection): void {
    if (this.open.has(c)) this.idle.add(c);
  }

  private count(party: string, by: number): void {
    this.parties.set(party, (this.parties.get(party) ?? 0) + by);
  }

  private longestIdle(): Connection | null {
    let longest: Connection | null = null;
    for (const c of this.idle) {
      if (longest && this.parties.get(c.party)! <= this.parties.get(longest.party)!) continue;
      longest = c;
    }
    return longest;
  }
}

/** One request at a time for each connection; later ones wait in the parser's buffer, which is bounded. */
export const httpConnectionHandler = (
  limits: HttpServerLimits,
  log: Logger,
  handler: HttpHandler,
): ((s: Socket) => void) => {
  const connections = new Connections(limits.connections);
  return (socket) => {
    const connection: Connection = { socket, party: UNKNOWN };
    if (!connections.enter(connection)) {
      log.rateLimited('sockets', 'info', { open: connections.size }, 'connection refused, all are busy');
      socket.on('error', () => socket.destroy());
      socket.destroy();
      return;
    }
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
        connections.end(connection);
        socket.resume();
        return;
      }
      busy = true;
      connections.begin(connection, limits.clientGroup?.(request) ?? UNKNOWN);
      let answered = false;
      handler(request, (r) => {
        if (answered) return;
        answered = true;
        busy = false;
        if (socket.destroyed) return;
        const keep = request.keepAlive && (!connections.pressed || waiting.length > 0);
        socket.write(render(r, keep));
        if (keep) {
          next();
          return;
        }
        ended = true;
        socket.end();
        connections.end(connection); // may be shed if the other side never closes it
      });
    };
    socket.on('data', (chunk) => {
      if (ended) return;
      try {
        waiting.push(...parser.push(chunk));
      } catch (e) {
        ended = true;
        const status = e instanceof HttpError ? e.status : 400;
        log.rateLimited('bad-request', 'debug', { status, cause: String(e) }, 'malformed request refused');
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
    socket.on('close', () => connections.leave(connection));
  };
};
