/** Client of the key-value store: reads, compare-and-swap transactions, leases and watches, within the rate limits. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { Revision, Uint64 } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/key-value-store.js';
import { monotonicNow } from '../clock.js';
import { HttpClient, type HttpResult } from '../http/http-client.js';
import { RequestBudget } from './request-budget.js';

/** How a read, a watch or a call about a lease ended. */
export type StoreOutcome<T> =
  | { kind: 'ok'; value: T }
  /** Certainly not carried out: refused by the store, over the budget, or never sent. */
  | { kind: 'refused' }
  /** No usable answer: may have been carried out, or may yet be. */
  | { kind: 'unknown' }
  /** There is no such key or lease, or the changes asked for are not kept any more. */
  | { kind: 'gone' };

/** How a transaction ended. */
export type TransactionOutcome =
  | { kind: 'ok'; revision: Revision }
  /** Conditions on these keys did not hold. */
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'lease-gone' }
  /** Never carried out, and never will be in this form: too large, too many changes. */
  | { kind: 'invalid' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

/** All items under a prefix. */
export interface Listing {
  items: wire.Item[];
  /** A watch from here misses no change of the items. */
  storeRevision: Revision;
}

/** What callers leave in the budget for others that must not be starved. */
export const budgetReserves = { urgent: 0, normal: 2 };

const TIMEOUT_MS = 1200;
/** Beyond the time that the store itself holds a watch open. */
const WATCH_GRACE_MS = 3000;
const MAX_IDLE_MS = 20_000;
const CALL_CONNECTIONS = 24;
const WATCH_CONNECTIONS = 4;
const LEASE_CONNECTIONS = 3;
const PAGE_ITEMS = 1000;

/** One for each controller process. */
export class KeyValueStoreClient {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;
  /** A pool of its own. Guards against a leader that loses its lease for want of a connection. */
  private readonly leases: HttpClient;
  private readonly budget: RequestBudget;
  /** Monotonic time of the last answer that was not an error; tells an outage from a time without changes. */
  lastAnswerAt = -Infinity;

  constructor({ keyValueStore, keyValueStoreLimits }: PlatformSettings) {
    this.calls = new HttpClient(keyValueStore, CALL_CONNECTIONS, MAX_IDLE_MS);
    this.watches = new HttpClient(keyValueStore, WATCH_CONNECTIONS, MAX_IDLE_MS);
    this.leases = new HttpClient(keyValueStore, LEASE_CONNECTIONS, MAX_IDLE_MS);
    this.budget = new RequestBudget(keyValueStoreLimits);
  }

  /** The share of the store's rate limits that this controller keeps to. */
  setBudgetShare(share: number): void {
    this.budget.setShare(share);
  }

  /** Reads one key. */
  async get(key: string, reserve = budgetReserves.normal): Promise<StoreOutcome<wire.Item>> {
    return this.read(wire.itemTarget(key), wire.parseItem, reserve);
  }

  /** Reads all keys under a prefix, page by page. */
  async list(prefix: string): Promise<StoreOutcome<Listing>> {
    const items: wire.Item[] = [];
    let after: string | null = null;
    let storeRevision: Revision | null = null;
    for (;;) {
      const page: StoreOutcome<wire.ItemPage> = await this.read(
        wire.listTarget(prefix, after, PAGE_ITEMS),
        wire.parseItemPage,
        budgetReserves.urgent,
      );
      if (page.kind !== 'ok') return page;
      items.push(...page.value.items);
      storeRevision ??= page.value.storeRevision; // the first page's: a watch from there misses nothing
      const last = page.value.items.at(-1);
      if (!page.value.more || !last) return { kind: 'ok', value: { items, storeRevision } };
      after = last.key;
    }
  }

  /** Makes all changes at once if all conditions hold. */
  async transact(
    transaction: wire.Transaction,
    reserve = budgetReserves.normal,
  ): Promise<TransactionOutcome> {
    if (!(await this.budget.acquire(1, transaction.changes.length, reserve))) return { kind: 'refused' };
    const encoded = encode(wire.transactionBody(transaction));
    const reply = await this.calls.request('POST', wire.TRANSACTION_TARGET, encoded, TIMEOUT_MS);
    if (!reply.ok) return reply.sent ? { kind: 'unknown' } : { kind: 'refused' };
    this.budget.recordStatus(reply.status);
    return this.transactionOutcome(reply.status, tryDecode(reply.body));
  }

  /** Asks for a new lease. */
  async grantLease(ttlMs: number): Promise<StoreOutcome<Uint64>> {
    const encoded = encode(wire.grantLeaseBody(ttlMs));
    const reply = await this.leases.request('POST', wire.LEASES_TARGET, encoded, TIMEOUT_MS);
    return this.outcome(reply, wire.parseGrantedLease);
  }

  /** Renewals pass the budget by: nothing may starve them. */
  async renewLease(lease: Uint64): Promise<StoreOutcome<true>> {
    const reply = await this.leases.request('POST', wire.leaseRenewalTarget(lease), null, TIMEOUT_MS);
    return this.outcome(reply, () => true as const);
  }

  /** Ends a lease before its time, with the keys attached to it. */
  async revokeLease(lease: Uint64): Promise<void> {
    await this.leases.request('DELETE', wire.leaseTarget(lease), null, TIMEOUT_MS);
  }

  /** What has changed since, at once. */
  async changesSince(prefix: string, since: Revision): Promise<StoreOutcome<wire.WatchResponse>> {
    return this.read(wire.watchTarget(prefix, since, 0), wire.parseWatchResponse, budgetReserves.urgent);
  }

  /** What has changed since, as soon as there is anything, and without any after this time. */
  async watch(prefix: string, since: Revision, waitMs: number): Promise<StoreOutcome<wire.WatchResponse>> {
    const target = wire.watchTarget(prefix, since, waitMs);
    const reply = await this.watches.request('GET', target, null, waitMs + WATCH_GRACE_MS);
    return this.outcome(reply, wire.parseWatchResponse);
  }

  private async read<T>(
    target: string,
    parse: (raw: unknown) => T | null,
    reserve: number,
  ): Promise<StoreOutcome<T>> {
    if (!(await this.budget.acquire(1, 0, reserve))) return { kind: 'refused' };
    const reply = await this.calls.request('GET', target, null, TIMEOUT_MS);
    if (reply.ok) this.budget.recordStatus(reply.status);
    return this.outcome(reply, parse);
  }

  private outcome<T>(reply: HttpResult, parse: (raw: unknown) => T | null): StoreOutcome<T> {
    if (!reply.ok) return reply.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (reply.status === HTTP_STATUS.notFound || reply.status === HTTP_STATUS.gone) {
      this.lastAnswerAt = monotonicNow();
      return { kind: 'gone' };
    }
    if (reply.status !== HTTP_STATUS.ok && reply.status !== HTTP_STATUS.created) return { kind: 'refused' };
    const value = parse(reply.body.length === 0 ? {} : tryDecode(reply.body));
    this.lastAnswerAt = monotonicNow();
    return value === null ? { kind: 'unknown' } : { kind: 'ok', value };
  }

  private transactionOutcome(status: number, body: unknown): TransactionOutcome {
    switch (status) {
      case HTTP_STATUS.ok: {
        const revision = wire.parseCommittedRevision(body);
        this.lastAnswerAt = monotonicNow();
        return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
      }
      case HTTP_STATUS.conflict:
        this.lastAnswerAt = monotonicNow();
        return { kind: 'conflict', failed: wire.parseConflictKeys(body) ?? [] };
      case HTTP_STATUS.badRequest:
        return { kind: wire.isLeaseGoneError(body) ? 'lease-gone' : 'invalid' };
      default:
        return { kind: 'refused' };
    }
  }
}
