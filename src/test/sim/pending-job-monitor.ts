/** Finds jobs that stay pending although machines have capacity for them and their team is below its limit. */
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedUser } from './simulated-user.js';
import type { VirtualClock } from './virtual-clock.js';
import type { WorkerHost } from './worker-host.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId, MachineId } from '../../core/units.js';

const CHECK_INTERVAL_MS = 2000;
const LEFT_WAITING_AFTER_MS = 90_000;

interface Dependencies {
  checker: InvariantChecker;
  users: ReadonlyMap<JobId, SimulatedUser>;
  workers: ReadonlyMap<MachineId, WorkerHost>;
  specs: ReadonlyMap<JobId, JobSpec>;
  teams: TeamQuota[];
  zones: string[];
}

/** Monitors the pending jobs of a cluster after all faults have ended. */
export class PendingJobMonitor {
  private readonly waitingSince = new Map<JobId, number>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Starts the periodic checks. */
  start(clock: VirtualClock): void {
    clock.every(CHECK_INTERVAL_MS, () => this.check(clock.now));
  }

  private check(now: number): void {
    for (const [id, user] of this.dependencies.users) {
      const ended = user.status === 'done' || user.status === 'cancelled' || user.cancellationRequested;
      if (!user.accepted || ended || !this.canStartMoreTasks(user.spec)) {
        this.waitingSince.delete(id);
        continue;
      }
      const since = this.waitingSince.get(id) ?? now;
      this.waitingSince.set(id, since);
      if (now - since > LEFT_WAITING_AFTER_MS)
        this.dependencies.checker.reportJobLeftWaiting(id, now - since);
    }
  }

  /** Whether pending tasks of the job are ready, fit on machines and stay within the limit of their team. */
  private canStartMoreTasks(spec: JobSpec): boolean {
    const { checker, specs } = this.dependencies;
    if (this.activeTaskCount(spec.id) + checker.completedTaskCount(spec.id) >= spec.tasks) return false;
    const done = (id: JobId): boolean => checker.completedTaskCount(id) === specs.get(id)!.tasks;
    return spec.dependsOn.every(done) && this.quotaAllows(spec) && this.fits(spec);
  }

  private activeTaskCount(id: JobId): number {
    let count = 0;
    for (const { worker } of this.dependencies.workers.values()) count += worker.activeTaskCount(id);
    return count;
  }

  private quotaAllows(spec: JobSpec): boolean {
    const { specs, teams } = this.dependencies;
    const { maxGpus } = teams.find((team) => team.name === spec.team)!;
    let used = 0;
    for (const other of specs.values())
      if (other.team === spec.team) used += other.gpus * this.activeTaskCount(other.id);
    return maxGpus <= 0 || used + spec.gpus * tasksStartedTogether(spec) <= maxGpus;
  }

  private fits(spec: JobSpec): boolean {
    const { workers, zones } = this.dependencies;
    const fitting = [...workers.values()].filter(
      ({ info, worker }) => (spec.zone === null || info.zone === spec.zone) && worker.hasCapacity(spec),
    );
    if (!spec.oneZone && !spec.spread) return fitting.length >= tasksStartedTogether(spec);
    return zones.some(
      (zone) => fitting.filter(({ info }) => info.zone === zone).length >= tasksStartedTogether(spec),
    );
  }
}

/** The number of tasks that start together: one for an array, all tasks for other jobs. */
const tasksStartedTogether = (spec: JobSpec): number => (spec.kind === 'array' ? 1 : spec.tasks);
