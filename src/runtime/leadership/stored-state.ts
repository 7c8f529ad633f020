/** Reads the records that earlier leaders stored, and loads them into a new leader. */
import type { ImageLocations } from '../../core/leader/effects.js';
import type { Leader } from '../../core/leader/leader.js';
import type { JobId, MonotonicTime, SegmentName } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseProgressRecord, parseRegistryPage } from '../../wire/stored-records.js';
import type { KeyValueStoreClient, Listing } from '../key-value-store/key-value-store-client.js';
import { listWithRetry } from '../key-value-store/list-with-retry.js';
import type { Logger } from '../logger.js';
import type { JobWatch } from './job-watch.js';
import type { LeaderRecords } from './leader-records.js';

/** The records that earlier leaders stored. */
export interface StoredState {
  registry: Listing;
  jobs: Listing;
  progress: Listing;
}

/**
 * Reads the stored state; returns null once the leadership has ended. Jobs are read before progress: only a leader
 * writes progress, so a progress record without a job record belongs to a finished job.
 */
export const readStoredState = async (
  store: KeyValueStoreClient,
  isStopped: () => boolean,
): Promise<StoredState | null> => {
  const registry = await listWithRetry(store, keys.registryPrefix, isStopped);
  const jobs = await listWithRetry(store, keys.jobRecordPrefix, isStopped);
  const progress = await listWithRetry(store, keys.progressPrefix, isStopped);
  return registry && jobs && progress && !isStopped() ? { registry, jobs, progress } : null;
};

/** Dependencies of loading the stored state. */
export interface StoredStateLoadDependencies {
  leader: Leader;
  records: LeaderRecords;
  jobWatch: JobWatch;
  imageLocations: ImageLocations;
  startedAt: MonotonicTime;
  log: Logger;
}

/** Loads the stored state into the leader, and deletes the progress of finished jobs. */
export const loadStoredState = (state: StoredState, dependencies: StoredStateLoadDependencies): void => {
  const { leader, records, jobWatch, imageLocations } = dependencies;
  for (const item of state.registry.items) loadRegistryPage(item, dependencies);
  leader.loadImageLocations(imageLocations);
  for (const item of state.jobs.items) jobWatch.applyRecord(leader, item, true);
  for (const item of state.progress.items) loadProgress(item, dependencies);
  const orphans = state.progress.items.filter((item) => !leader.jobs.has(progressKeyParts(item.key).job));
  void records.deleteKeys(orphans.map((item) => item.key));
};

const loadRegistryPage = (item: Item, { leader, startedAt, log }: StoredStateLoadDependencies): void => {
  const page = item.key.slice(keys.registryPrefix.length);
  const machines = parseRegistryPage(item.data);
  if (!machines) log.error({ key: item.key }, 'damaged machine registry page skipped');
  for (const machine of machines ?? []) leader.loadMachine(machine, page, startedAt);
};

const loadProgress = (item: Item, { leader, records }: StoredStateLoadDependencies): void => {
  const { job, segment } = progressKeyParts(item.key);
  records.recordLoadedProgress(item.key, item.revision);
  const bits = parseProgressRecord(item.data);
  if (bits !== null) leader.loadProgress(job, segment, Buffer.from(bits, 'base64'));
};

const progressKeyParts = (key: string): { job: JobId; segment: SegmentName } => {
  const [, job, segment] = key.split('/');
  return { job: job as JobId, segment: segment as SegmentName };
};
