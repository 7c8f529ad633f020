/**
 * The key-value store's protocol.
 *
 * This module maps the protocol's field names: `stamp` is a key's revision, `permit` a lease, `ledger` the revision of
 * the store, `log` a list of changes.
 */
import * as v from 'valibot';
import { uint64, encodeUint64, parseOrNull, parseWith, boundedText } from './parsing.js';
import type { Uint64, Revision } from '../core/units.js';

/** Holds if the key has this revision; revision 0 means that the key doesn't exist. */
export interface Condition {
  key: string;
  revision: Revision;
}

/** One change of a transaction. A key written with a lease is deleted when the lease ends. */
export type Change = { put: string; data: unknown; lease?: Uint64 } | { delete: string };

/** A compare-and-swap transaction: if all conditions hold, all changes are applied, otherwise none. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

/** A key with its value, as returned by a read. */
export interface Item {
  key: string;
  data: unknown;
  revision: Revision;
  /** The lease that the key is attached to; null: none. */
  lease?: Uint64 | null;
}

/** One page of a listing. */
export interface ItemPage {
  items: Item[];
  /** Whether further items follow the last one of this page. */
  more: boolean;
  storeRevision: Revision;
}

/** A change reported by a watch. */
export type ChangeEvent =
  | { kind: 'put'; key: string; data: unknown; revision: Revision }
  | { kind: 'deleted'; key: string; revision: Revision };

/** The response to a watch: the changes up to a revision of the store. */
export interface WatchResponse {
  storeRevision: Revision;
  changes: ChangeEvent[];
}

const encodeChange = (change: Change) => {
  if ('delete' in change) return { delete: change.delete };
  const { put, data, lease } = change;
  return lease === undefined ? { put, data } : { put, data, permit: encodeUint64(lease) };
};

/** The body of a transaction request. */
export const transactionBody = ({ conditions, changes }: Transaction) => ({
  if: conditions.map(({ key, revision }) => ({ key, stamp: encodeUint64(revision) })),
  then: changes.map(encodeChange),
});

const item = v.pipe(
  v.object({ key: boundedText, data: v.unknown(), stamp: uint64, permit: v.nullish(uint64) }),
  v.transform(({ key, data, stamp, permit }): Item => ({
    key,
    data,
    revision: stamp,
    lease: permit ?? null,
  })),
);
const itemPage = v.pipe(
  v.object({ items: v.array(item), more: v.boolean(), ledger: uint64 }),
  v.transform(({ items, more, ledger }): ItemPage => ({ items, more, storeRevision: ledger })),
);
const committedResponse = v.object({ ledger: uint64 });
const conflictResponse = v.object({ failed: v.array(boundedText), ledger: uint64 });
const grantedLeaseResponse = v.object({ permit: uint64 });
const leaseGoneError = v.object({ error: v.literal('no such lease') });
const putEvent = v.pipe(
  v.object({ put: boundedText, data: v.unknown(), stamp: uint64 }),
  v.transform(({ put, data, stamp }): ChangeEvent => ({ kind: 'put', key: put, data, revision: stamp })),
);
const deletedEvent = v.pipe(
  v.object({ delete: boundedText, stamp: uint64 }),
  v.transform((event): ChangeEvent => ({ kind: 'deleted', key: event.delete, revision: event.stamp })),
);
const watchResponse = v.pipe(
  v.object({ ledger: uint64, log: v.array(v.union([putEvent, deletedEvent])) }),
  v.transform(({ ledger, log }): WatchResponse => ({ storeRevision: ledger, changes: log })),
);

/** Parses an item; like the parsers below, it returns null if the input is malformed. */
export const parseItem = (raw: unknown): Item | null => parseOrNull(item, raw);

/** Parses a page of a listing. */
export const parseItemPage = (raw: unknown): ItemPage | null => parseOrNull(itemPage, raw);

/** Parses the response to a committed transaction: the revision of the keys that it wrote. */
export const parseCommittedRevision = (raw: unknown): Revision | null =>
  parseOrNull(committedResponse, raw)?.ledger ?? null;

/** Parses the response to a failed transaction: the keys whose conditions did not hold. */
export const parseConflictKeys = (raw: unknown): string[] | null =>
  parseOrNull(conflictResponse, raw)?.failed ?? null;

/** Parses the id of a granted lease. */
export const parseGrantedLease = (raw: unknown): Uint64 | null =>
  parseOrNull(grantedLeaseResponse, raw)?.permit ?? null;

/** Whether a transaction was rejected because the lease that it names has ended. */
export const isLeaseGoneError = (raw: unknown): boolean => parseWith(leaseGoneError, raw).ok;

/** Parses the response to a watch or to a request for changes. */
export const parseWatchResponse = (raw: unknown): WatchResponse | null => parseOrNull(watchResponse, raw);

/** Request target of transactions. */
export const TRANSACTION_TARGET = '/multi';

/** Request target for granting a lease. */
export const LEASES_TARGET = '/leases';

/** Request target of a lease. */
export const leaseTarget = (lease: Uint64): string => `${LEASES_TARGET}/${lease}`;

/** Request target for renewing a lease. */
export const leaseRenewalTarget = (lease: Uint64): string => `${leaseTarget(lease)}/extend`;

/** Request target of a key. */
export const itemTarget = (key: string): string => `/store/${key}`;

/**
 * Request target for a page of the items under a prefix; `after` is the last key of the previous page, null for the
 * first.
 */
export const listTarget = (prefix: string, after: string | null, limit: number): string =>
  `/store?under=${prefix}${after === null ? '' : `&since=${after}`}&most=${limit}`;

/**
 * Request target for the changes under a prefix since a revision. While there are none, the store waits up to `waitMs`.
 */
export const watchTarget = (prefix: string, since: Revision, waitMs: number): string =>
  `/changes?under=${prefix}&since=${since}&blockMs=${waitMs}`;

/** The body of a request to grant a lease. */
export const grantLeaseBody = (ttlMs: number) => ({ ttlMs });
