/**
 * Leader election by a key that is attached to a lease in the key-value store. The transaction that creates the key
 * also raises the term. This module contains the rules; the runtime sends the requests.
 */
import { CLOCK_DRIFT_FRACTION } from './clock-drift.js';
import type { Uint64, NodeName, Revision, MonotonicTime, Term } from './units.js';

/** A period in which one controller is the leader. */
export interface Leadership {
  term: Term;
  /** Revision of the leader key. A write conditional on this revision succeeds only during this leadership. */
  keyRevision: Revision;
}

/** A leadership of this controller, with the lease that it depends on. */
export interface HeldLease {
  leaseId: Uint64;
  term: Term;
  keyRevision: Revision;
  /** When the last successful renewal, or the grant, of the lease was sent. */
  renewedAt: MonotonicTime;
}

/** The leader election as known to this controller. */
export interface ElectionState {
  /** Null while this controller is not the leader. */
  heldLease: HeldLease | null;
  /** The newest leader reported by the key-value store or by a peer. */
  leader: { node: NodeName; term: Term } | null;
}

/** The state of a controller that is not the leader and knows of no leader. */
export const initialElectionState = (): ElectionState => ({ heldLease: null, leader: null });

/** Margin between the end of the leader's authority and the earliest possible expiry of the lease. */
const AUTHORITY_MARGIN_MS = 50;

/** When the leader's authority ends, which is before the key-value store can expire a lease renewed at `renewedAt`. */
export const authorityEndsAt = (held: HeldLease, ttlMs: number): MonotonicTime =>
  (held.renewedAt + ttlMs * (1 - CLOCK_DRIFT_FRACTION) - AUTHORITY_MARGIN_MS) as MonotonicTime;

/** Whether this controller may act as the leader. */
export const hasAuthority = (election: ElectionState, ttlMs: number, now: MonotonicTime): boolean =>
  election.heldLease !== null && now < authorityEndsAt(election.heldLease, ttlMs);

/** Records a reported leader, unless a newer one is known. */
export const recordLeader = (election: ElectionState, node: NodeName, term: Term): void => {
  if (election.leader === null || term >= election.leader.term) election.leader = { node, term };
  // A higher term means that this controller's lease is lost, even if it is still valid by the local clock.
  if (election.heldLease !== null && term > election.heldLease.term) election.heldLease = null;
};

/** The term of the newest known leader; 0 if none is known. */
export const highestKnownTerm = (election: ElectionState): Term => (election.leader?.term ?? 0) as Term;
