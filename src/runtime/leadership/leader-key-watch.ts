/** Watches the leader key: its deletion starts an election at once. */
import type { NodeName, Revision, Term } from '../../core/units.js';
import type { ChangeEvent } from '../../wire/key-value-store.js';
import { keys, parseLeaderRecord } from '../../wire/stored-records.js';
import { sleep } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';

const WATCH_MS = 10_000;
const RETRY_MS = 300;

/** Where what the watch sees goes. */
export interface LeaderKeyListener {
  /** Reads the key, and runs for election where there is none. */
  readLeaderKey: () => Promise<void>;
  /** The key names this leader. */
  onLeader: (node: NodeName, term: Term) => void;
}

/** Follows the changes of the leader key; never returns. */
export const watchLeaderKey = async (
  store: KeyValueStoreClient,
  listener: LeaderKeyListener,
): Promise<never> => {
  let since: Revision | null = null;
  for (;;) {
    if (since === null) {
      const listing = await store.list(keys.leaderPrefix);
      if (listing.kind !== 'ok') {
        await sleep(RETRY_MS);
        continue;
      }
      since = listing.value.storeRevision;
      await listener.readLeaderKey();
    }
    const outcome = await store.watch(keys.leaderPrefix, since, WATCH_MS);
    if (outcome.kind === 'ok') {
      since = outcome.value.storeRevision;
      for (const change of outcome.value.changes) onChange(change, listener);
    } else if (outcome.kind === 'gone') since = null;
    else await sleep(RETRY_MS);
  }
};

const onChange = (change: ChangeEvent, listener: LeaderKeyListener): void => {
  if (change.key !== keys.leader) return;
  if (change.kind === 'deleted') {
    void listener.readLeaderKey();
    return;
  }
  const leader = parseLeaderRecord(change.data);
  if (leader) listener.onLeader(leader.node, leader.term);
};
