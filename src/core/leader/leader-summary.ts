// What an operator sees of the leader: machines and their use in the log, jobs and their reasons at the status page.
import type { Job } from '../job.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const FLEET_LOG_MS = 10_000;

interface MachineSums {
  up: number;
  booting: number;
  empty: number;
  gpus: number;
  used: number;
  /** Accelerators held by tasks that wait for their image or their gang. */
  idle: number;
}

const describe = (job: Job) => ({
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

/** Sums over the leader's state for operators. */
export class LeaderSummary {
  private loggedAt = -Infinity;

  constructor(private readonly state: LeaderState) {}

  /** Now and then, what the money goes to: machines by type and kind, and how much of them is used. */
  logMachineUsage(now: MonotonicTime): void {
    if (now - this.loggedAt < FLEET_LOG_MS) return;
    this.loggedAt = now;
    const fleet: Record<string, MachineSums> = {};
    for (const machine of this.state.machines.values()) {
      const kind = `${machine.info.type}${machine.info.spot ? ' spot' : ''}`;
      const sums = (fleet[kind] ??= { up: 0, booting: 0, empty: 0, gpus: 0, used: 0, idle: 0 });
      if (!machine.up) sums.booting++;
      else sums.up++;
      if (machine.up && !machine.busy) sums.empty++;
      sums.gpus += machine.type?.gpus ?? 0;
      for (const { job, placement } of machine.placements.values()) {
        sums.used += job.spec.gpus;
        if (!placement.running) sums.idle += job.spec.gpus;
      }
    }
    let waiting = 0;
    for (const job of this.state.jobs.values()) waiting += job.pendingCount;
    this.state.log('info', { fleet, waiting, jobs: this.state.jobs.size }, 'fleet');
  }

  status(): Record<string, unknown> {
    return {
      term: this.state.leadership.term,
      machines: this.state.machines.size,
      silent: this.state.unreconciledMachines.size,
      decisions: { ...this.state.decisionLog.counts },
      jobs: [...this.state.jobs.values()].map(describe),
    };
  }
}
