import { HttpClient } from '../http/http-client.js';
import { TokenBucket } from './token-bucket.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { Uint64, Revision } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/key-value-store.js';

export type StoreOutcome<T> =
  | { kind: 'ok'; value: T }
  | { kind: 'refused' } // certainly not carried out: 429, 503, over our budget, never sent
  | { kind: 'unknown' } // no answer: may have been carried out, or may yet be
  | { kind: 'gone' }; // 404 or 410
export type TransactionOutcome =
  | { kind: 'ok'; revision: Revision }
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'lease-gone' }
  /** Never carried out, and never will be in this form: too large, too many changes. */
  | { kind: 'invalid' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

const TIMEOUT_MS = 1200;
/** A request may wait this long for its turn in the budget, and so many may; beyond, the answer is no, at once. */
const MAX_WAIT_MS = 250;
const MAX_WAITING = 24;
/** What remains in the buckets for callers that must not be starved. */
export const budgetReserves = { urgent: 0, normal: 2 };

export class KeyValueStoreClient {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;
  /** A pool of its own: a leader whose other calls are slow or many must not lose its lease for want of a connection. */
  private readonly leases: HttpClient;
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private share = 1 / 3;
  private caution = 1;
  private waiting = 0;
  /** Steady time of the last answer that was not an error; tells an outage from a quiet time. */
  lastAnswerAt = -Infinity;

  constructor(private readonly platform: PlatformSettings) {
    this.calls = new HttpClient(platform.keyValueStore, 24, 20_000);
    this.watches = new HttpClient(platform.keyValueStore, 4, 20_000);
    this.leases = new HttpClient(platform.keyValueStore, 3, 20_000);
    const now = performance.now();
    this.requests = new TokenBucket(1, 1, now);
    this.writes = new TokenBucket(1, 1, now);
    this.applyShare();
  }

  /** The limits hold for all controllers together, so each one keeps to a share of them. */
  setBudgetShare(share: number): void {
    this.share = share;
    this.applyShare();
  }

  private applyShare(): void {
    const { rps, writeRps } = this.platform.keyValueStoreLimits;
    const now = performance.now();
    const part = this.share * this.caution * 0.9;
    this.requests.setRate(rps * part, Math.max(4, rps * part), now);
    this.writes.setRate(writeRps * part, Math.max(4, writeRps * part), now);
  }

  /**
   * The shares add up to more than the whole, since seldom all controllers are busy at once. When they are, the
   * service refuses with 429, and each takes less for a while.
   */
  private noteStatus(status: number): void {
    const before = this.caution;
    if (status === 429) this.caution = Math.max(0.3, this.caution * 0.85);
    else this.caution = Math.min(1, this.caution + 0.004);
    if (this.caution !== before) this.applyShare();
  }

  /** A turn in both budgets, at once or after a short wait in a small queue. */
  private async turn(requests: number, writes: number, reserve: number): Promise<boolean> {
    const began = performance.now();
    for (;;) {
      const now = performance.now();
      const waitMs = Math.max(
        this.writes.waitMs(writes, now, writes > 0 ? reserve : 0),
        this.requests.waitMs(requests, now, reserve),
      );
      if (waitMs === 0) {
        this.requests.take(requests, now, reserve);
        if (writes > 0) this.writes.take(writes, now, reserve);
        return true;
      }
      if (now - began + waitMs > MAX_WAIT_MS || this.waiting >= MAX_WAITING) return false;
      this.waiting++;
      await new Promise((r) => setTimeout(r, waitMs + 1));
      this.waiting--;
    }
  }

  async get(key: string, reserve = budgetReserves.normal): Promise<StoreOutcome<wire.Item>> {
    return this.read(`/store/${key}`, wire.parseItem, reserve);
  }

  async list(prefix: string): Promise<StoreOutcome<{ items: wire.Item[]; ledger: Uint64 }>> {
    const items: wire.Item[] = [];
    let since: string | null = null;
    let ledger: Uint64 | null = null;
    for (;;) {
      const page: StoreOutcome<NonNullable<ReturnType<typeof wire.parseItems>>> = await this.read(
        wire.listTarget(prefix, since, 1000),
        wire.parseItems,
        budgetReserves.urgent,
      );
      if (page.kind !== 'ok') return page;
      items.push(...page.value.items);
      ledger ??= page.value.ledger; // the first page's: a watch from there misses nothing
      const last = page.value.items.at(-1);
      if (!page.value.more || !last) return { kind: 'ok', value: { items, ledger } };
      since = last.key;
    }
  }

  async transact(t: wire.Transaction, reserve = budgetReserves.normal): Promise<TransactionOutcome> {
    if (!(await this.turn(1, t.changes.length, reserve))) return { kind: 'refused' };
    const r = await this.calls.request('POST', '/multi', encode(wire.transactionBody(t)), TIMEOUT_MS);
    if (!r.ok) return r.sent ? { kind: 'unknown' } : { kind: 'refused' };
    this.noteStatus(r.status);
    const body = tryDecode(r.body);
    if (r.status === 200) {
      const c = wire.parseCommitted(body);
      this.lastAnswerAt = performance.now();
      return c ? { kind: 'ok', revision: c.ledger } : { kind: 'unknown' };
    }
    if (r.status === 409) {
      this.lastAnswerAt = performance.now();
      return { kind: 'conflict', failed: wire.parseConflict(body)?.failed ?? [] };
    }
    if (r.status === 400) return { kind: wire.isLeaseGoneError(body) ? 'lease-gone' : 'invalid' };
    return { kind: 'refused' };
  }

  async grantLease(ttlMs: number): Promise<StoreOutcome<Uint64>> {
    const r = await this.leases.request('POST', '/leases', encode(wire.leaseBody(ttlMs)), TIMEOUT_MS);
    return this.outcome(r, wire.parseLease);
  }

  /** Renewals pass the budget by: nothing may starve them. */
  async renewLease(lease: Uint64): Promise<StoreOutcome<true>> {
    const r = await this.leases.request('POST', `/leases/${lease}/extend`, null, TIMEOUT_MS);
    return this.outcome(r, () => true as const);
  }

  async revokeLease(lease: Uint64): Promise<void> {
    await this.leases.request('DELETE', `/leases/${lease}`, null, TIMEOUT_MS);
  }

  /** What has changed since, at once. */
  async changesSince(prefix: string, since: Uint64) {
    return this.read(wire.watchTarget(prefix, since, 0), wire.parseChanges, budgetReserves.urgent);
  }

  async watch(prefix: string, since: Uint64, waitMs: number) {
    const r = await this.watches.request('GET', wire.watchTarget(prefix, since, waitMs), null, waitMs + 3000);
    return this.outcome(r, wire.parseChanges);
  }

  private async read<T>(
    target: string,
    parse: (raw: unknown) => T | null,
    reserve: number,
  ): Promise<StoreOutcome<T>> {
    if (!(await this.turn(1, 0, reserve))) return { kind: 'refused' };
    const r = await this.calls.request('GET', target, null, TIMEOUT_MS);
    if (r.ok) this.noteStatus(r.status);
    return this.outcome(r, parse);
  }

  private outcome<T>(
    r: Awaited<ReturnType<HttpClient['request']>>,
    parse: (raw: unknown) => T | null,
  ): StoreOutcome<T> {
    if (!r.ok) return r.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (r.status === 404 || r.status === 410) {
      this.lastAnswerAt = performance.now();
      return { kind: 'gone' };
    }
    if (r.status !== 200 && r.status !== 201) return { kind: 'refused' };
    const value = parse(r.body.length === 0 ? {} : tryDecode(r.body));
    this.lastAnswerAt = performance.now();
    return value === null ? { kind: 'unknown' } : { kind: 'ok', value };
  }
}
