/**
 * A simulated key-value store, implemented from the published protocol: transactions, leases and watches. It can have
 * outages, refuse the requests of one host, execute transactions late and lose responses.
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
/** The delay of a delayed transaction is uniformly distributed from the minimum to the minimum plus the range. */
const MIN_TRANSACTION_DELAY_MS = 2000;
const TRANSACTION_DELAY_RANGE_MS = 10_000;
/** Interval at which an open watch is checked while responses to its host are unavailable. */
const UNAVAILABLE_WATCH_CHECK_MS = 1000;
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const unavailableResponse: HttpResponse = { status: 503, body: { error: 'trouble' } };

/** The stored items and the HTTP interface to them. */
export class SimulatedKeyValueStore {
  readonly items = new Map<string, Item>();
  private readonly leases = new Map<number, Lease>();
  private readonly log: (
    { put: string; data: unknown; stamp: number } | { delete: string; stamp: number }
  )[] = [];
  private revision = 1;
  private nextLeaseId = 1;
  private unavailable = false;
  private readonly refusedHosts = new Set<string>();
  private delayedFraction = 0;
  private lostResponseFraction = 0;
  /** Additional delay of every response. */
  responseDelayMs = 0;
  private watchers: (() => void)[] = [];
  /** The limits on requests. Null: no limits. */
  limits: KeyValueStoreLimits | null = null;
  /** The number of transactions refused because of their size. */
  rejectedForSize = 0;
  /** The number of transactions refused because of the write rate. */
  rejectedForRate = 0;
  private readonly writeBudget = new TokenBucket(Infinity, Infinity, 0);
  /** The number of transactions that got no response and were delayed. */
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

  /** Starts an outage: no request succeeds for `forMs`. At its end, each lease is renewed for its time to live. */
  startOutage(forMs: number): void {
    this.unavailable = true;
    this.host.runtime.clock.after(forMs, () => {
      this.unavailable = false;
      for (const lease of this.leases.values()) lease.endsAt = this.now + lease.ttlMs;
      this.notifyWatchers();
    });
  }

  /** Refuses the requests of this host for `forMs`. */
  refuseHost(ip: string, forMs: number): void {
    this.refusedHosts.add(ip);
    this.host.runtime.clock.after(forMs, () => {
      this.refusedHosts.delete(ip);
      this.notifyWatchers();
    });
  }

  /** Delays the given fraction of transactions by seconds. A delayed transaction gets no response. */
  delayTransactions(fraction: number, forMs: number): void {
    this.delayedFraction = fraction;
    this.host.runtime.clock.after(forMs, () => (this.delayedFraction = 0));
  }

  /** Executes the given fraction of transactions without delay, but loses the response. */
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
    const stamp = ++this.revision;
    for (const change of changes) {
      if ('put' in change) {
        const permit = change.permit === undefined ? {} : { permit: Number(change.permit) };
        this.items.set(change.put, { data: change.data, stamp, ...permit });
        this.log.push({ put: change.put, data: change.data, stamp });
      } else if (this.items.delete(change.delete)) this.log.push({ delete: change.delete, stamp });
    }
    this.notifyWatchers();
  }

  /** The error response to a transaction that exceeds the limits. Null: it is within the limits. */
  private limitError(transaction: Transaction): HttpResponse | null {
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
    this.writeBudget.setRate(writesPerS, writesPerS, this.now);
    if (this.writeBudget.take(transaction.then.length, this.now)) return null;
    this.rejectedForRate++;
    return { status: 429 };
  }

  private transact(transaction: Transaction): HttpResponse {
    const limitError = this.limitError(transaction);
    if (limitError) return limitError;
    const failed = transaction.if
      .filter((condition) => (this.items.get(condition.key)?.stamp ?? 0) !== Number(condition.stamp))
      .map((condition) => condition.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    for (const change of transaction.then) {
      if ('put' in change && change.permit !== undefined && !this.leases.has(Number(change.permit)))
        return { status: 400, body: { error: 'no such lease' } };
    }
    if (transaction.then.length > 0) this.apply(transaction.then);
    return { status: 200, body: { ledger: this.revision } };
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
      const response = this.transact(body as Transaction);
      // The number is drawn only while responses are lost, so that the random sequence of other runs doesn't change.
      const lost = this.lostResponseFraction > 0 && this.random() < this.lostResponseFraction;
      return lost ? null : response;
    }
    if (path === '/leases') {
      const { ttlMs } = body as { ttlMs: number };
      this.leases.set(this.nextLeaseId, { ttlMs, endsAt: this.now + ttlMs });
      return { status: 200, body: { permit: this.nextLeaseId++ } };
    }
    const leasePath = /^\/leases\/(\d+)(\/extend)?$/.exec(path);
    if (leasePath) {
      const id = Number(leasePath[1]);
      const lease = this.leases.get(id);
      if (method === 'DELETE') this.endLease(id);
      else if (!lease) return { status: 404 };
      else lease.endsAt = this.now + lease.ttlMs;
      return { status: 200 };
    }
    if (path === '/changes') return this.watch(query, isUnavailable);
    const prefix = query.get('under');
    if (path === '/store' && prefix !== null) return this.list(prefix, query);
    const item = this.items.get(path.slice('/store/'.length));
    if (!item) return { status: 404, body: { ledger: this.revision } };
    return { status: 200, body: { key: path.slice('/store/'.length), ...item } };
  }

  private list(prefix: string, query: URLSearchParams): HttpResponse {
    const startAfter = query.get('since') ?? '';
    const limit = Number(query.get('most') ?? MAX_PAGE_ITEMS);
    const all = [...this.items]
      .filter(([key]) => key.startsWith(prefix) && key > startAfter)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all.slice(0, limit).map(([key, i]) => ({ key, ...i }));
    return { status: 200, body: { items, more: all.length > limit, ledger: this.revision } };
  }

  /** Responds to a watch request. An open watch stays open during an outage and while its host is refused. */
  private async watch(query: URLSearchParams, isUnavailable: () => boolean): Promise<HttpResponse> {
    const prefix = query.get('under') ?? '';
    const sinceRevision = Number(query.get('since'));
    const until = this.now + Number(query.get('blockMs') ?? 0);
    for (;;) {
      const log = this.log.filter(
        (entry) =>
          entry.stamp > sinceRevision && ('put' in entry ? entry.put : entry.delete).startsWith(prefix),
      );
      if (!isUnavailable() && (log.length > 0 || this.now >= until))
        return { status: 200, body: { ledger: this.revision, log } };
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
        setTimeout(resolve, isUnavailable() ? UNAVAILABLE_WATCH_CHECK_MS : Math.max(0, until - this.now));
      });
    }
  }
}
