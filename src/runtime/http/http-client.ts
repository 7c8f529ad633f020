import { connect, type Socket } from 'node:net';
import { HttpParser, type HttpMessage } from './http-parser.js';
import type { Address } from '../../config/address.js';

export type HttpResult =
  { ok: true; status: number; body: Buffer } | { ok: false; cause: string; sent: boolean };

interface Connection {
  socket: Socket;
  parser: HttpParser;
  done: ((r: HttpResult) => void) | null;
  idleSince: number;
  connected: boolean;
}

const RESPONSE_LIMITS = { headerBytes: 16_384, headerCount: 100, bodyBytes: 16 * 1024 * 1024 };

/** A small pool of kept-alive connections to one address. Never pipelines. */
export class HttpClient {
  private idle: Connection[] = [];
  private open = 0;

  constructor(
    private readonly address: Address,
    private readonly maxOpen: number,
    private readonly maxIdleMs = 30_000,
    private readonly bodyBytes = RESPONSE_LIMITS.bodyBytes,
  ) {}

  request(method: string, target: string, body: Buffer | null, timeoutMs: number): Promise<HttpResult> {
    return new Promise((resolve) => {
      const connection = this.take();
      if (!connection) {
        resolve({ ok: false, cause: 'all connections are in use', sent: false });
        return;
      }
      const late = (): void =>
        finish({ ok: false, cause: 'no answer in time', sent: connection.connected }, true);
      const timer = setTimeout(late, timeoutMs);
      const finish = (r: HttpResult, drop: boolean): void => {
        if (connection.done === null) return;
        connection.done = null;
        clearTimeout(timer);
        if (drop) connection.socket.destroy();
        resolve(r);
      };
      connection.done = (r) => finish(r, !r.ok);
      const head =
        `${method} ${target} HTTP/1.1\r\nHost: ${this.address.host}:${this.address.port}\r\n` +
        (body ? `Content-Type: application/cbor\r\nContent-Length: ${body.length}\r\n\r\n` : '\r\n');
      const bytes = Buffer.from(head, 'latin1');
      connection.socket.write(body ? Buffer.concat([bytes, body]) : bytes);
    });
  }

  close(): void {
    for (const c of this.idle) c.socket.destroy();
    this.idle = [];
  }

  private take(): Connection | null {
    const now = performance.now();
    for (;;) {
      const c = this.idle.pop();
      if (!c) break;
      // A connection that idled for long may have been dropped silently by the other side.
      if (c.socket.destroyed || now - c.idleSince > this.maxIdleMs) c.socket.destroy();
      else return c;
    }
    if (this.open >= this.maxOpen) return null;
    return this.dial();
  }

  private dial(): Connection {
    const socket = connect({ host: this.address.host, port: this.address.port, noDelay: true });
    const limits = { ...RESPONSE_LIMITS, bodyBytes: this.bodyBytes };
    const c: Connection = {
      socket,
      parser: new HttpParser('response', limits),
      done: null,
      idleSince: 0,
      connected: false,
    };
    this.open++;
    socket.on('data', (chunk) => this.receive(c, chunk));
    socket.on('connect', () => {
      c.connected = true;
    });
    // A connection attempt that was given up never completes later: nothing was sent on it.
    socket.on('error', (e) => c.done?.({ ok: false, cause: e.message, sent: c.connected }));
    socket.on('close', () => {
      this.open--;
      const last = c.parser.finish();
      if (last && c.done) c.done({ ok: true, status: last.status, body: last.body });
      else c.done?.({ ok: false, cause: 'connection closed', sent: c.connected });
    });
    return c;
  }

  private receive(c: Connection, chunk: Buffer): void {
    let messages: HttpMessage[];
    try {
      messages = c.parser.push(chunk);
    } catch (e) {
      c.done?.({ ok: false, cause: String(e), sent: true });
      c.socket.destroy();
      return;
    }
    for (const m of messages) {
      const done = c.done;
      if (!done) {
        c.socket.destroy(); // an answer nobody asked for
        return;
      }
      if (m.keepAlive) {
        c.idleSince = performance.now();
        done({ ok: true, status: m.status, body: m.body });
        this.idle.push(c);
      } else {
        done({ ok: true, status: m.status, body: m.body });
        c.socket.destroy();
      }
    }
  }
}
