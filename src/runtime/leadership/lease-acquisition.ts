/** Takes leadership: one compare-and-swap creates the leader key, attached to a new lease, and raises the term. */
import type { HeldLease } from '../../core/election.js';
import type { NodeName, Revision, Term, Uint64 } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseLeaderRecord, parseTermRecord } from '../../wire/stored-records.js';
import { monotonicNow } from '../clock.js';
import {
  budgetReserves,
  type KeyValueStoreClient,
  type StoreOutcome,
} from '../key-value-store/key-value-store-client.js';

const ABSENT: Revision = 0;

/** Null: there is a leader already, or the store gave no certain answer. */
export const acquireLeaderLease = async (
  store: KeyValueStoreClient,
  node: NodeName,
  leaseMs: number,
): Promise<HeldLease | null> => {
  const sentAt = monotonicNow();
  const lease = await store.grantLease(leaseMs);
  if (lease.kind !== 'ok') return null;
  const previous = await store.get(keys.term, budgetReserves.urgent);
  if (previous.kind !== 'ok' && previous.kind !== 'gone') return null;
  const term = nextTerm(previous);
  const termRevision = previous.kind === 'ok' ? previous.value.revision : ABSENT;
  const keyRevision = await createLeaderKey(store, { node, term, lease: lease.value, termRevision });
  if (keyRevision === null) {
    void store.revokeLease(lease.value);
    return null;
  }
  return { leaseId: lease.value, term, keyRevision, renewedAt: sentAt };
};

const nextTerm = (previous: StoreOutcome<Item>): Term => {
  const last = previous.kind === 'ok' ? (parseTermRecord(previous.value.data) ?? 0) : 0;
  return (last + 1) as Term;
};

interface Candidacy {
  node: NodeName;
  term: Term;
  lease: Uint64;
  termRevision: Revision;
}

/** The revision of the leader key; null where it was not created. */
const createLeaderKey = async (
  store: KeyValueStoreClient,
  { node, term, lease, termRevision }: Candidacy,
): Promise<Revision | null> => {
  const outcome = await store.transact(
    {
      conditions: [
        { key: keys.leader, revision: ABSENT },
        { key: keys.term, revision: termRevision },
      ],
      changes: [
        { put: keys.leader, data: { node, term }, lease },
        { put: keys.term, data: { term } },
      ],
    },
    budgetReserves.urgent,
  );
  if (outcome.kind === 'ok') return outcome.revision;
  if (outcome.kind !== 'unknown') return null;
  // The answer was lost: the key says whether it was carried out.
  const current = await store.get(keys.leader, budgetReserves.urgent);
  const leader = current.kind === 'ok' ? parseLeaderRecord(current.value.data) : null;
  return current.kind === 'ok' && leader?.node === node && leader.term === term
    ? current.value.revision
    : null;
};
