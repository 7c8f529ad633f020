/** Reads the records that leaders left in the store, and loads a new leader with them. */
import type { ImageLocations } from '../../core/leader/effects.js';
import type { Leader } from '../../core/leader/leader.js';
import type { JobId, MonotonicTime, SegmentName } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseProgressRecord, parseRegistryPage } from '../../wire/stored-records.js';
import type { KeyValueStoreClient, Listing } from '../key-value-store/key-value-store-client.js';
import { listUntilAnswered } from '../key-value-store/list-until-answered.js';
import type { Logger } from '../logger.js';
import type { JobWatch } from './job-watch.js';
import type { LeaderRecords } from './leader-records.js';

/** What leaders before this one left. */
export interface StoredState {
  registry: Listing;
  jobs: Listing;
  progress: Listing;
}

/**
 * Jobs are read before progress: only a leader writes progress, so progress without a job is that of one that is over.
 * Null once stopped.
 */
export const readStoredState = async (
  store: KeyValueStoreClient,
  isStopped: () => boolean,
): Promise<StoredState | null> => {
  const registry = await listUntilAnswered(store, keys.registryPrefix, isStopped);
  const jobs = await listUntilAnswered(store, keys.jobRecordPrefix, isStopped);
  const progress = await listUntilAnswered(store, keys.progressPrefix, isStopped);
  return registry && jobs && progress && !isStopped() ? { registry, jobs, progress } : null;
};

/** What loading a leader needs beside the records. */
export interface StoredStateTargets {
  leader: Leader;
  records: LeaderRecords;
  jobWatch: JobWatch;
  imageLocations: ImageLocations;
  startedAt: MonotonicTime;
  log: Logger;
}

/** Loads the leader, and deletes progress of jobs that are over. */
export const loadStoredState = (state: StoredState, targets: StoredStateTargets): void => {
  const { leader, records, jobWatch, imageLocations } = targets;
  for (const item of state.registry.items) loadRegistryPage(item, targets);
  leader.loadImageLocations(imageLocations);
  for (const item of state.jobs.items) jobWatch.applyRecord(leader, item, true);
  for (const item of state.progress.items) loadProgress(item, targets);
  const orphans = state.progress.items.filter((item) => !leader.jobs.has(progressKeyParts(item.key).job));
  void records.deleteKeys(orphans.map((item) => item.key));
};

const loadRegistryPage = (item: Item, { leader, startedAt, log }: StoredStateTargets): void => {
  const page = item.key.slice(keys.registryPrefix.length);
  const machines = parseRegistryPage(item.data);
  if (!machines) log.error({ key: item.key }, 'damaged page of the machine registry');
  for (const machine of machines ?? []) leader.loadMachine(machine, page, startedAt);
};

const loadProgress = (item: Item, { leader, records }: StoredStateTargets): void => {
  const { job, segment } = progressKeyParts(item.key);
  records.recordLoadedProgress(item.key, item.revision);
  const bits = parseProgressRecord(item.data);
  if (bits !== null) leader.loadProgress(job, segment, Buffer.from(bits, 'base64'));
};

const progressKeyParts = (key: string): { job: JobId; segment: SegmentName } => {
  const [, job, segment] = key.split('/');
  return { job: job as JobId, segment: segment as SegmentName };
};
