/** Watches the leader key: its deletion starts an election at once. */
import type { NodeName, Revision, Term } from '../../core/units.js';
import type { ChangeEvent } from '../../wire/key-value-store.js';
import { keys, parseLeaderRecord } from '../../wire/stored-records.js';
import { sleep } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';

const LEADER_KEY_WATCH_TIMEOUT_MS = 10_000;
const LEADER_KEY_RETRY_DELAY_MS = 300;

/** Callbacks of the leader key watch. */
export interface LeaderKeyListener {
  /** Reads the leader key, and runs for election if it doesn't exist. */
  checkLeaderKey: () => Promise<void>;
  /** The leader key was written and names this leader. */
  onLeader: (node: NodeName, term: Term) => void;
}

/** Watches the leader key; never returns. */
export const watchLeaderKey = async (
  store: KeyValueStoreClient,
  listener: LeaderKeyListener,
): Promise<never> => {
  let since: Revision | null = null;
  for (;;) {
    if (since === null) {
      const listing = await store.list(keys.leaderPrefix);
      if (listing.kind !== 'ok') {
        await sleep(LEADER_KEY_RETRY_DELAY_MS);
        continue;
      }
      since = listing.value.storeRevision;
      await listener.checkLeaderKey();
    }
    const outcome = await store.watch(keys.leaderPrefix, since, LEADER_KEY_WATCH_TIMEOUT_MS);
    if (outcome.kind === 'ok') {
      since = outcome.value.storeRevision;
      for (const change of outcome.value.changes) onChange(change, listener);
    } else if (outcome.kind === 'gone') since = null;
    else await sleep(LEADER_KEY_RETRY_DELAY_MS);
  }
};

const onChange = (change: ChangeEvent, listener: LeaderKeyListener): void => {
  if (change.key !== keys.leader) return;
  if (change.kind === 'deleted') {
    void listener.checkLeaderKey();
    return;
  }
  const leader = parseLeaderRecord(change.data);
  if (leader) listener.onLeader(leader.node, leader.term);
};
