// Leadership: a key attached to a lease in the state service, created in the one transaction that also raises
// the term. This module decides; the runtime carries out the calls.
import type { Uint64, NodeName, Revision, MonotonicTime, Term } from './units.js';

export interface HeldLease {
  leaseId: Uint64;
  term: Term;
  keyRevision: Revision;
  /** Steady time at which the last successful renewal (or the grant) was sent. */
  renewedAt: MonotonicTime;
}

export interface ElectionState {
  heldLease: HeldLease | null;
  /** What the state service last said, or a peer with a higher term. */
  leader: { node: NodeName; term: Term } | null;
}

export const initialElectionState = (): ElectionState => ({ heldLease: null, leader: null });

const CLOCK_DRIFT = 0.001; // twice the published 0.05%, since two clocks are compared
const MARGIN_MS = 50;

/** Authority ends before the state service can let the lease go, counted from the sending of the renewal. */
export const leaseExpiresAt = (held: HeldLease, ttlMs: number): MonotonicTime =>
  (held.renewedAt + ttlMs * (1 - CLOCK_DRIFT) - MARGIN_MS) as MonotonicTime;

export const hasAuthority = (e: ElectionState, ttlMs: number, now: MonotonicTime): boolean =>
  e.heldLease !== null && now < leaseExpiresAt(e.heldLease, ttlMs);

export const recordLeader = (e: ElectionState, node: NodeName, term: Term): void => {
  if (e.leader === null || term >= e.leader.term) e.leader = { node, term };
  // A higher term means that our lease is gone, whatever our own clock says.
  if (e.heldLease !== null && term > e.heldLease.term) e.heldLease = null;
};

export const highestKnownTerm = (e: ElectionState): Term => (e.leader?.term ?? 0) as Term;
