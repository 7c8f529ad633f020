/**
 * Stand-in for the key-value store, written from the published protocol: transactions, leases and watches; outages, refusals
 * of one host, transactions executed late and lost responses.
 */
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
interface Transaction {
  if: { key: string; stamp: number | bigint }[];
  then: Change[];
}

const LEASE_CHECK_INTERVAL_MS = 50;
const MAX_PAGE_ITEMS = 1000;
const MAX_CONDITIONS_PER_OPERATION = 4;
/** How much later than sent a delayed transaction is executed. */
const MIN_TRANSACTION_DELAY_MS = 2000;
const TRANSACTION_DELAY_RANGE_MS = 10_000;
/** An open watch whose host can't be answered is checked so often. */
const UNAVAILABLE_WATCH_CHECK_MS = 1000;
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const unavailableResponse: HttpResponse = { status: 503, body: { error: 'trouble' } };

/** The stored items, and the HTTP interface to them. */
export class SimulatedKeyValueStore {
  readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, Lease>();
  private readonly log: (
    { put: string; data: unknown; stamp: number } | { delete: string; stamp: number }
  )[] = [];
  private ledger = 1;
  private nextLease = 1;
  private unavailable = false;
  private readonly refusedHosts = new Set<string>();
  private delayedFraction = 0;
  private lostResponseFraction = 0;
  /** Every response takes this much longer. */
  responseDelayMs = 0;
  private watchers: (() => void)[] = [];
  /** What it accepts; null: anything. */
  limits: KeyValueStoreLimits | null = null;
  /** Transactions that were refused for their size. */
  rejectedForSize = 0;
  /** Transactions that were refused for their rate. */
  rejectedForRate = 0;
  private readonly writes = new TokenBucket(Infinity, Infinity, 0);
  /** Transactions without a response that were executed late. */
  lateTransactions = 0;

  constructor(
    private readonly host: SimulatedHost,
    address: string,
    private readonly random: () => number,
  ) {
    startHttpServer(host, address, async (request, body, from) => {
      const isUnavailable = (): boolean => this.unavailable || this.refusedHosts.has(from);
      if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
      if (isUnavailable()) return unavailableResponse;
      return this.respond(request.method, request.target, body, isUnavailable);
    });
    host.run(() => setInterval(() => this.endExpiredLeases(), LEASE_CHECK_INTERVAL_MS));
  }

  /** Nothing is answered for so long; leases last at least their time to live beyond it. */
  startOutage(forMs: number): void {
    this.unavailable = true;
    this.host.runtime.clock.after(forMs, () => {
      this.unavailable = false;
      for (const lease of this.leases.values()) lease.endsAt = this.now + lease.ttlMs;
      this.notifyWatchers();
    });
  }

  /** Requests of this host alone are refused. */
  refuseHost(ip: string, forMs: number): void {
    this.refusedHosts.add(ip);
    this.host.runtime.clock.after(forMs, () => {
      this.refusedHosts.delete(ip);
      this.notifyWatchers();
    });
  }

  /** That fraction of the transactions gets no response and is executed seconds later. */
  delayTransactions(fraction: number, forMs: number): void {
    this.delayedFraction = fraction;
    this.host.runtime.clock.after(forMs, () => (this.delayedFraction = 0));
  }

  /** That fraction of the transactions is executed at once, and only the response is lost. */
  loseResponses(fraction: number, forMs: number): void {
    this.lostResponseFraction = fraction;
    this.host.runtime.clock.after(forMs, () => (this.lostResponseFraction = 0));
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private notifyWatchers(): void {
    for (const notify of this.watchers.splice(0)) notify();
  }

  private endExpiredLeases(): void {
    if (this.unavailable) return;
    for (const [id, lease] of this.leases)
      if (this.now > lease.endsAt + LEASE_CHECK_INTERVAL_MS) this.endLease(id);
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
    this.notifyWatchers();
  }

  private refusal(transaction: Transaction): HttpResponse | null {
    if (!this.limits) return null;
    const { writesPerS, maxValueKb, maxTransactionChanges } = this.limits;
    const fits = (change: Change): boolean =>
      !('put' in change) || Buffer.byteLength(JSON.stringify(change.data)) <= maxValueKb * 1024;
    if (
      transaction.then.length > maxTransactionChanges ||
      transaction.if.length > MAX_CONDITIONS_PER_OPERATION * maxTransactionChanges ||
      !transaction.then.every(fits)
    ) {
      this.rejectedForSize++;
      return { status: 400, body: { error: 'too large' } };
    }
    this.writes.setRate(writesPerS, writesPerS, this.now);
    if (this.writes.take(transaction.then.length, this.now)) return null;
    this.rejectedForRate++;
    return { status: 429 };
  }

  private transact(transaction: Transaction): HttpResponse {
    const refusal = this.refusal(transaction);
    if (refusal) return refusal;
    const failed = transaction.if
      .filter((condition) => (this.items.get(condition.key)?.stamp ?? 0) !== Number(condition.stamp))
      .map((condition) => condition.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    for (const change of transaction.then) {
      if ('put' in change && change.permit !== undefined && !this.leases.has(Number(change.permit)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    if (transaction.then.length > 0) this.apply(transaction.then);
    return { status: 200, body: { ledger: this.ledger } };
  }

  private async respond(
    method: string,
    target: string,
    body: unknown,
    isUnavailable: () => boolean,
  ): Promise<HttpResponse | null> {
    const [path = '', search = ''] = target.split('?');
    const query = new URLSearchParams(search);
    if (path === '/multi') {
      if (this.random() < this.delayedFraction) {
        this.lateTransactions++;
        this.host.runtime.clock.after(
          MIN_TRANSACTION_DELAY_MS + this.random() * TRANSACTION_DELAY_RANGE_MS,
          () => this.transact(body as Transaction),
        );
        return null;
      }
      const answer = this.transact(body as Transaction);
      // Drawn only while responses are lost: other runs keep their random numbers.
      const lost = this.lostResponseFraction > 0 && this.random() < this.lostResponseFraction;
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
    if (path === '/changes') return this.changes(query, isUnavailable);
    const under = query.get('under');
    if (path === '/store' && under !== null) return this.list(under, query);
    const item = this.items.get(path.slice('/store/'.length));
    if (!item) return { status: 404, body: { ledger: this.ledger } };
    return { status: 200, body: { key: path.slice('/store/'.length), ...item } };
  }

  private list(under: string, query: URLSearchParams): HttpResponse {
    const since = query.get('since') ?? '';
    const most = Number(query.get('most') ?? MAX_PAGE_ITEMS);
    const all = [...this.items]
      .filter(([key]) => key.startsWith(under) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all.slice(0, most).map(([key, i]) => ({ key, ...i }));
    return { status: 200, body: { items, more: all.length > most, ledger: this.ledger } };
  }

  /** An open watch stays open through an outage, and through a refusal of its host. */
  private async changes(query: URLSearchParams, isUnavailable: () => boolean): Promise<HttpResponse> {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since'));
    const until = this.now + Number(query.get('blockMs') ?? 0);
    for (;;) {
      const log = this.log.filter(
        (entry) => entry.stamp > since && ('put' in entry ? entry.put : entry.delete).startsWith(under),
      );
      if (!isUnavailable() && (log.length > 0 || this.now >= until))
        return { status: 200, body: { ledger: this.ledger, log } };
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
        setTimeout(resolve, isUnavailable() ? UNAVAILABLE_WATCH_CHECK_MS : Math.max(0, until - this.now));
      });
    }
  }
}
