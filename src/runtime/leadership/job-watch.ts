/** Brings jobs' records to the leader: those of the first load, and then each change. */
import type { Leader } from '../../core/leader/leader.js';
import type { JobId, Revision } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseJobRecord } from '../../wire/stored-records.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow, sleep, wallClockNow } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import { listUntilAnswered } from '../key-value-store/list-until-answered.js';
import type { Logger } from '../logger.js';

const WATCH_MS = 10_000;
const RETRY_MS = 250;

/** What the watch needs. */
export interface JobWatchDependencies {
  store: KeyValueStoreClient;
  log: Logger;
  cancellations: Pick<CancellationFeed, 'has'>;
  /** Null once this leadership has ended. */
  leader: () => Leader | null;
  onChanges: () => void;
}

/** The jobs of one leadership. */
export class JobWatch {
  constructor(private readonly dependencies: JobWatchDependencies) {}

  /** A record as the store has it; one that can't be read is passed over. */
  applyRecord(
    leader: Leader,
    { key, data, revision }: Pick<Item, 'key' | 'data' | 'revision'>,
    fromEarlierLeader: boolean,
  ): void {
    const { cancellations, log } = this.dependencies;
    const record = parseJobRecord(data);
    if (!record) {
      log.error({ key }, 'damaged job record, not placed');
      return;
    }
    const id = key.slice(keys.jobRecordPrefix.length) as JobId;
    leader.applyJobRecord({ id, record, revision, fromEarlierLeader }, monotonicNow(), wallClockNow());
    if (cancellations.has(id)) leader.applyCancellation(id, monotonicNow());
  }

  /** Follows the changes since this revision until the leadership ends. */
  async run(from: Revision): Promise<void> {
    const { store, onChanges } = this.dependencies;
    let since = from;
    for (;;) {
      const outcome = await store.watch(keys.jobRecordPrefix, since, WATCH_MS);
      const leader = this.dependencies.leader();
      if (!leader) return;
      if (outcome.kind === 'ok') {
        since = outcome.value.storeRevision;
        for (const change of outcome.value.changes)
          if (change.kind === 'put') this.applyRecord(leader, change, false);
        if (outcome.value.changes.length > 0) onChanges();
      } else if (outcome.kind === 'gone') {
        const current = await this.applyAll();
        if (current === null) return;
        since = current;
      } else await sleep(RETRY_MS);
      if (!this.dependencies.leader()) return;
    }
  }

  /** The changes asked for are not kept any more: reads all records. */
  private async applyAll(): Promise<Revision | null> {
    const { store } = this.dependencies;
    const listing = await listUntilAnswered(
      store,
      keys.jobRecordPrefix,
      () => this.dependencies.leader() === null,
    );
    const leader = this.dependencies.leader();
    if (!listing || !leader) return null;
    for (const item of listing.items) this.applyRecord(leader, item, false);
    return listing.storeRevision;
  }
}
