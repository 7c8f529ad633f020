/**
 * Distinguishes faulty machines from faulty jobs when tasks fail: machines are quarantined, jobs are put into
 * back-off.
 */
import type { Job } from '../job.js';
import type { Machine } from '../machine.js';
import type { MonotonicTime } from '../units.js';
import { narrowJitter } from './jitter.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';

/** A machine is quarantined when tasks of this many jobs have failed on it. */
const QUARANTINE_FAILED_JOBS = 2;
/**
 * A job is put into back-off when its tasks have failed on this many machines. The back-off increases with each error.
 */
const BACKOFF_FAILED_MACHINES = 3;
const ERROR_BACKOFF_MS = 2000;
const ERROR_BACKOFF_MAX_MS = 60_000;

/** Handles tasks that end with an error. */
export class TaskFailureHandler {
  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {}

  /** Handles a task of the job that ended with an error on the machine. */
  onTaskError(machine: Machine, job: Job, now: MonotonicTime): void {
    machine.failedJobs.add(job.id);
    job.errorMachines.add(machine.id);
    job.errorCount++;
    if (machine.failedJobs.size >= QUARANTINE_FAILED_JOBS && !machine.quarantined)
      this.quarantine(machine, now);
    if (job.errorMachines.size >= BACKOFF_FAILED_MACHINES) this.backOff(job, now);
  }

  private quarantine(machine: Machine, now: MonotonicTime): void {
    machine.quarantined = true;
    const fields = { machine: machine.id, jobs: machine.failedJobs.size };
    this.state.log('info', fields, 'machine quarantined: tasks of several jobs failed on it');
    this.machinePool.drain(machine, 'machine quarantined', now);
  }

  private backOff(job: Job, now: MonotonicTime): void {
    const exponent = job.errorCount - BACKOFF_FAILED_MACHINES;
    const delayMs = Math.min(ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS * 2 ** exponent);
    job.errorBackoffUntil = now + delayMs * narrowJitter(this.state.settings.random);
    job.errorMachines.clear();
    const fields = { job: job.id, errors: job.errorCount, delayMs: Math.round(delayMs) };
    this.state.log('info', fields, 'job put into back-off: its tasks failed on several machines');
  }
}
