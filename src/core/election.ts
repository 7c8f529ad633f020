/**
 * Leader election: a key attached to a lease in the key-value store, created in the one transaction that also raises
 * the term. This module decides; the runtime carries out the calls.
 */
import { CLOCK_DRIFT_FRACTION } from './clock-drift.js';
import type { Uint64, NodeName, Revision, MonotonicTime, Term } from './units.js';

/** One leadership of a controller. */
export interface Leadership {
  term: Term;
  /** Revision of the leader key: a write on the condition that it is unchanged only succeeds under this leadership. */
  keyRevision: Revision;
}

/** A leadership of this controller, and the lease that it stands on. */
export interface HeldLease {
  leaseId: Uint64;
  term: Term;
  keyRevision: Revision;
  /** When the last successful renewal (or the grant) was sent. */
  renewedAt: MonotonicTime;
}

/** What this controller knows of the leadership. */
export interface ElectionState {
  /** Null while it doesn't lead. */
  heldLease: HeldLease | null;
  /** The newest leader that the key-value store or a peer has named. */
  leader: { node: NodeName; term: Term } | null;
}

/** A controller that leads nothing and knows no leader. */
export const initialElectionState = (): ElectionState => ({ heldLease: null, leader: null });

/** Between the end of the leader's authority and the earliest expiry of the lease. */
const AUTHORITY_MARGIN_MS = 50;

/** Authority ends before the key-value store can let the lease expire, counted from the sending of the renewal. */
export const authorityEndsAt = (held: HeldLease, ttlMs: number): MonotonicTime =>
  (held.renewedAt + ttlMs * (1 - CLOCK_DRIFT_FRACTION) - AUTHORITY_MARGIN_MS) as MonotonicTime;

/** Whether this controller may act as the leader. */
export const hasAuthority = (election: ElectionState, ttlMs: number, now: MonotonicTime): boolean =>
  election.heldLease !== null && now < authorityEndsAt(election.heldLease, ttlMs);

/** Takes over a leader that was named, unless a newer one is known. */
export const recordLeader = (election: ElectionState, node: NodeName, term: Term): void => {
  if (election.leader === null || term >= election.leader.term) election.leader = { node, term };
  // A higher term means that our lease is gone, whatever our own clock says.
  if (election.heldLease !== null && term > election.heldLease.term) election.heldLease = null;
};

/** The term of the newest known leader; 0 if none is known. */
export const highestKnownTerm = (election: ElectionState): Term => (election.leader?.term ?? 0) as Term;
