/** Renews the leader lease while this controller holds it. */
import type { ElectionState } from '../../core/election.js';
import { monotonicNow, sleep } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';

/** More than one, so that several renewals may fail before the lease expires. */
const RENEWALS_PER_LEASE = 5;

/** Dependencies of the lease renewal. */
export interface LeaseRenewalDependencies {
  store: KeyValueStoreClient;
  log: Logger;
  leaseMs: number;
  electionState: ElectionState;
  authorityLeftMs: () => number | null;
  /** The lease no longer exists in the store. */
  onLeaseGone: () => void;
}

/** Renews the lease that is held, if any; never returns. */
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
      // The time of sending: the store may have renewed the lease at any time since then.
      held.renewedAt = sentAt;
      log.debug({ term: held.term, lease: held.leaseId, authorityMs: authorityLeftMs() }, 'lease renewed');
    } else if (outcome.kind === 'gone') onLeaseGone();
    else {
      const fields = { outcome: outcome.kind, authorityLeftMs: authorityLeftMs() };
      log.rateLimited('renew', 'info', fields, 'lease not renewed');
    }
  }
};
