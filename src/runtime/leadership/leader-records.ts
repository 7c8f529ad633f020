// What a leader writes to the state service: final states, progress, pages of the roster.
import type { Logger } from '../logger.js';
import type { LeaderElection } from './leader-election.js';
import { ProgressStore, type ProgressOutcome } from './progress-store.js';
import {
  budgetReserves,
  type KeyValueStoreClient,
  type TransactionOutcome,
} from '../key-value-store/key-value-store-client.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import type { Effect, FinalRecordOutcome } from '../../core/leader/leader.js';
import type { FinalState, MachineInfo } from '../../core/types.js';
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import * as wire from '../../wire/key-value-store.js';

const DELETE_RETRY_MS = 2000;
/** Changes of the transaction that finishes a job, beside the deletion of its progress. */
const FINISH_CHANGES = 2;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** The records of one leadership; after `end` nothing more is written. */
export class LeaderRecords {
  private stopped = false;
  private readonly progress: ProgressStore;

  constructor(
    private readonly limits: KeyValueStoreLimits,
    private readonly election: LeaderElection,
    private readonly store: KeyValueStoreClient,
    private readonly log: Logger,
  ) {
    this.progress = new ProgressStore(
      (then, conditions) => this.write(then, conditions, budgetReserves.normal),
      (key) => this.store.get(key, budgetReserves.urgent),
    );
  }

  stop(): void {
    this.stopped = true;
  }

  /** A segment of progress that was there when the leadership began. */
  progressLoaded(key: string, revision: Revision): void {
    this.progress.recordLoaded(key, revision);
  }

  writeProgress(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    return this.progress.save(job, segment, bytes);
  }

  /** Replaces the job's active record by its final one, and deletes its progress. */
  async writeFinalRecord(e: Extract<Effect, { kind: 'write-final-record' }>): Promise<FinalRecordOutcome> {
    const { keys } = wire;
    const atOnce = Math.max(0, this.limits.txnOps - FINISH_CHANGES);
    const progress = e.segments.map((segment) => keys.progress(e.job, segment));
    const r = await this.write(
      [
        { put: keys.final(e.job), data: wire.finalRecordData(e) },
        { delete: keys.active(e.job) },
        ...progress.slice(0, atOnce).map((key) => ({ delete: key })),
      ],
      [{ key: keys.active(e.job), revision: e.revision }],
    );
    if (r.kind === 'conflict') return this.reread(e.job);
    if (r.kind !== 'ok') return { kind: 'retry' };
    this.log.debug(
      { job: e.job, state: e.state, revision: r.revision, recordRevision: e.revision },
      'final state recorded',
    );
    this.progress.forget(e.job, e.segments);
    void this.deleteKeys(progress.slice(atOnce));
    return { kind: 'ok', state: e.state };
  }

  /** The record changed under us: a cancellation came first, or our own lost write was carried out. */
  private async reread(job: JobId): Promise<FinalRecordOutcome> {
    const active = await this.store.get(wire.keys.active(job), budgetReserves.urgent);
    const record = active.kind === 'ok' ? wire.parseJobRecord(active.value.data) : null;
    if (active.kind === 'ok' && record) return { kind: 'changed', record, revision: active.value.revision };
    const final = active.kind === 'gone' ? await this.readFinalRecord(job) : null;
    return final === null ? { kind: 'retry' } : { kind: 'ok', state: final };
  }

  /** Null where there is no final record, or no answer. */
  async readFinalRecord(job: JobId): Promise<FinalState | null> {
    const final = await this.store.get(wire.keys.final(job), budgetReserves.urgent);
    return final.kind === 'ok' ? (wire.parseFinalRecord(final.value.data)?.state ?? null) : null;
  }

  /** False: it has to be tried again. */
  async writeRegistryPage(page: string, machines: MachineInfo[]): Promise<boolean> {
    const key = wire.keys.registryPage(page);
    const change =
      machines.length === 0 ? { delete: key } : { put: key, data: wire.registryPageData(machines) };
    const r = await this.write([change]);
    if (r.kind !== 'ok' && !this.stopped)
      this.log.rateLimited('roster', 'info', { outcome: r.kind }, 'roster not written, tried again');
    return r.kind === 'ok';
  }

  /** Records that nothing refers to any more, without haste; what is left when this process ends, the next one finds. */
  async deleteKeys(left: string[]): Promise<void> {
    while (left.length > 0 && !this.stopped) {
      const some = left.slice(0, this.limits.txnOps);
      const changes = some.map((key) => ({ delete: key }));
      const r = await this.write(changes, [], budgetReserves.normal);
      if (r.kind === 'ok') left = left.slice(some.length);
      else await sleep(DELETE_RETRY_MS);
    }
  }

  /** Every write of a leader depends on its leader key: a late one from a former leader fails. */
  private async write(
    then: wire.Change[],
    conditions: wire.Condition[] = [],
    reserve = budgetReserves.urgent,
  ): Promise<TransactionOutcome> {
    const held = this.election.electionState.heldLease;
    if (!held || this.stopped) return { kind: 'refused' };
    const guard = { key: wire.keys.leader, revision: held.keyRevision };
    const r = await this.store.transact({ conditions: [guard, ...conditions], changes: then }, reserve);
    if (r.kind === 'conflict' && r.failed.includes(wire.keys.leader)) {
      this.log.info({ term: held.term }, 'write refused: the leader key is not ours any more');
      this.election.onLeaderKeyChanged();
      return { kind: 'refused' };
    }
    return r;
  }
}
