/** Writes of a leader to the key-value store: final records, progress, and pages of the machine registry. */
import type { KeyValueStoreLimits } from '../../config/platform.js';
import type { Effect, FinalRecordOutcome } from '../../core/leader/effects.js';
import type { FinalState } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import type { Change, Condition } from '../../wire/key-value-store.js';
import {
  finalRecordData,
  keys,
  parseFinalRecord,
  parseJobRecord,
  registryPageData,
} from '../../wire/stored-records.js';
import { sleep } from '../clock.js';
import {
  budgetReserves,
  type KeyValueStoreClient,
  type TransactionOutcome,
} from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';
import type { LeaderElection } from './leader-election.js';
import { ProgressStore, type ProgressOutcome } from './progress-store.js';

const DELETE_RETRY_DELAY_MS = 2000;
/** Changes in the transaction that finishes a job, apart from the deletions of its progress records. */
const FINAL_RECORD_CHANGES = 2;

/** Dependencies of the leader's writes. */
export interface LeaderRecordsDependencies {
  limits: KeyValueStoreLimits;
  election: LeaderElection;
  store: KeyValueStoreClient;
  log: Logger;
}

/** Writes the records of one leadership; after `stop`, it writes nothing more. */
export class LeaderRecords {
  private stopped = false;
  private readonly progress: ProgressStore;

  constructor(private readonly dependencies: LeaderRecordsDependencies) {
    this.progress = new ProgressStore(
      (changes, conditions) => this.write(changes, conditions, budgetReserves.normal),
      (key) => this.dependencies.store.get(key, budgetReserves.urgent),
    );
  }

  /** Prevents further writes, at the end of the leadership. */
  stop(): void {
    this.stopped = true;
  }

  /** Records the revision of a progress segment that was stored before this leadership. */
  recordLoadedProgress(key: string, revision: Revision): void {
    this.progress.recordLoaded(key, revision);
  }

  /** Writes one segment of a job's progress. */
  writeProgress(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    return this.progress.save(job, segment, bytes);
  }

  /** Replaces the job's active record with its final record, and deletes its progress. */
  async writeFinalRecord(
    effect: Extract<Effect, { kind: 'write-final-record' }>,
  ): Promise<FinalRecordOutcome> {
    const { job, revision: recordRevision, state, segments } = effect;
    const maxDeletionsInTransaction = Math.max(
      0,
      this.dependencies.limits.maxTransactionChanges - FINAL_RECORD_CHANGES,
    );
    const progressKeys = segments.map((segment) => keys.progressSegment(job, segment));
    const outcome = await this.write(
      [
        { put: keys.finalRecord(job), data: finalRecordData(effect) },
        { delete: keys.jobRecord(job) },
        ...progressKeys.slice(0, maxDeletionsInTransaction).map((key) => ({ delete: key })),
      ],
      [{ key: keys.jobRecord(job), revision: recordRevision }],
    );
    if (outcome.kind === 'conflict') return this.readChangedRecord(job);
    if (outcome.kind !== 'ok') return { kind: 'retry' };
    this.dependencies.log.debug(
      { job, state, revision: outcome.revision, recordRevision },
      'final state recorded',
    );
    this.progress.removeRevisions(job, segments);
    void this.deleteKeys(progressKeys.slice(maxDeletionsInTransaction));
    return { kind: 'ok', state };
  }

  /** Returns null if there is no final record or the store gave no usable response. */
  async readFinalRecord(job: JobId): Promise<FinalState | null> {
    const final = await this.dependencies.store.get(keys.finalRecord(job), budgetReserves.urgent);
    return final.kind === 'ok' ? (parseFinalRecord(final.value.data)?.state ?? null) : null;
  }

  /** Writes a page of the machine registry, or deletes an empty one; returns false if this must be retried. */
  async writeRegistryPage(page: string, machines: MachineInfo[]): Promise<boolean> {
    const key = keys.registryPage(page);
    const change = machines.length === 0 ? { delete: key } : { put: key, data: registryPageData(machines) };
    const outcome = await this.write([change]);
    if (outcome.kind !== 'ok' && !this.stopped) {
      const fields = { outcome: outcome.kind };
      this.dependencies.log.rateLimited(
        'registry',
        'info',
        fields,
        'machine registry page not written; it will be retried',
      );
    }
    return outcome.kind === 'ok';
  }

  /** Deletes unused records at low priority; the next leadership deletes those that are left when this one ends. */
  async deleteKeys(unused: string[]): Promise<void> {
    let remaining = unused;
    while (remaining.length > 0 && !this.stopped) {
      const batch = remaining.slice(0, this.dependencies.limits.maxTransactionChanges);
      const changes = batch.map((key) => ({ delete: key }));
      const outcome = await this.write(changes, [], budgetReserves.normal);
      if (outcome.kind === 'ok') remaining = remaining.slice(batch.length);
      else await sleep(DELETE_RETRY_DELAY_MS);
    }
  }

  /**
   * Reads the record after a conflict: either a cancellation was written first, or an earlier write of this leader,
   * whose response was lost, was executed.
   */
  private async readChangedRecord(job: JobId): Promise<FinalRecordOutcome> {
    const active = await this.dependencies.store.get(keys.jobRecord(job), budgetReserves.urgent);
    const record = active.kind === 'ok' ? parseJobRecord(active.value.data) : null;
    if (active.kind === 'ok' && record) return { kind: 'changed', record, revision: active.value.revision };
    const final = active.kind === 'gone' ? await this.readFinalRecord(job) : null;
    return final === null ? { kind: 'retry' } : { kind: 'ok', state: final };
  }

  /** Makes each write conditional on this leadership's leader key, so that a late write of a former leader fails. */
  private async write(
    changes: Change[],
    conditions: Condition[] = [],
    reserve = budgetReserves.urgent,
  ): Promise<TransactionOutcome> {
    const { election, store, log } = this.dependencies;
    const held = election.electionState.heldLease;
    if (!held || this.stopped) return { kind: 'refused' };
    const leaderKey = { key: keys.leader, revision: held.keyRevision };
    const outcome = await store.transact({ conditions: [leaderKey, ...conditions], changes }, reserve);
    if (outcome.kind === 'conflict' && outcome.failed.includes(keys.leader)) {
      log.info({ term: held.term }, 'write refused: the leader key has changed');
      election.onLeaderKeyChanged();
      return { kind: 'refused' };
    }
    return outcome;
  }
}
