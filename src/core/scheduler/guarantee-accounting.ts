/**
 * Quota accounting within a scheduling cycle: how much of another team's work beyond its guarantee may be stopped
 * without leaving that team below what it is guaranteed itself.
 */
import { addResources, noResources, RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { Job, Placement } from '../job.js';
import type { TeamQuota } from '../team-quota.js';
import type { Team } from '../units.js';
import { effectiveGuarantee } from './guarantees.js';
import type { Victim } from './nomination.js';

const isKept = (placement: Placement): boolean => placement.stop === null;
const keptTasks = (job: Job): number => [...job.placements.values()].filter(isKept).length;

const staysAbove = (guaranteed: number, used: number, lost: number): boolean =>
  guaranteed === 0 || used - lost >= guaranteed - RESOURCE_EPSILON;

/** What each team keeps, without the tasks that are stopping or nominated as victims. */
export class GuaranteeAccounting {
  private readonly kept = new Map<Team, Resources>();
  /** Nominated members of each gang. A gang stops as a whole with the first of them, so it is counted once. */
  private readonly nominatedMembers = new Map<Job, number>();

  constructor(
    private readonly quotas: ReadonlyMap<Team, TeamQuota>,
    usage: ReadonlyMap<Team, Resources>,
    jobs: Iterable<Job>,
  ) {
    for (const [team, used] of usage) this.kept.set(team, { ...used });
    for (const job of jobs) {
      const stopping = [...job.placements.values()].filter((placement) => placement.stop !== null).length;
      if (stopping > 0) this.addKeptTasks(job, -stopping);
    }
  }

  /** Whether stopping the victim leaves its team at least what it is guaranteed. */
  isReclaimable({ job }: Victim): boolean {
    if (job.withinGuarantee) return false;
    const quota = this.quotas.get(job.spec.team);
    const kept = this.kept.get(job.spec.team);
    if (!quota || !kept) return false;
    const tasks = this.tasksStoppedWith(job);
    const { cpus, gpus } = effectiveGuarantee(quota);
    return (
      staysAbove(cpus, kept.cpus, job.spec.cpus * tasks) && staysAbove(gpus, kept.gpus, job.spec.gpus * tasks)
    );
  }

  /** The number of tasks that stop with one task of this job. */
  tasksStoppedWith(job: Job): number {
    if (job.spec.kind !== 'gang') return 1;
    return this.nominatedMembers.has(job) ? 0 : keptTasks(job);
  }

  /** Counts the victims as lost to their teams. */
  recordVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      this.addKeptTasks(job, -this.tasksStoppedWith(job));
      if (job.spec.kind === 'gang') this.nominatedMembers.set(job, (this.nominatedMembers.get(job) ?? 0) + 1);
    }
  }

  /** Undoes `recordVictims`. */
  withdrawVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      if (job.spec.kind === 'gang') this.withdrawMember(job);
      else this.addKeptTasks(job, 1);
    }
  }

  private withdrawMember(job: Job): void {
    const members = this.nominatedMembers.get(job)! - 1;
    if (members > 0) {
      this.nominatedMembers.set(job, members);
      return;
    }
    this.nominatedMembers.delete(job);
    this.addKeptTasks(job, keptTasks(job));
  }

  private addKeptTasks(job: Job, tasks: number): void {
    const kept = this.kept.get(job.spec.team) ?? noResources();
    addResources(kept, job.spec, tasks);
    this.kept.set(job.spec.team, kept);
  }
}
