/** Adds and updates jobs by their records in the key-value store and by cancellations from other controllers. */
import { Job } from '../job.js';
import type { ArrivalRates } from '../scaling/arrival-rates.js';
import type { TypePenalties } from '../scheduler/type-penalties.js';
import type { JobRecord } from '../job-spec.js';
import type { JobId, MonotonicTime, Revision, WallTime } from '../units.js';
import type { JobDependencies } from './job-dependencies.js';
import type { LeaderState } from './leader-state.js';

/** The components that are notified of new jobs. */
export interface JobIntakeDependencies {
  state: LeaderState;
  jobDependencies: JobDependencies;
  arrivalRates: ArrivalRates;
  typePenalties: TypePenalties;
}

/** A job's record with its revision and origin. */
export interface JobRecordUpdate {
  id: JobId;
  record: JobRecord;
  revision: Revision;
  /**
   * Whether the record was written before this leadership began, so that an earlier leader may have started its tasks.
   */
  fromEarlierLeader: boolean;
}

/** Applies job records and cancellations. */
export class JobIntake {
  private readonly state: LeaderState;
  private readonly jobDependencies: JobDependencies;
  private readonly arrivalRates: ArrivalRates;
  private readonly typePenalties: TypePenalties;

  constructor({ state, jobDependencies, arrivalRates, typePenalties }: JobIntakeDependencies) {
    this.state = state;
    this.jobDependencies = jobDependencies;
    this.arrivalRates = arrivalRates;
    this.typePenalties = typePenalties;
  }

  /** Applies a job's record from the key-value store, received at the initial load or through the watch. */
  applyRecord(update: JobRecordUpdate, now: MonotonicTime, wallTime: WallTime): void {
    const known = this.state.jobs.get(update.id);
    if (known) this.updateKnown(known, update, now);
    else this.add(update, now, wallTime);
  }

  private updateKnown(job: Job, { record, revision }: JobRecordUpdate, now: MonotonicTime): void {
    // The event is older than the known record.
    if (revision < job.revision) return;
    const isNewlyCancelled = !job.cancelled && record.cancelledAt !== null;
    job.record = record;
    job.revision = revision;
    if (isNewlyCancelled) this.cancel(job, now);
  }

  private add(
    { id, record, revision, fromEarlierLeader }: JobRecordUpdate,
    now: MonotonicTime,
    wallTime: WallTime,
  ): void {
    const job = new Job(id, record, revision, fromEarlierLeader, now);
    this.state.jobs.set(id, job);
    this.state.changedSinceTick = true;
    this.typePenalties.recordSpec(record.spec);
    // Jobs without dependencies were ready when they were submitted.
    if (record.spec.dependsOn.length === 0) this.arrivalRates.recordArrival(record, now, wallTime);
    this.jobDependencies.addJob(job, now);
    const { class: name, tasks, image, estimateS, deadlineS } = record.spec;
    this.state.log('debug', { job: id, class: name, tasks, image, estimateS, deadlineS }, 'job added');
  }

  /** Applies a cancellation that a controller has confirmed to its user. The job's record may arrive much later. */
  applyCancellation(id: JobId, now: MonotonicTime): void {
    const job = this.state.jobs.get(id);
    if (!job || job.cancellationConfirmedAt !== null) return;
    const isNewlyCancelled = !job.cancelled;
    job.cancellationConfirmedAt = now;
    if (isNewlyCancelled) this.cancel(job, now);
    this.state.changedSinceTick = true;
  }

  private cancel(job: Job, now: MonotonicTime): void {
    this.state.placements.stopCancelled(job, now);
    this.jobDependencies.cancelDependents(job.id);
  }

  /** Handles the completion of the job's dependencies: the job is queued from now on. */
  onReady(job: Job, now: MonotonicTime): void {
    job.waitingSince = now;
    job.waitReason = { why: 'queued' };
    this.state.needsScheduling = true;
    if (job.spec.dependsOn.length > 0) this.arrivalRates.recordTasks(job.spec, now);
  }
}
