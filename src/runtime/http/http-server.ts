/** HTTP/1.1 server: a bounded number of connections, with one request at a time on each. */
import type { Socket } from 'node:net';
import type { Logger } from '../logger.js';
import { ConnectionPool, UNKNOWN_GROUP, type PooledConnection } from './connection-pool.js';
import { HttpParser } from './http-parser.js';
import { HttpError, type HttpMessage } from './http-message.js';
import { encodeReply, type HttpReply } from './http-reply.js';
import { HTTP_STATUS } from './http-status.js';

/** Handles a request and calls `reply` once, synchronously or later; further calls are ignored. */
export type HttpRequestHandler = (request: HttpMessage, reply: (reply: HttpReply) => void) => void;

/** Limits on the resources that clients can use. */
export interface HttpServerLimits {
  connections: number;
  idleMs: number;
  bodyBytes: number;
  /** Client group of a connection, from its last request; at the limit, the largest group loses connections first. */
  clientGroup?: (request: HttpMessage) => string;
}

const MAX_HEADER_BYTES = 8192;
const MAX_HEADER_FIELDS = 64;

interface ServerContext {
  limits: HttpServerLimits;
  log: Logger;
  handler: HttpRequestHandler;
  pool: ConnectionPool;
}

/** Returns a connection handler for a server. The limits apply to all its connections together. */
export const httpConnectionHandler = (
  limits: HttpServerLimits,
  log: Logger,
  handler: HttpRequestHandler,
): ((socket: Socket) => void) => {
  const pool = new ConnectionPool(limits.connections);
  const context: ServerContext = { limits, log, handler, pool };
  return (socket) => {
    const pooled: PooledConnection = { socket, group: UNKNOWN_GROUP };
    if (pool.tryAdd(pooled)) {
      new ServerConnection(socket, pooled, context).start();
      return;
    }
    log.rateLimited('sockets', 'info', { open: pool.size }, 'connection rejected: all connections are busy');
    socket.on('error', () => socket.destroy());
    socket.destroy();
  };
};

/** Handles one request at a time; pipelined requests are queued, and reading is paused while requests wait. */
class ServerConnection {
  private state: 'idle' | 'handling' | 'closing' = 'idle';
  private readonly queuedRequests: HttpMessage[] = [];
  private readonly parser: HttpParser;

  constructor(
    private readonly socket: Socket,
    private readonly pooled: PooledConnection,
    private readonly context: ServerContext,
  ) {
    this.parser = new HttpParser('request', {
      headerBytes: MAX_HEADER_BYTES,
      headerCount: MAX_HEADER_FIELDS,
      bodyBytes: context.limits.bodyBytes,
    });
  }

  /** Starts reading requests. */
  start(): void {
    const { socket, pooled, context } = this;
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.receive(chunk));
    // Limits slow senders: a connection is closed after the idle timeout, unless a request is being handled.
    socket.setTimeout(context.limits.idleMs, () => {
      if (this.state !== 'handling') socket.destroy();
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => context.pool.remove(pooled));
  }

  private receive(chunk: Buffer): void {
    if (this.state === 'closing') return;
    try {
      this.queuedRequests.push(...this.parser.push(chunk));
    } catch (error) {
      this.rejectMalformed(error);
      return;
    }
    if (this.state === 'handling' || this.queuedRequests.length > 1) this.socket.pause();
    if (this.state === 'idle') this.handleNext();
  }

  private rejectMalformed(error: unknown): void {
    const status = error instanceof HttpError ? error.status : HTTP_STATUS.badRequest;
    const cause = String(error);
    const handling = this.state === 'handling';
    this.state = 'closing';
    this.context.log.rateLimited('bad-request', 'debug', { status, cause }, 'malformed request rejected');
    // An error reply would be taken for the reply to the request in progress, so the connection is closed without one.
    if (handling) this.socket.destroy();
    else this.socket.end(encodeReply({ status }, false));
  }

  private handleNext(): void {
    const request = this.queuedRequests.shift();
    if (!request) {
      this.context.pool.markIdle(this.pooled);
      this.socket.resume();
      return;
    }
    this.state = 'handling';
    const { limits, pool, handler } = this.context;
    pool.markBusy(this.pooled, limits.clientGroup?.(request) ?? UNKNOWN_GROUP);
    let replied = false;
    handler(request, (reply) => {
      if (replied) return;
      replied = true;
      this.sendReply(request, reply);
    });
  }

  private sendReply(request: HttpMessage, reply: HttpReply): void {
    if (this.state === 'handling') this.state = 'idle';
    if (this.socket.destroyed) return;
    const { pool } = this.context;
    const keepAlive = request.keepAlive && (!pool.underPressure || this.queuedRequests.length > 0);
    this.socket.write(encodeReply(reply, keepAlive));
    if (keepAlive) {
      this.handleNext();
      return;
    }
    this.state = 'closing';
    this.socket.end();
    pool.markIdle(this.pooled); // can be evicted if the client never closes it
  }
}
