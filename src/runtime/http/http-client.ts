/** An HTTP/1.1 client for one address. */
import { connect, type Socket } from 'node:net';
import type { Address } from '../../config/address.js';
import { monotonicNow } from '../clock.js';
import { HttpParser } from './http-parser.js';
import type { HttpMessage } from './http-message.js';

/** Outcome of a request. A failed request with `sent: false` was not executed. */
export type HttpResult =
  { ok: true; status: number; body: Buffer } | { ok: false; cause: string; sent: boolean };

interface ClientConnection {
  socket: Socket;
  parser: HttpParser;
  /** Completes the request in progress; null while there is none. */
  complete: ((result: HttpResult) => void) | null;
  idleSince: number;
  connected: boolean;
}

const DEFAULT_MAX_IDLE_MS = 30_000;
const RESPONSE_LIMITS = { headerBytes: 16_384, headerCount: 100, bodyBytes: 16 * 1024 * 1024 };

/** A small pool of keep-alive connections to one address, without pipelining. */
export class HttpClient {
  private idle: ClientConnection[] = [];
  private open = 0;

  constructor(
    private readonly address: Address,
    private readonly maxOpen: number,
    private readonly maxIdleMs = DEFAULT_MAX_IDLE_MS,
    private readonly maxBodyBytes = RESPONSE_LIMITS.bodyBytes,
  ) {}

  /** Sends one request; fails immediately if all connections are in use. A timeout closes the connection. */
  request(method: string, target: string, body: Buffer | null, timeoutMs: number): Promise<HttpResult> {
    return new Promise((resolve) => {
      const connection = this.takeConnection();
      if (!connection) {
        resolve({ ok: false, cause: `all ${this.maxOpen} connections are in use`, sent: false });
        return;
      }
      const onTimeout = (): void =>
        connection.complete?.({
          ok: false,
          cause: `no response within ${timeoutMs} ms`,
          sent: connection.connected,
        });
      const timer = setTimeout(onTimeout, timeoutMs);
      connection.complete = (result) => {
        connection.complete = null;
        clearTimeout(timer);
        if (!result.ok) connection.socket.destroy();
        resolve(result);
      };
      connection.socket.write(this.encodeRequest(method, target, body));
    });
  }

  /** Closes the idle connections. */
  close(): void {
    for (const { socket } of this.idle) socket.destroy();
    this.idle = [];
  }

  private encodeRequest(method: string, target: string, body: Buffer | null): Buffer {
    const { host, port } = this.address;
    const head =
      `${method} ${target} HTTP/1.1\r\nHost: ${host}:${port}\r\n` +
      (body ? `Content-Type: application/cbor\r\nContent-Length: ${body.length}\r\n\r\n` : '\r\n');
    const headBytes = Buffer.from(head, 'latin1');
    return body ? Buffer.concat([headBytes, body]) : headBytes;
  }

  private takeConnection(): ClientConnection | null {
    const now = monotonicNow();
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
      // The server may have dropped a connection after a long idle time without notice.
      if (!connection.socket.destroyed && now - connection.idleSince <= this.maxIdleMs) return connection;
      connection.socket.destroy();
    }
    return this.open < this.maxOpen ? this.openConnection() : null;
  }

  private openConnection(): ClientConnection {
    const socket = connect({ host: this.address.host, port: this.address.port, noDelay: true });
    const connection: ClientConnection = {
      socket,
      parser: new HttpParser('response', { ...RESPONSE_LIMITS, bodyBytes: this.maxBodyBytes }),
      complete: null,
      idleSince: 0,
      connected: false,
    };
    this.open++;
    socket.on('data', (chunk) => this.receive(connection, chunk));
    socket.on('connect', () => {
      connection.connected = true;
    });
    // An abandoned connection attempt never completes later, so nothing was sent on it.
    socket.on('error', ({ message }) =>
      connection.complete?.({ ok: false, cause: message, sent: connection.connected }),
    );
    socket.on('close', () => this.onClose(connection));
    return connection;
  }

  private onClose({ parser, complete, connected }: ClientConnection): void {
    this.open--;
    const last = parser.finish();
    if (last) complete?.({ ok: true, status: last.status, body: last.body });
    else
      complete?.({ ok: false, cause: 'connection closed before the response was complete', sent: connected });
  }

  private receive(connection: ClientConnection, chunk: Buffer): void {
    let messages: HttpMessage[];
    try {
      messages = connection.parser.push(chunk);
    } catch (error) {
      connection.complete?.({ ok: false, cause: String(error), sent: true });
      connection.socket.destroy();
      return;
    }
    for (const message of messages) if (!this.onResponse(connection, message)) return;
  }

  /** Returns false for a response without a request, which closes the connection. */
  private onResponse(connection: ClientConnection, { status, body, keepAlive }: HttpMessage): boolean {
    const { complete, socket } = connection;
    if (!complete) {
      socket.destroy();
      return false;
    }
    if (keepAlive) connection.idleSince = monotonicNow();
    complete({ ok: true, status, body });
    if (keepAlive) this.idle.push(connection);
    else socket.destroy();
    return true;
  }
}
