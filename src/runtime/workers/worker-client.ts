// Orders sent straight to workers, over a bounded number of connections.
import { HttpClient, type HttpResult } from '../http/http-client.js';
import { parseAddress } from '../../config/address.js';
import type { Endpoint } from '../../core/units.js';

const MAX_IDLE_MS = 10_000;
const MAX_BODY = 1 << 20;

interface Line {
  client: HttpClient;
  busy: boolean;
}

/**
 * One connection for each worker lately talked to. Guards against a leader of many machines that runs out of
 * sockets, and can then neither renew its lease nor be reached: beyond the budget the longest unused is closed, and
 * when all are busy the order is not sent; it goes with the answer to the worker's next report.
 */
export class WorkerClient {
  /** In the order of their last use. */
  private readonly lines = new Map<Endpoint, Line>();

  constructor(private readonly most: number) {}

  async request(endpoint: Endpoint, target: string, body: Buffer, timeoutMs: number): Promise<HttpResult> {
    const line = this.lineTo(endpoint);
    if (!line) return { ok: false, cause: 'all connections to workers are in use', sent: false };
    line.busy = true;
    const r = await line.client.request('POST', target, body, timeoutMs);
    line.busy = false;
    return r;
  }

  get connectionCount(): number {
    return this.lines.size;
  }

  close(): void {
    for (const { client } of this.lines.values()) client.close();
    this.lines.clear();
  }

  private lineTo(endpoint: Endpoint): Line | null {
    const known = this.lines.get(endpoint);
    if (known) {
      this.lines.delete(endpoint);
      this.lines.set(endpoint, known);
      return known;
    }
    if (this.lines.size >= this.most && !this.dropUnused()) return null;
    const line = { client: new HttpClient(parseAddress(endpoint), 1, MAX_IDLE_MS, MAX_BODY), busy: false };
    this.lines.set(endpoint, line);
    return line;
  }

  private dropUnused(): boolean {
    for (const [endpoint, { client, busy }] of this.lines) {
      if (busy) continue;
      client.close();
      this.lines.delete(endpoint);
      return true;
    }
    return false;
  }
}
