// Teams' guarantees: whose work is within its own, and what a team runs beyond it, which may be stopped for another
// team that is owed room.
import { addResources } from '../resources.js';
import type { Job, Placement } from '../job.js';
import type { Resources, TeamQuota } from '../types.js';
import type { Team } from '../units.js';
import type { Victim } from './victims.js';

const EPSILON = 1e-6;
const noAmounts = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** What a team is guaranteed of each kind; a guarantee above the limit is served up to the limit. 0: none. */
export const effectiveGuarantee = (team: TeamQuota): { cpus: number; gpus: number } => ({
  cpus: team.cpusMax > 0 ? Math.min(team.cpus, team.cpusMax) : team.cpus,
  gpus: team.gpusMax > 0 ? Math.min(team.gpus, team.gpusMax) : team.gpus,
});

const withinGuarantee = (need: Resources, team: TeamQuota | undefined): boolean => {
  if (!team) return false;
  const { cpus, gpus } = effectiveGuarantee(team);
  if (cpus === 0 && gpus === 0) return false;
  return (cpus === 0 || need.cpus <= cpus + EPSILON) && (gpus === 0 || need.gpus <= gpus + EPSILON);
};

/** What the job may need at once until it is over. */
const addNeed = (sum: Resources, { spec, completedCount }: Job): void =>
  addResources(sum, spec, spec.kind === 'array' ? spec.tasks - completedCount : spec.tasks);

/** Marks each unfinished job that fits its team's guarantee together with the team's earlier unfinished jobs. */
export const markWithinGuarantee = (jobs: Iterable<Job>, teams: ReadonlyMap<Team, TeamQuota>): void => {
  const unfinished = [...jobs].filter((job) => !job.cancelled && !job.finalizing && job.ready);
  unfinished.sort((a, b) => a.record.submittedAt - b.record.submittedAt || (a.id < b.id ? -1 : 1));
  const needs = new Map<Team, Resources>();
  for (const job of unfinished) {
    const { team } = job.spec;
    const need = needs.get(team) ?? noAmounts();
    needs.set(team, need);
    addNeed(need, job);
    job.withinGuarantee = withinGuarantee(need, teams.get(team));
  }
};

/** In a cycle: what each team keeps, without the tasks that were told to stop or are nominated for it. */
export class GuaranteeAccounting {
  private readonly kept = new Map<Team, Resources>();
  /** Gangs go as a whole, whichever of their members is nominated, and are counted once. */
  private readonly stoppedGangs = new Map<Job, number>();

  constructor(
    private readonly teams: ReadonlyMap<Team, TeamQuota>,
    usage: ReadonlyMap<Team, Resources>,
    jobs: Iterable<Job>,
  ) {
    for (const [team, used] of usage) this.kept.set(team, { ...used });
    for (const job of jobs) {
      const leaving = [...job.placements.values()].filter((placement) => placement.stop !== null).length;
      if (leaving > 0) this.change(job, -leaving);
    }
  }

  /** Work that its team borrows: stopping it leaves the team at least what it is guaranteed. */
  isReclaimable({ job }: Victim): boolean {
    if (job.withinGuarantee) return false;
    const team = this.teams.get(job.spec.team);
    const kept = this.kept.get(job.spec.team);
    if (!team || !kept) return false;
    const tasks = this.tasksStoppedWith(job);
    const { cpus, gpus } = effectiveGuarantee(team);
    const keeps = (used: number, lost: number, guaranteed: number): boolean =>
      guaranteed === 0 || used - lost >= guaranteed - EPSILON;
    return keeps(kept.cpus, job.spec.cpus * tasks, cpus) && keeps(kept.gpus, job.spec.gpus * tasks, gpus);
  }

  /** Tasks that stop with one of this job. */
  tasksStoppedWith(job: Job): number {
    if (job.spec.kind !== 'gang') return 1;
    return this.stoppedGangs.has(job) ? 0 : runningOn(job);
  }

  recordVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      this.change(job, -this.tasksStoppedWith(job));
      if (job.spec.kind === 'gang') this.stoppedGangs.set(job, (this.stoppedGangs.get(job) ?? 0) + 1);
    }
  }

  withdrawVictims(victims: Victim[]): void {
    for (const { job } of victims) {
      if (job.spec.kind === 'gang') this.spareGang(job);
      else this.change(job, 1);
    }
  }

  private spareGang(job: Job): void {
    const members = this.stoppedGangs.get(job)! - 1;
    if (members > 0) {
      this.stoppedGangs.set(job, members);
      return;
    }
    this.stoppedGangs.delete(job);
    this.change(job, runningOn(job));
  }

  private change(job: Job, tasks: number): void {
    const kept = this.kept.get(job.spec.team) ?? noAmounts();
    addResources(kept, job.spec, tasks);
    this.kept.set(job.spec.team, kept);
  }
}

const isKept = (placement: Placement): boolean => placement.stop === null;
const runningOn = (job: Job): number => [...job.placements.values()].filter(isKept).length;
