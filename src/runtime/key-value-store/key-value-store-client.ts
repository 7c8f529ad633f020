/** Key-value store client: reads, compare-and-swap transactions, leases and watches, within the store's rate limits. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { Revision, Uint64 } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/key-value-store.js';
import { monotonicNow } from '../clock.js';
import { HttpClient, type HttpResult } from '../http/http-client.js';
import { RequestBudget } from './request-budget.js';

/** Outcome of a read, a watch or a lease operation. */
export type StoreOutcome<T> =
  | { kind: 'ok'; value: T }
  /** Not executed: rejected by the store, over the request budget, or never sent. */
  | { kind: 'refused' }
  /** No usable response: the request may have been executed, or may still be. */
  | { kind: 'unknown' }
  /** The key or lease does not exist, or the store no longer keeps the requested changes. */
  | { kind: 'gone' };

/** Outcome of a transaction. */
export type TransactionOutcome =
  | { kind: 'ok'; revision: Revision }
  /** The conditions on the keys in `failed` did not hold. */
  | { kind: 'conflict'; failed: string[] }
  | { kind: 'lease-gone' }
  /** Rejected permanently: a value is too large, or there are too many changes. */
  | { kind: 'invalid' }
  | { kind: 'refused' }
  | { kind: 'unknown' };

/** All items under a prefix. */
export interface Listing {
  items: wire.Item[];
  /** A watch from this revision misses no change to the items. */
  storeRevision: Revision;
}

/** Tokens that a request must leave in the request budget, so that urgent requests are not starved by normal ones. */
export const budgetReserves = { urgent: 0, normal: 2 };

const STORE_REQUEST_TIMEOUT_MS = 1200;
/** Added to the time for which the store holds a watch open. */
const WATCH_TIMEOUT_MARGIN_MS = 3000;
const MAX_CONNECTION_IDLE_MS = 20_000;
const MAX_REQUEST_CONNECTIONS = 24;
const MAX_WATCH_CONNECTIONS = 4;
const MAX_LEASE_CONNECTIONS = 3;
const ITEMS_PER_PAGE = 1000;

/** The client of one controller process. */
export class KeyValueStoreClient {
  private readonly requestClient: HttpClient;
  private readonly watchClient: HttpClient;
  /** A separate pool, because a leader without a free connection for renewals would lose its lease. */
  private readonly leaseClient: HttpClient;
  private readonly budget: RequestBudget;
  /** Monotonic time of the last successful response; distinguishes an outage from a period without changes. */
  lastResponseAt = -Infinity;

  constructor({ keyValueStore, keyValueStoreLimits }: PlatformSettings) {
    this.requestClient = new HttpClient(keyValueStore, MAX_REQUEST_CONNECTIONS, MAX_CONNECTION_IDLE_MS);
    this.watchClient = new HttpClient(keyValueStore, MAX_WATCH_CONNECTIONS, MAX_CONNECTION_IDLE_MS);
    this.leaseClient = new HttpClient(keyValueStore, MAX_LEASE_CONNECTIONS, MAX_CONNECTION_IDLE_MS);
    this.budget = new RequestBudget(keyValueStoreLimits);
  }

  /** Sets the fraction of the store's rate limits that this controller uses. */
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
        wire.listTarget(prefix, after, ITEMS_PER_PAGE),
        wire.parseItemPage,
        budgetReserves.urgent,
      );
      if (page.kind !== 'ok') return page;
      items.push(...page.value.items);
      storeRevision ??= page.value.storeRevision; // of the first page, so that a watch from it misses no change
      const last = page.value.items.at(-1);
      if (!page.value.more || !last) return { kind: 'ok', value: { items, storeRevision } };
      after = last.key;
    }
  }

  /** Applies all changes atomically if all conditions hold. */
  async transact(
    transaction: wire.Transaction,
    reserve = budgetReserves.normal,
  ): Promise<TransactionOutcome> {
    if (!(await this.budget.acquire(1, transaction.changes.length, reserve))) return { kind: 'refused' };
    const encoded = encode(wire.transactionBody(transaction));
    const reply = await this.requestClient.request(
      'POST',
      wire.TRANSACTION_TARGET,
      encoded,
      STORE_REQUEST_TIMEOUT_MS,
    );
    if (!reply.ok) return reply.sent ? { kind: 'unknown' } : { kind: 'refused' };
    this.budget.recordStatus(reply.status);
    return this.transactionOutcome(reply.status, tryDecode(reply.body));
  }

  /** Requests a new lease. */
  async grantLease(ttlMs: number): Promise<StoreOutcome<Uint64>> {
    const encoded = encode(wire.grantLeaseBody(ttlMs));
    const reply = await this.leaseClient.request(
      'POST',
      wire.LEASES_TARGET,
      encoded,
      STORE_REQUEST_TIMEOUT_MS,
    );
    return this.outcome(reply, wire.parseGrantedLease);
  }

  /** Renews a lease. Lease requests bypass the request budget, so that other requests cannot starve them. */
  async renewLease(lease: Uint64): Promise<StoreOutcome<true>> {
    const reply = await this.leaseClient.request(
      'POST',
      wire.leaseRenewalTarget(lease),
      null,
      STORE_REQUEST_TIMEOUT_MS,
    );
    return this.outcome(reply, () => true as const);
  }

  /** Revokes a lease, which deletes the keys attached to it. */
  async revokeLease(lease: Uint64): Promise<void> {
    await this.leaseClient.request('DELETE', wire.leaseTarget(lease), null, STORE_REQUEST_TIMEOUT_MS);
  }

  /** Returns the changes since a revision, without waiting. */
  async watchResponse(prefix: string, since: Revision): Promise<StoreOutcome<wire.WatchResponse>> {
    return this.read(wire.watchTarget(prefix, since, 0), wire.parseWatchResponse, budgetReserves.urgent);
  }

  /** Returns the changes since a revision as soon as there are any, or none after `waitMs`. */
  async watch(prefix: string, since: Revision, waitMs: number): Promise<StoreOutcome<wire.WatchResponse>> {
    const target = wire.watchTarget(prefix, since, waitMs);
    const reply = await this.watchClient.request('GET', target, null, waitMs + WATCH_TIMEOUT_MARGIN_MS);
    return this.outcome(reply, wire.parseWatchResponse);
  }

  private async read<T>(
    target: string,
    parse: (raw: unknown) => T | null,
    reserve: number,
  ): Promise<StoreOutcome<T>> {
    if (!(await this.budget.acquire(1, 0, reserve))) return { kind: 'refused' };
    const reply = await this.requestClient.request('GET', target, null, STORE_REQUEST_TIMEOUT_MS);
    if (reply.ok) this.budget.recordStatus(reply.status);
    return this.outcome(reply, parse);
  }

  private outcome<T>(reply: HttpResult, parse: (raw: unknown) => T | null): StoreOutcome<T> {
    if (!reply.ok) return reply.sent ? { kind: 'unknown' } : { kind: 'refused' };
    if (reply.status === HTTP_STATUS.notFound || reply.status === HTTP_STATUS.gone) {
      this.lastResponseAt = monotonicNow();
      return { kind: 'gone' };
    }
    if (reply.status !== HTTP_STATUS.ok && reply.status !== HTTP_STATUS.created) return { kind: 'refused' };
    const value = parse(reply.body.length === 0 ? {} : tryDecode(reply.body));
    this.lastResponseAt = monotonicNow();
    return value === null ? { kind: 'unknown' } : { kind: 'ok', value };
  }

  private transactionOutcome(status: number, body: unknown): TransactionOutcome {
    switch (status) {
      case HTTP_STATUS.ok: {
        const revision = wire.parseCommittedRevision(body);
        this.lastResponseAt = monotonicNow();
        return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
      }
      case HTTP_STATUS.conflict:
        this.lastResponseAt = monotonicNow();
        return { kind: 'conflict', failed: wire.parseConflictKeys(body) ?? [] };
      case HTTP_STATUS.badRequest:
        return { kind: wire.isLeaseGoneError(body) ? 'lease-gone' : 'invalid' };
      default:
        return { kind: 'refused' };
    }
  }
}
