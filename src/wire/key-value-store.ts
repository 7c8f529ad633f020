/**
 * The key-value store's protocol.
 *
 * The protocol's fields are mapped here to the field's terms: `stamp` to revision, `permit` to lease, `ledger` to store
 * revision, `log` to changes.
 */
import * as v from 'valibot';
import { uint64, encodeUint64, parseOrNull, parseWith, boundedText } from './common.js';
import type { Uint64, Revision } from '../core/units.js';

/** The key is to be at this revision; 0: it is to be absent. */
export interface Condition {
  key: string;
  revision: Revision;
}

/** One change of a transaction. A key put with a lease ends with it. */
export type Change = { put: string; data: unknown; lease?: Uint64 } | { delete: string };

/** A compare-and-swap: all changes are made if all conditions hold, else none. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

/** A key with its value, as a read gives it. */
export interface Item {
  key: string;
  data: unknown;
  revision: Revision;
  /** The lease that the key ends with. */
  lease?: Uint64 | null;
}

/** One page of a listing. */
export interface ItemPage {
  items: Item[];
  /** There are further items after the last of these. */
  more: boolean;
  storeRevision: Revision;
}

/** A change that a watch tells. */
export type ChangeEvent =
  | { kind: 'put'; key: string; data: unknown; revision: Revision }
  | { kind: 'deleted'; key: string; revision: Revision };

/** What has changed up to a revision of the store. */
export interface WatchResponse {
  storeRevision: Revision;
  changes: ChangeEvent[];
}

const encodeChange = (change: Change) => {
  if ('delete' in change) return { delete: change.delete };
  const { put, data, lease } = change;
  return lease === undefined ? { put, data } : { put, data, permit: encodeUint64(lease) };
};

/** The body of a request for a transaction. */
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

/** Null, here and below, for what has another shape. */
export const parseItem = (raw: unknown): Item | null => parseOrNull(item, raw);

/** A page of a listing. */
export const parseItemPage = (raw: unknown): ItemPage | null => parseOrNull(itemPage, raw);

/** The revision of the keys that a transaction wrote. */
export const parseCommittedRevision = (raw: unknown): Revision | null =>
  parseOrNull(committedResponse, raw)?.ledger ?? null;

/** The keys whose conditions did not hold. */
export const parseConflictKeys = (raw: unknown): string[] | null =>
  parseOrNull(conflictResponse, raw)?.failed ?? null;

/** The lease that was granted. */
export const parseGrantedLease = (raw: unknown): Uint64 | null =>
  parseOrNull(grantedLeaseResponse, raw)?.permit ?? null;

/** Whether a refused transaction named a lease that has ended. */
export const isLeaseGoneError = (raw: unknown): boolean => parseWith(leaseGoneError, raw).ok;

/** What a watch, or a question for changes, is answered. */
export const parseWatchResponse = (raw: unknown): WatchResponse | null => parseOrNull(watchResponse, raw);

/** Path of transactions. */
export const TRANSACTION_TARGET = '/multi';

/** Path where leases are asked for. */
export const LEASES_TARGET = '/leases';

/** Path of a lease. */
export const leaseTarget = (lease: Uint64): string => `${LEASES_TARGET}/${lease}`;

/** Path of a lease's renewal. */
export const leaseRenewalTarget = (lease: Uint64): string => `${leaseTarget(lease)}/extend`;

/** Path of a key. */
export const itemTarget = (key: string): string => `/store/${key}`;

/** Path of a page of the items under a prefix; `after` is the last key of the page before. */
export const listTarget = (prefix: string, after: string | null, limit: number): string =>
  `/store?under=${prefix}${after === null ? '' : `&since=${after}`}&most=${limit}`;

/** Path of the changes under a prefix since a revision, held open for this time while there are none. */
export const watchTarget = (prefix: string, since: Revision, waitMs: number): string =>
  `/changes?under=${prefix}&since=${since}&blockMs=${waitMs}`;

/** The body of a request for a lease. */
export const grantLeaseBody = (ttlMs: number) => ({ ttlMs });
