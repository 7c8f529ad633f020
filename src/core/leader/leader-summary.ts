/** Summaries for operators: machine usage in the log, and jobs with their wait reasons on the status page. */
import type { Job } from '../job.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const USAGE_LOG_INTERVAL_MS = 10_000;

/** Sums over the machines of one type, separately for spot and on-demand machines. */
interface MachineUsage {
  up: number;
  booting: number;
  empty: number;
  gpus: number;
  used: number;
  /** GPUs allocated to tasks that wait for their image or for the other members of their gang. */
  idle: number;
}

/** A job's entry on the status page. */
const jobStatus = (job: Job) => ({
  id: job.id,
  class: job.spec.class,
  team: job.spec.team,
  priority: job.priority,
  dueAt: job.dueAt,
  predictedLateS: job.predictedLateS,
  waitsFor: [...job.unfinishedDependencies],
  tasks: job.spec.tasks,
  done: job.completedCount,
  placed: job.placements.size,
  running: job.runningCount,
  waits: job.pendingCount > 0 ? job.waitReason : null,
  withinGuarantee: job.withinGuarantee,
});

/** Summarizes the leader's state for operators. */
export class LeaderSummary {
  private lastLoggedAt = -Infinity;

  constructor(private readonly state: LeaderState) {}

  /** Logs at regular intervals how many machines of each type are paid for, and how much of them is used. */
  logMachineUsage(now: MonotonicTime): void {
    if (now - this.lastLoggedAt < USAGE_LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    const machines: Record<string, MachineUsage> = {};
    for (const machine of this.state.machines.values()) {
      const kind = `${machine.info.type}${machine.info.spot ? ' spot' : ''}`;
      const usage = (machines[kind] ??= { up: 0, booting: 0, empty: 0, gpus: 0, used: 0, idle: 0 });
      if (!machine.up) usage.booting++;
      else usage.up++;
      if (machine.up && !machine.busy) usage.empty++;
      usage.gpus += machine.type?.gpus ?? 0;
      for (const { job, placement } of machine.placements.values()) {
        usage.used += job.spec.gpus;
        if (!placement.running) usage.idle += job.spec.gpus;
      }
    }
    let waiting = 0;
    for (const job of this.state.jobs.values()) waiting += job.pendingCount;
    this.state.log('info', { machines, waiting, jobs: this.state.jobs.size }, 'machine usage');
  }

  /** Returns the leader's part of the status page. Operators' tools depend on its keys. */
  status(): Record<string, unknown> {
    return {
      term: this.state.leadership.term,
      machines: this.state.machines.size,
      silent: this.state.unreconciledMachines.size,
      decisions: { ...this.state.decisionLog.counts },
      jobs: [...this.state.jobs.values()].map(jobStatus),
    };
  }
}
