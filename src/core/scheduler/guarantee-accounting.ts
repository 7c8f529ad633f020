/** Accounting of guarantees within a cycle: which tasks can be stopped with their team still at its guarantee. */
import { addResources, noResources, RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { Job, Placement } from '../job.js';
import type { TeamQuota } from '../team-quota.js';
import type { Team } from '../units.js';
import { effectiveGuarantee } from './guarantees.js';
import type { Victim } from './nomination.js';

const isNotStopping = (placement: Placement): boolean => placement.stop === null;
const remainingTasks = (job: Job): number => [...job.placements.values()].filter(isNotStopping).length;

const keepsGuarantee = (guaranteed: number, used: number, lost: number): boolean =>
  guaranteed === 0 || used - lost >= guaranteed - RESOURCE_EPSILON;

/** The remaining usage of each team, without the tasks that are stopping or nominated as victims. */
export class GuaranteeAccounting {
  private readonly remainingUsage = new Map<Team, Resources>();
  /** Number of nominated members of each gang. All members stop with the first, so the gang is subtracted only once. */
  private readonly nominatedMembers = new Map<Job, number>();

  constructor(
    private readonly quotas: ReadonlyMap<Team, TeamQuota>,
    usage: ReadonlyMap<Team, Resources>,
    jobs: Iterable<Job>,
  ) {
    for (const [team, used] of usage) this.remainingUsage.set(team, { ...used });
    for (const job of jobs) {
      const stopping = [...job.placements.values()].filter((placement) => placement.stop !== null).length;
      if (stopping > 0) this.addRemainingTasks(job, -stopping);
    }
  }

  /** Whether the victim's team keeps at least its guarantee if the victim is stopped. */
  isReclaimable({ job }: Victim): boolean {
    if (job.withinGuarantee) return false;
    const quota = this.quotas.get(job.spec.team);
    const remaining = this.remainingUsage.get(job.spec.team);
    if (!quota || !remaining) return false;
    const tasks = this.tasksStoppedWith(job);
    const { cpus, gpus } = effectiveGuarantee(quota);
    return (
      keepsGuarantee(cpus, remaining.cpus, job.spec.cpus * tasks) &&
      keepsGuarantee(gpus, remaining.gpus, job.spec.gpus * tasks)
    );
  }

  /** The number of tasks that stop if one more task of the job is nominated; 0 if its gang is stopping already. */
  tasksStoppedWith(job: Job): number {
    if (job.spec.kind !== 'gang') return 1;
    return this.nominatedMembers.has(job) ? 0 : remainingTasks(job);
  }

  /** Subtracts the victims from the remaining usage of their teams. */
  recordVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      this.addRemainingTasks(job, -this.tasksStoppedWith(job));
      if (job.spec.kind === 'gang') this.nominatedMembers.set(job, (this.nominatedMembers.get(job) ?? 0) + 1);
    }
  }

  /** Reverts `recordVictims`. */
  withdrawVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      if (job.spec.kind === 'gang') this.withdrawGangMember(job);
      else this.addRemainingTasks(job, 1);
    }
  }

  private withdrawGangMember(job: Job): void {
    const members = this.nominatedMembers.get(job)! - 1;
    if (members > 0) {
      this.nominatedMembers.set(job, members);
      return;
    }
    this.nominatedMembers.delete(job);
    this.addRemainingTasks(job, remainingTasks(job));
  }

  private addRemainingTasks(job: Job, tasks: number): void {
    const remaining = this.remainingUsage.get(job.spec.team) ?? noResources();
    addResources(remaining, job.spec, tasks);
    this.remainingUsage.set(job.spec.team, remaining);
  }
}
