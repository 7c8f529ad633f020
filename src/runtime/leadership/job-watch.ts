/** Passes job records to the leader: all of them at its start, and then each change. */
import type { Leader } from '../../core/leader/leader.js';
import type { JobId, Revision } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseJobRecord } from '../../wire/stored-records.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow, sleep, wallClockNow } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import { listWithRetry } from '../key-value-store/list-with-retry.js';
import type { Logger } from '../logger.js';

const JOB_WATCH_TIMEOUT_MS = 10_000;
const JOB_WATCH_RETRY_DELAY_MS = 250;

/** Dependencies of the job watch. */
export interface JobWatchDependencies {
  store: KeyValueStoreClient;
  log: Logger;
  cancellations: Pick<CancellationFeed, 'has'>;
  /** The leader; null once this leadership has ended. */
  leader: () => Leader | null;
  onChanges: () => void;
}

/** Watches the job records during one leadership. */
export class JobWatch {
  constructor(private readonly dependencies: JobWatchDependencies) {}

  /** Passes a stored record to the leader; a damaged record is logged and skipped. */
  applyRecord(
    leader: Leader,
    { key, data, revision }: Pick<Item, 'key' | 'data' | 'revision'>,
    fromEarlierLeader: boolean,
  ): void {
    const { cancellations, log } = this.dependencies;
    const record = parseJobRecord(data);
    if (!record) {
      log.error({ key }, 'damaged job record skipped; its job is not scheduled');
      return;
    }
    const id = key.slice(keys.jobRecordPrefix.length) as JobId;
    leader.applyJobRecord({ id, record, revision, fromEarlierLeader }, monotonicNow(), wallClockNow());
    if (cancellations.has(id)) leader.applyCancellation(id, monotonicNow());
  }

  /** Passes on the changes after this revision until the leadership ends. */
  async run(from: Revision): Promise<void> {
    const { store, onChanges } = this.dependencies;
    let since = from;
    for (;;) {
      const outcome = await store.watch(keys.jobRecordPrefix, since, JOB_WATCH_TIMEOUT_MS);
      const leader = this.dependencies.leader();
      if (!leader) return;
      if (outcome.kind === 'ok') {
        since = outcome.value.storeRevision;
        for (const change of outcome.value.changes)
          if (change.kind === 'put') this.applyRecord(leader, change, false);
        if (outcome.value.changes.length > 0) onChanges();
      } else if (outcome.kind === 'gone') {
        const current = await this.reloadAll();
        if (current === null) return;
        since = current;
      } else await sleep(JOB_WATCH_RETRY_DELAY_MS);
      if (!this.dependencies.leader()) return;
    }
  }

  /** Reads all records again, because the store no longer keeps the changes since the last revision. */
  private async reloadAll(): Promise<Revision | null> {
    const { store } = this.dependencies;
    const listing = await listWithRetry(
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
