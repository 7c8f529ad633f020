/** Sends direct commands to workers over a bounded number of connections. */
import { parseAddress } from '../../config/address.js';
import type { Endpoint } from '../../core/units.js';
import { HttpClient, type HttpResult } from '../http/http-client.js';

const MAX_IDLE_MS = 10_000;
const MAX_BODY_BYTES = 1 << 20;

interface WorkerConnection {
  client: HttpClient;
  busy: boolean;
}

/**
 * Keeps one connection to each worker that it recently sent a request to. Guards against a leader of many machines that
 * runs out of sockets, and can then neither renew its lease nor be reached: beyond the limit, the least recently used
 * idle connection is closed. If all are busy the command is not sent, and goes with the reply to the worker's next
 * heartbeat.
 */
export class WorkerClient {
  /** Ordered from the least to the most recently used. */
  private readonly connections = new Map<Endpoint, WorkerConnection>();

  constructor(private readonly maxConnections: number) {}

  /** Sends one request to a worker. */
  async request(endpoint: Endpoint, target: string, body: Buffer, timeoutMs: number): Promise<HttpResult> {
    const connection = this.connectionTo(endpoint);
    if (!connection) return { ok: false, cause: 'all connections to workers are in use', sent: false };
    connection.busy = true;
    const result = await connection.client.request('POST', target, body, timeoutMs);
    connection.busy = false;
    return result;
  }

  /** The number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Removes all connections, and closes those that are idle. */
  close(): void {
    for (const { client } of this.connections.values()) client.close();
    this.connections.clear();
  }

  private connectionTo(endpoint: Endpoint): WorkerConnection | null {
    const known = this.connections.get(endpoint);
    if (known) {
      this.connections.delete(endpoint);
      this.connections.set(endpoint, known);
      return known;
    }
    if (this.connections.size >= this.maxConnections && !this.closeLeastRecentlyUsed()) return null;
    const client = new HttpClient(parseAddress(endpoint), 1, MAX_IDLE_MS, MAX_BODY_BYTES);
    const connection = { client, busy: false };
    this.connections.set(endpoint, connection);
    return connection;
  }

  private closeLeastRecentlyUsed(): boolean {
    for (const [endpoint, { client, busy }] of this.connections) {
      if (busy) continue;
      client.close();
      this.connections.delete(endpoint);
      return true;
    }
    return false;
  }
}
