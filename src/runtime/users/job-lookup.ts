// Reads jobs' records for users' requests. A final state never changes, so it alone is answered from memory.
import type { StoreOutcome, KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { FinalRecord, JobRecord } from '../../core/types.js';
import type { JobId, Revision } from '../../core/units.js';
import { keys, parseFinalRecord, parseJobRecord, type Item } from '../../wire/key-value-store.js';

const FINALS_KEPT = 20_000;

/** What the state service says of a job. */
export type JobLookupResult =
  | { kind: 'active'; record: JobRecord; revision: Revision }
  | { kind: 'final'; record: FinalRecord }
  /** A record that can't be read: its job was accepted, and nothing else is known of it. */
  | { kind: 'damaged' }
  | { kind: 'none' }
  | { kind: 'undecided' };

/** The part of the feed that says what is known of other jobs without asking. */
export type KnownJobs = Pick<CancellationFeed, 'has' | 'indexed' | 'isFresh'>;

/** Looks up jobs, and what follows for a job from those that it depends on. */
export class JobLookup {
  private readonly finals = new Map<JobId, FinalRecord>();

  constructor(
    private readonly state: Pick<KeyValueStoreClient, 'get'>,
    private readonly known: KnownJobs,
  ) {}

  /** The final state where it is remembered; it costs no request. */
  cachedFinalRecord(id: JobId): FinalRecord | undefined {
    return this.finals.get(id);
  }

  /** Active first, then final: a job that finishes between the two reads is found by the second. */
  async find(id: JobId): Promise<JobLookupResult> {
    const kept = this.finals.get(id);
    if (kept) return { kind: 'final', record: kept };
    const active = await this.read(keys.active(id));
    if (active.kind === 'ok') {
      const record = parseJobRecord(active.value.data);
      return record ? { kind: 'active', record, revision: active.value.revision } : { kind: 'damaged' };
    }
    if (active.kind !== 'gone') return { kind: 'undecided' };
    const final = await this.read(keys.final(id));
    if (final.kind === 'gone') return { kind: 'none' };
    const record = final.kind === 'ok' ? parseFinalRecord(final.value.data) : null;
    if (!record) return { kind: 'undecided' };
    if (this.finals.size >= FINALS_KEPT) this.finals.delete(this.finals.keys().next().value!);
    this.finals.set(id, record);
    return { kind: 'final', record };
  }

  /** Whether each of these jobs was accepted, at whichever controller; the first that was not is named. */
  async checkAccepted(ids: readonly JobId[]): Promise<'yes' | 'undecided' | { missing: JobId }> {
    const unknown = ids.filter(
      (id) => !this.finals.has(id) && !this.known.indexed(id) && !this.known.has(id),
    );
    for (const id of unknown) {
      const found = await this.find(id);
      if (found.kind === 'undecided') return 'undecided';
      if (found.kind === 'none') return { missing: id };
    }
    return 'yes';
  }

  /**
   * Whether a job that the job depends on, directly or through others, is cancelled. The feed's word is taken for those
   * not over only while it is fresh: after an outage it may have missed a cancellation for too long.
   */
  async dependencyCancelled(dependsOn: readonly JobId[]): Promise<boolean | 'undecided'> {
    const fresh = this.known.isFresh();
    const seen = new Set<JobId>(dependsOn);
    const toVisit = [...dependsOn];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop()) {
      const state = await this.dependencyState(id, fresh);
      if (state === 'cancelled' || state === 'undecided') return state === 'cancelled' ? true : state;
      if (state === 'done') continue;
      for (const next of state.dependsOn) {
        if (seen.has(next)) continue;
        seen.add(next);
        toVisit.push(next);
      }
    }
    return false;
  }

  private async dependencyState(
    id: JobId,
    fresh: boolean,
  ): Promise<'cancelled' | 'done' | 'undecided' | { dependsOn: readonly JobId[] }> {
    if (this.known.has(id)) return 'cancelled';
    const indexed = fresh && !this.finals.has(id) ? this.known.indexed(id) : undefined;
    if (indexed) return indexed.cancelled ? 'cancelled' : indexed;
    const found = await this.find(id);
    if (found.kind === 'final') return found.record.state;
    if (found.kind !== 'active') return 'undecided';
    return found.record.cancelledAt === null ? found.record.spec : 'cancelled';
  }

  private read(key: string): Promise<StoreOutcome<Item>> {
    return this.state.get(key);
  }
}
