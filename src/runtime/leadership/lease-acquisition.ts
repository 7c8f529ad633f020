/**
 * Acquires leadership: one conditional transaction creates the leader key, attached to a new lease, and increments the
 * term.
 */
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

/** The revision that a condition names for a key that doesn't exist. */
const ABSENT_KEY_REVISION: Revision = 0;

/** Returns null if there is already a leader, or if the store did not confirm the acquisition. */
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
  const termRevision = previous.kind === 'ok' ? previous.value.revision : ABSENT_KEY_REVISION;
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

interface LeaderCandidate {
  node: NodeName;
  term: Term;
  lease: Uint64;
  termRevision: Revision;
}

/** Returns the revision of the leader key, or null if it was not created. */
const createLeaderKey = async (
  store: KeyValueStoreClient,
  { node, term, lease, termRevision }: LeaderCandidate,
): Promise<Revision | null> => {
  const outcome = await store.transact(
    {
      conditions: [
        { key: keys.leader, revision: ABSENT_KEY_REVISION },
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
  // The response was lost: the leader key shows whether the transaction was executed.
  const current = await store.get(keys.leader, budgetReserves.urgent);
  const leader = current.kind === 'ok' ? parseLeaderRecord(current.value.data) : null;
  return current.kind === 'ok' && leader?.node === node && leader.term === term
    ? current.value.revision
    : null;
};
