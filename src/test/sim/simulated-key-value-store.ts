// Stand-in for the state service: transactions, leases, watches; outages, refusals of one host, late transactions.
import type { SimulatedHost } from './simulated-host.js';
import { startHttpServer, type HttpResponse } from './http-server.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import { TokenBucket } from '../../runtime/key-value-store/token-bucket.js';

interface Item {
  data: unknown;
  stamp: number;
  permit?: number;
}
interface Lease {
  ttlMs: number;
  endsAt: number;
}
type Change = { put: string; data: unknown; permit?: number | bigint } | { delete: string };
interface Multi {
  if: { key: string; stamp: number | bigint }[];
  then: Change[];
}

const SWEEP_MS = 50;
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const trouble: HttpResponse = { status: 503, body: { error: 'trouble' } };

export class SimulatedKeyValueStore {
  readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, Lease>();
  private readonly log: (
    { put: string; data: unknown; stamp: number } | { delete: string; stamp: number }
  )[] = [];
  private ledger = 1;
  private nextLease = 1;
  private down = false;
  private readonly refused = new Set<string>();
  private lateShare = 0;
  private lostAnswerShare = 0;
  /** Every answer takes this much longer. */
  responseDelayMs = 0;
  private watchers: (() => void)[] = [];
  /** What it takes; null: anything. */
  limits: KeyValueStoreLimits | null = null;
  /** Transactions that were refused for their size. */
  rejectedForSize = 0;
  /** Transactions that were refused since there were too many. */
  rejectedForRate = 0;
  private readonly writes = new TokenBucket(Infinity, Infinity, 0);
  /** Transactions without an answer that were carried out late. */
  lateTransactions = 0;

  constructor(
    private readonly host: SimulatedHost,
    address: string,
    private readonly random: () => number,
  ) {
    startHttpServer(host, address, async (request, body, from) => {
      const out = (): boolean => this.down || this.refused.has(from);
      if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
      if (out()) return trouble;
      return this.answer(request.method, request.target, body, out);
    });
    host.run(() => setInterval(() => this.sweep(), SWEEP_MS));
  }

  startOutage(forMs: number): void {
    this.down = true;
    this.host.runtime.clock.after(forMs, () => {
      this.down = false;
      for (const lease of this.leases.values()) lease.endsAt = this.now + lease.ttlMs;
      this.wake();
    });
  }

  refuseHost(ip: string, forMs: number): void {
    this.refused.add(ip);
    this.host.runtime.clock.after(forMs, () => {
      this.refused.delete(ip);
      this.wake();
    });
  }

  delayTransactions(share: number, forMs: number): void {
    this.lateShare = share;
    this.host.runtime.clock.after(forMs, () => (this.lateShare = 0));
  }

  /** That share of the transactions is carried out at once, and only the answer is lost. */
  loseResponses(share: number, forMs: number): void {
    this.lostAnswerShare = share;
    this.host.runtime.clock.after(forMs, () => (this.lostAnswerShare = 0));
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private wake(): void {
    for (const notify of this.watchers.splice(0)) notify();
  }

  private sweep(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) if (this.now > lease.endsAt + SWEEP_MS) this.endLease(id);
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items].filter(([, i]) => i.permit === id).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ delete: key })));
  }

  private apply(changes: Change[]): void {
    const stamp = ++this.ledger;
    for (const change of changes) {
      if ('put' in change) {
        const permit = change.permit === undefined ? {} : { permit: Number(change.permit) };
        this.items.set(change.put, { data: change.data, stamp, ...permit });
        this.log.push({ put: change.put, data: change.data, stamp });
      } else if (this.items.delete(change.delete)) this.log.push({ delete: change.delete, stamp });
    }
    this.wake();
  }

  private refusal(t: Multi): HttpResponse | null {
    if (!this.limits) return null;
    const { writeRps, valueKb, txnOps } = this.limits;
    const fits = (change: Change): boolean =>
      !('put' in change) || Buffer.byteLength(JSON.stringify(change.data)) <= valueKb * 1024;
    if (t.then.length > txnOps || t.if.length > 4 * txnOps || !t.then.every(fits)) {
      this.rejectedForSize++;
      return { status: 400, body: { error: 'too large' } };
    }
    this.writes.setRate(writeRps, writeRps, this.now);
    if (this.writes.take(t.then.length, this.now)) return null;
    this.rejectedForRate++;
    return { status: 429 };
  }

  private transact(t: Multi): HttpResponse {
    const refusal = this.refusal(t);
    if (refusal) return refusal;
    const failed = t.if
      .filter((condition) => (this.items.get(condition.key)?.stamp ?? 0) !== Number(condition.stamp))
      .map((condition) => condition.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    for (const change of t.then) {
      if ('put' in change && change.permit !== undefined && !this.leases.has(Number(change.permit)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    if (t.then.length > 0) this.apply(t.then);
    return { status: 200, body: { ledger: this.ledger } };
  }

  private async answer(
    method: string,
    target: string,
    body: unknown,
    out: () => boolean,
  ): Promise<HttpResponse | null> {
    const [path = '', search = ''] = target.split('?');
    const query = new URLSearchParams(search);
    if (path === '/multi') {
      if (this.random() < this.lateShare) {
        this.lateTransactions++;
        this.host.runtime.clock.after(2000 + this.random() * 10_000, () => this.transact(body as Multi));
        return null;
      }
      const answer = this.transact(body as Multi);
      // Drawn only while it matters: days without lost answers keep their random numbers.
      const lost = this.lostAnswerShare > 0 && this.random() < this.lostAnswerShare;
      return lost ? null : answer;
    }
    if (path === '/leases') {
      const { ttlMs } = body as { ttlMs: number };
      this.leases.set(this.nextLease, { ttlMs, endsAt: this.now + ttlMs });
      return { status: 200, body: { permit: this.nextLease++ } };
    }
    const lease = /^\/leases\/(\d+)(\/extend)?$/.exec(path);
    if (lease) {
      const id = Number(lease[1]);
      const held = this.leases.get(id);
      if (method === 'DELETE') this.endLease(id);
      else if (!held) return { status: 404 };
      else held.endsAt = this.now + held.ttlMs;
      return { status: 200 };
    }
    if (path === '/changes') return this.changes(query, out);
    const under = query.get('under');
    if (path === '/store' && under !== null) return this.list(under, query);
    const item = this.items.get(path.slice('/store/'.length));
    if (!item) return { status: 404, body: { ledger: this.ledger } };
    return { status: 200, body: { key: path.slice('/store/'.length), ...item } };
  }

  private list(under: string, query: URLSearchParams): HttpResponse {
    const since = query.get('since') ?? '';
    const most = Number(query.get('most') ?? 1000);
    const all = [...this.items]
      .filter(([key]) => key.startsWith(under) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all.slice(0, most).map(([key, i]) => ({ key, ...i }));
    return { status: 200, body: { items, more: all.length > most, ledger: this.ledger } };
  }

  /** An open watch stays open through an outage, and through a refusal of its host. */
  private async changes(query: URLSearchParams, out: () => boolean): Promise<HttpResponse> {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since'));
    const until = this.now + Number(query.get('blockMs') ?? 0);
    for (;;) {
      const log = this.log.filter(
        (entry) => entry.stamp > since && ('put' in entry ? entry.put : entry.delete).startsWith(under),
      );
      if (!out() && (log.length > 0 || this.now >= until))
        return { status: 200, body: { ledger: this.ledger, log } };
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
        setTimeout(resolve, out() ? 1000 : Math.max(0, until - this.now));
      });
    }
  }
}
