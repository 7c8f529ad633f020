/** Ends jobs that are done or cancelled: writes their final records, and removes the jobs once these are durable. */
import type { Job } from '../job.js';
import type { FinalState } from '../job-spec.js';
import type { JobId, MonotonicTime } from '../units.js';
import type { FinalRecordOutcome } from './effects.js';
import type { JobDependencies } from './job-dependencies.js';
import type { LeaderState } from './leader-state.js';

/** Finalizes jobs. */
export class JobFinalizer {
  constructor(
    private readonly state: LeaderState,
    private readonly jobDependencies: JobDependencies,
  ) {}

  /** Requests the final records of completed jobs, and of cancelled jobs without remaining tasks. */
  finishJobs(): void {
    for (const job of this.state.jobs.values()) {
      if (job.finalizing) continue;
      // A cancelled job must stay while an unreconciled machine may hold its tasks: they count against the team's
      // limit, and the machine must be fenced in time.
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

  /** Handles the result of writing a final record. */
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

  /**
   * Removes the job. Tasks of it that are still reported are then stopped and forgotten like those of any unknown job.
   */
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
