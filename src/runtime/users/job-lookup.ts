/** Reads jobs' records for users' requests. A final state never changes, so it alone is answered from memory. */
import type { FinalRecord, JobRecord } from '../../core/job-spec.js';
import type { JobId, Revision } from '../../core/units.js';
import { keys, parseFinalRecord, parseJobRecord } from '../../wire/stored-records.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';

const MAX_FINAL_RECORDS_KEPT = 20_000;

/** What the key-value store says of a job. */
export type JobLookupResult =
  | { kind: 'active'; record: JobRecord; revision: Revision }
  | { kind: 'final'; record: FinalRecord }
  /** A record that can't be read: its job was accepted, and nothing else is known of it. */
  | { kind: 'damaged' }
  | { kind: 'none' }
  | { kind: 'undecided' };

/** Whether jobs were accepted, at whichever controller; the first that was not is named. */
export type AcceptanceResult = { kind: 'accepted' } | { kind: 'undecided' } | { kind: 'missing'; job: JobId };

type DependencyState =
  | { kind: 'cancelled' }
  | { kind: 'done' }
  | { kind: 'undecided' }
  | { kind: 'pending'; dependsOn: readonly JobId[] };

/** The part of the feed that says what is known of other jobs without asking. */
export type KnownJobs = Pick<CancellationFeed, 'has' | 'indexedJob' | 'isFresh'>;

/** Looks up jobs, and what follows for a job from those that it depends on. */
export class JobLookup {
  private readonly finalRecords = new Map<JobId, FinalRecord>();

  constructor(
    private readonly store: Pick<KeyValueStoreClient, 'get'>,
    private readonly known: KnownJobs,
  ) {}

  /** The final state where it is remembered; it costs no request. */
  cachedFinalRecord(id: JobId): FinalRecord | undefined {
    return this.finalRecords.get(id);
  }

  /** Active first, then final: a job that finishes between the two reads is found by the second. */
  async find(id: JobId): Promise<JobLookupResult> {
    const cached = this.finalRecords.get(id);
    if (cached) return { kind: 'final', record: cached };
    const active = await this.store.get(keys.jobRecord(id));
    if (active.kind === 'ok') {
      const record = parseJobRecord(active.value.data);
      return record ? { kind: 'active', record, revision: active.value.revision } : { kind: 'damaged' };
    }
    if (active.kind !== 'gone') return { kind: 'undecided' };
    const final = await this.store.get(keys.finalRecord(id));
    if (final.kind === 'gone') return { kind: 'none' };
    const record = final.kind === 'ok' ? parseFinalRecord(final.value.data) : null;
    if (!record) return { kind: 'undecided' };
    this.keepFinalRecord(id, record);
    return { kind: 'final', record };
  }

  /** Whether each of these jobs was accepted, at whichever controller. */
  async checkAccepted(ids: readonly JobId[]): Promise<AcceptanceResult> {
    const unknown = ids.filter(
      (id) => !this.finalRecords.has(id) && !this.known.indexedJob(id) && !this.known.has(id),
    );
    for (const id of unknown) {
      const found = await this.find(id);
      if (found.kind === 'undecided') return { kind: 'undecided' };
      if (found.kind === 'none') return { kind: 'missing', job: id };
    }
    return { kind: 'accepted' };
  }

  /**
   * Whether a job that the job depends on, directly or through others, is cancelled. What the feed says of jobs that
   * are not over counts only while it is fresh: after an outage it may have missed a cancellation for too long.
   */
  async dependencyCancelled(dependsOn: readonly JobId[]): Promise<boolean | 'undecided'> {
    const feedIsFresh = this.known.isFresh();
    const visited = new Set<JobId>(dependsOn);
    const toVisit = [...dependsOn];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop()) {
      const state = await this.dependencyState(id, feedIsFresh);
      if (state.kind === 'cancelled') return true;
      if (state.kind === 'undecided') return 'undecided';
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
    if (this.known.has(id)) return { kind: 'cancelled' };
    const indexed = feedIsFresh && !this.finalRecords.has(id) ? this.known.indexedJob(id) : undefined;
    if (indexed) {
      if (indexed.cancelled) return { kind: 'cancelled' };
      return { kind: 'pending', dependsOn: indexed.dependsOn };
    }
    const found = await this.find(id);
    if (found.kind === 'final') return { kind: found.record.state };
    if (found.kind !== 'active') return { kind: 'undecided' };
    if (found.record.cancelledAt !== null) return { kind: 'cancelled' };
    return { kind: 'pending', dependsOn: found.record.spec.dependsOn };
  }

  /** The record kept for longest makes room for a new one. */
  private keepFinalRecord(id: JobId, record: FinalRecord): void {
    if (this.finalRecords.size >= MAX_FINAL_RECORDS_KEPT)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
    this.finalRecords.set(id, record);
  }
}
