/** Reads job records for user requests. Only final records are cached, because they never change. */
import type { FinalRecord, JobRecord } from '../../core/job-spec.js';
import type { JobId, Revision } from '../../core/units.js';
import { keys, parseFinalRecord, parseJobRecord } from '../../wire/stored-records.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';

const MAX_CACHED_FINAL_RECORDS = 20_000;

/** The state of a job in the key-value store. */
export type JobLookupResult =
  | { kind: 'active'; record: JobRecord; revision: Revision }
  | { kind: 'final'; record: FinalRecord }
  /** The record cannot be parsed: the job was accepted, and nothing else is known about it. */
  | { kind: 'malformed' }
  | { kind: 'not-found' }
  | { kind: 'unknown' };

/** Whether all of several jobs were accepted, at any controller; `missing` contains the first that was not. */
export type AcceptanceResult = { kind: 'accepted' } | { kind: 'unknown' } | { kind: 'missing'; job: JobId };

type DependencyState =
  | { kind: 'cancelled' }
  | { kind: 'done' }
  | { kind: 'unknown' }
  | { kind: 'pending'; dependsOn: readonly JobId[] };

/** The part of the cancellation feed that gives the state of other jobs without a request to the key-value store. */
export type KnownJobs = Pick<CancellationFeed, 'has' | 'indexedJob' | 'isFresh'>;

/** Looks up jobs, and whether their dependencies are accepted or cancelled. */
export class JobLookup {
  private readonly finalRecords = new Map<JobId, FinalRecord>();

  constructor(
    private readonly store: Pick<KeyValueStoreClient, 'get'>,
    private readonly knownJobs: KnownJobs,
  ) {}

  /** The cached final record, without a request to the key-value store. */
  cachedFinalRecord(id: JobId): FinalRecord | undefined {
    return this.finalRecords.get(id);
  }

  /** Reads the active record before the final one: a job that finishes between the reads is found by the second. */
  async find(id: JobId): Promise<JobLookupResult> {
    const cached = this.finalRecords.get(id);
    if (cached) return { kind: 'final', record: cached };
    const active = await this.store.get(keys.jobRecord(id));
    if (active.kind === 'ok') {
      const record = parseJobRecord(active.value.data);
      return record ? { kind: 'active', record, revision: active.value.revision } : { kind: 'malformed' };
    }
    if (active.kind !== 'gone') return { kind: 'unknown' };
    const final = await this.store.get(keys.finalRecord(id));
    if (final.kind === 'gone') return { kind: 'not-found' };
    const record = final.kind === 'ok' ? parseFinalRecord(final.value.data) : null;
    if (!record) return { kind: 'unknown' };
    this.cacheFinalRecord(id, record);
    return { kind: 'final', record };
  }

  /** Returns whether each of these jobs was accepted, at any controller. */
  async checkAccepted(ids: readonly JobId[]): Promise<AcceptanceResult> {
    const idsToRead = ids.filter(
      (id) => !this.finalRecords.has(id) && !this.knownJobs.indexedJob(id) && !this.knownJobs.has(id),
    );
    for (const id of idsToRead) {
      const found = await this.find(id);
      if (found.kind === 'unknown') return { kind: 'unknown' };
      if (found.kind === 'not-found') return { kind: 'missing', job: id };
    }
    return { kind: 'accepted' };
  }

  /**
   * Returns whether any direct or transitive dependency of a job is cancelled. The index of unfinished jobs in the
   * cancellation feed is used only while the feed is fresh: after an outage it may lack recent cancellations.
   */
  async dependencyCancelled(dependsOn: readonly JobId[]): Promise<boolean | 'unknown'> {
    const feedIsFresh = this.knownJobs.isFresh();
    const visited = new Set<JobId>(dependsOn);
    const toVisit = [...dependsOn];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop()) {
      const state = await this.dependencyState(id, feedIsFresh);
      if (state.kind === 'cancelled') return true;
      if (state.kind === 'unknown') return 'unknown';
      if (state.kind === 'done') continue;
      for (const next of state.dependsOn) {
        if (visited.has(next)) continue;
        visited.add(next);
        toVisit.push(next);
      }
    }
    return false;
  }

  private async dependencyState(id: JobId, feedIsFresh: boolean): Promise<DependencyState> {
    if (this.knownJobs.has(id)) return { kind: 'cancelled' };
    const indexed = feedIsFresh && !this.finalRecords.has(id) ? this.knownJobs.indexedJob(id) : undefined;
    if (indexed) {
      if (indexed.cancelled) return { kind: 'cancelled' };
      return { kind: 'pending', dependsOn: indexed.dependsOn };
    }
    const found = await this.find(id);
    if (found.kind === 'final') return { kind: found.record.state };
    if (found.kind !== 'active') return { kind: 'unknown' };
    if (found.record.cancelledAt !== null) return { kind: 'cancelled' };
    return { kind: 'pending', dependsOn: found.record.spec.dependsOn };
  }

  /** Caches a final record, and evicts the oldest one when the cache is full. */
  private cacheFinalRecord(id: JobId, record: FinalRecord): void {
    if (this.finalRecords.size >= MAX_CACHED_FINAL_RECORDS)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
    this.finalRecords.set(id, record);
  }
}
