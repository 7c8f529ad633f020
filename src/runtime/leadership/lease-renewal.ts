/** Keeps the leader's lease alive for as long as it is held. */
import type { ElectionState } from '../../core/election.js';
import { monotonicNow, sleep } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';

/** Several renewals may fail before the lease expires. */
const RENEWALS_PER_LEASE = 5;

/** What a renewal needs of the election. */
export interface LeaseRenewalDependencies {
  store: KeyValueStoreClient;
  log: Logger;
  leaseMs: number;
  electionState: ElectionState;
  authorityLeftMs: () => number | null;
  /** The store doesn't know the lease any more. */
  onLeaseGone: () => void;
}

/** Renews whichever lease is held; never returns. */
export const renewHeldLease = async (dependencies: LeaseRenewalDependencies): Promise<never> => {
  const { store, log, leaseMs, electionState, authorityLeftMs, onLeaseGone } = dependencies;
  for (;;) {
    await sleep(leaseMs / RENEWALS_PER_LEASE);
    const held = electionState.heldLease;
    if (!held) continue;
    const sentAt = monotonicNow();
    const outcome = await store.renewLease(held.leaseId);
    if (electionState.heldLease !== held) continue;
    if (outcome.kind === 'ok') {
      // From the sending: the store may have counted from then on.
      held.renewedAt = sentAt;
      log.debug({ term: held.term, lease: held.leaseId, authorityMs: authorityLeftMs() }, 'lease renewed');
    } else if (outcome.kind === 'gone') onLeaseGone();
    else {
      const fields = { outcome: outcome.kind, authorityLeftMs: authorityLeftMs() };
      log.rateLimited('renew', 'info', fields, 'lease not renewed');
    }
  }
};
