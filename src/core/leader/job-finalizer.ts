/** Ends jobs that are done or cancelled: writes their final records, and forgets them once these are durable. */
import type { Job } from '../job.js';
import type { FinalState } from '../job-spec.js';
import type { JobId, MonotonicTime } from '../units.js';
import type { FinalRecordOutcome } from './effects.js';
import type { JobDependencies } from './job-dependencies.js';
import type { LeaderState } from './leader-state.js';

/** Decides which jobs end. */
export class JobFinalizer {
  constructor(
    private readonly state: LeaderState,
    private readonly jobDependencies: JobDependencies,
  ) {}

  /** Asks for the final records of jobs that are over. */
  finishJobs(): void {
    for (const job of this.state.jobs.values()) {
      if (job.finalizing) continue;
      // Not while a machine that has not reported to this leader may hold its tasks: they count for their team's
      // limit, and that machine must be fenced in time.
      const hasNoTaskLeft = job.placements.size === 0 && !this.state.mayRunOnUnreconciledMachine(job);
      if (!job.allCompleted && !(job.cancelled && hasNoTaskLeft)) continue;
      job.finalizing = true;
      this.state.effects.push({
        kind: 'write-final-record',
        job: job.id,
        revision: job.revision,
        state: job.cancelled ? 'cancelled' : 'done',
        tasks: job.completedCount,
        segments: [...job.progress.persistedSegments],
      });
    }
  }

  /** The outcome of writing a final record. */
  onFinalRecordWritten(id: JobId, outcome: FinalRecordOutcome, now: MonotonicTime): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.finalizing = false;
    switch (outcome.kind) {
      case 'retry':
        return;
      case 'changed':
        this.applyChangedRecord(job, outcome, now);
        return;
      case 'ok':
        this.removeFinished(job, outcome.state, now);
    }
  }

  private applyChangedRecord(
    job: Job,
    { record, revision }: Extract<FinalRecordOutcome, { kind: 'changed' }>,
    now: MonotonicTime,
  ): void {
    const isNewlyCancelled = !job.cancelled && record.cancelledAt !== null;
    job.record = record;
    job.revision = revision;
    if (!isNewlyCancelled) return;
    this.state.placements.stopCancelled(job, now);
    this.jobDependencies.cancelDependents(job.id);
  }

  /** Whatever is still reported of it is stopped and forgotten as a task of no known job. */
  private removeFinished(job: Job, final: FinalState, now: MonotonicTime): void {
    for (const placement of [...job.placements.values()]) {
      const machine = this.state.machines.get(placement.machine);
      machine?.unassign(job.id, placement.index);
      if (machine) this.state.machinesWithPendingCommands.add(machine);
    }
    this.state.jobs.delete(job.id);
    this.jobDependencies.onJobFinal(job.id, final, now);
    this.state.needsScheduling = true;
    this.state.log('debug', { job: job.id, cancelled: job.cancelled }, 'job finished');
  }
}
