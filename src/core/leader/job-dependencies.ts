/**
 * DAG dependencies between jobs. A job waits until all of its dependencies are done, is cancelled if one of them is
 * cancelled, and inherits the priorities and due times of the jobs that depend on it.
 */
import type { Job } from '../job.js';
import type { FinalState } from '../job-spec.js';
import type { JobId, MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import { propagateUrgency } from './urgency-inheritance.js';

/** Number of final states kept, for jobs that are submitted after their dependencies have ended. */
const MAX_CACHED_FINAL_STATES = 20_000;
/**
 * Maximum number of final records read concurrently. A new leader may have many to read and sends other requests too.
 */
const MAX_CONCURRENT_LOOKUPS = 16;
/** Delay before a final record that was not found is read again. */
const LOOKUP_RETRY_MS = 500;

/** State of a lookup of a job's final record. */
interface Lookup {
  inFlight: boolean;
  retryAt: MonotonicTime;
}

/** Tracks the unfinished jobs that depend on other jobs. */
export class JobDependencies {
  private readonly dependents = new Map<JobId, Set<Job>>();
  /** Final states, only as recorded in the key-value store. */
  private readonly finalStates = new Map<JobId, FinalState>();
  /** Lookups of dependencies that are neither known to be unfinished nor known to be final. */
  private readonly lookups = new Map<JobId, Lookup>();
  private urgencyChanged = false;

  constructor(
    private readonly state: LeaderState,
    /** Called when all dependencies of a job are done. */
    private readonly onReady: (job: Job, now: MonotonicTime) => void,
  ) {}

  /** Adds a job that is new to this leader. */
  addJob(job: Job, now: MonotonicTime): void {
    this.lookups.delete(job.id);
    for (const id of job.spec.dependsOn) this.addDependency(job, id, now);
    if (job.spec.dependsOn.length > 0) this.urgencyChanged = true;
    if (this.dependents.has(job.id)) this.urgencyChanged = true;
    if (job.cancelled) this.cancelDependents(job.id);
    if (job.dependencyCancelled) return;
    if (job.ready) this.onReady(job, now);
    else this.logWaiting(job);
  }

  private addDependency(job: Job, id: JobId, now: MonotonicTime): void {
    const final = this.finalStates.get(id);
    if (final === 'done') return;
    if (final === 'cancelled' || this.state.jobs.get(id)?.cancelled) {
      if (this.markCancelled(job, id)) this.cancelDependents(job.id);
      return;
    }
    job.unfinishedDependencies.add(id);
    const dependents = this.dependents.get(id) ?? new Set<Job>();
    dependents.add(job);
    this.dependents.set(id, dependents);
    if (!this.state.jobs.has(id)) this.lookups.set(id, { inFlight: false, retryAt: now });
  }

  private logWaiting(job: Job): void {
    job.waitReason = { why: 'waiting for other jobs', jobs: job.unfinishedDependencies.size };
    job.loggedWaitReason = job.waitReason.why;
    const { class: name, dependsOn } = job.spec;
    this.state.log('info', { job: job.id, class: name, dependsOn, ...job.waitReason }, 'job waits');
  }

  /** Handles the end of a job. Its final record in the key-value store never changes. */
  onJobFinal(id: JobId, final: FinalState, now: MonotonicTime): void {
    this.lookups.delete(id);
    if (this.finalStates.size >= MAX_CACHED_FINAL_STATES)
      this.finalStates.delete(this.finalStates.keys().next().value!);
    this.finalStates.set(id, final);
    if (final === 'cancelled') {
      this.cancelDependents(id);
      return;
    }
    const dependentJobs = this.dependents.get(id);
    this.dependents.delete(id);
    for (const job of dependentJobs ?? []) {
      job.unfinishedDependencies.delete(id);
      if (!job.ready || job.cancelled) continue;
      this.state.log('debug', { job: job.id, class: job.spec.class }, 'job ready');
      this.onReady(job, now);
    }
  }

  /** Cancels all jobs that depend on the cancelled job, directly or indirectly. */
  cancelDependents(id: JobId): void {
    this.urgencyChanged = true;
    const cancelled = [id];
    for (let current = cancelled.pop(); current !== undefined; current = cancelled.pop()) {
      const dependentJobs = this.dependents.get(current);
      this.dependents.delete(current);
      for (const job of dependentJobs ?? []) if (this.markCancelled(job, current)) cancelled.push(job.id);
    }
  }

  /** Returns false if the job was already marked. */
  private markCancelled(job: Job, dependency: JobId): boolean {
    if (job.dependencyCancelled) return false;
    job.dependencyCancelled = true;
    this.state.log(
      'info',
      { job: job.id, class: job.spec.class, dependency },
      'job cancelled with its dependency',
    );
    this.state.changedSinceTick = true;
    return true;
  }

  /** Starts the lookups that are due, and returns the jobs whose final records must be read. */
  startDueLookups(now: MonotonicTime): JobId[] {
    const due: JobId[] = [];
    let inFlight = 0;
    for (const lookup of this.lookups.values()) if (lookup.inFlight) inFlight++;
    for (const [id, lookup] of this.lookups) {
      if (inFlight + due.length >= MAX_CONCURRENT_LOOKUPS) break;
      if (lookup.inFlight || now < lookup.retryAt) continue;
      lookup.inFlight = true;
      due.push(id);
    }
    return due;
  }

  /**
   * Handles the result of a lookup. `final` is null if there is no final record, as for a job that was just accepted
   * and is about to arrive through the watch, or if the key-value store did not respond.
   */
  onFinalRecordRead(id: JobId, final: FinalState | null, now: MonotonicTime): void {
    const lookup = this.lookups.get(id);
    if (!lookup) return;
    lookup.inFlight = false;
    lookup.retryAt = (now + LOOKUP_RETRY_MS) as MonotonicTime;
    this.state.changedSinceTick = true;
    if (final !== null) this.onJobFinal(id, final, now);
    else if (!this.dependents.has(id)) this.lookups.delete(id);
  }

  /** Passes priorities and due times from dependent jobs to their dependencies, if any of them have changed. */
  propagateUrgency(): void {
    if (!this.urgencyChanged) return;
    this.urgencyChanged = false;
    const { machines, jobs } = this.state;
    propagateUrgency(this.dependents, jobs, (job) => {
      for (const placement of job.placements.values()) machines.get(placement.machine)?.invalidate();
    });
  }
}
