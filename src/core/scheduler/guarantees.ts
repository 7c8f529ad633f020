/** Guarantees of teams: their effective amounts, and which jobs they cover. */
import { addResources, noResources, RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import type { TeamQuota } from '../team-quota.js';
import type { Team } from '../units.js';

/** The guaranteed amounts of a team, capped at its limits; 0 means no guarantee. */
export const effectiveGuarantee = (quota: TeamQuota): { cpus: number; gpus: number } => ({
  cpus: quota.maxCpus > 0 ? Math.min(quota.guaranteedCpus, quota.maxCpus) : quota.guaranteedCpus,
  gpus: quota.maxGpus > 0 ? Math.min(quota.guaranteedGpus, quota.maxGpus) : quota.guaranteedGpus,
});

const fitsGuarantee = (demand: Resources, quota: TeamQuota | undefined): boolean => {
  if (!quota) return false;
  const { cpus, gpus } = effectiveGuarantee(quota);
  if (cpus === 0 && gpus === 0) return false;
  return (
    (cpus === 0 || demand.cpus <= cpus + RESOURCE_EPSILON) &&
    (gpus === 0 || demand.gpus <= gpus + RESOURCE_EPSILON)
  );
};

/** Adds the resources that the job's unfinished tasks require if they all run at the same time. */
const addDemand = (sum: Resources, { spec, completedCount }: Job): void =>
  addResources(sum, spec, spec.kind === 'array' ? spec.tasks - completedCount : spec.tasks);

/** Marks each unfinished job that fits its team's guarantee together with the team's earlier unfinished jobs. */
export const markWithinGuarantee = (jobs: Iterable<Job>, quotas: ReadonlyMap<Team, TeamQuota>): void => {
  const unfinished = [...jobs].filter((job) => !job.cancelled && !job.finalizing && job.ready);
  unfinished.sort((a, b) => a.record.submittedAt - b.record.submittedAt || (a.id < b.id ? -1 : 1));
  const demands = new Map<Team, Resources>();
  for (const job of unfinished) {
    const { team } = job.spec;
    const demand = demands.get(team) ?? noResources();
    demands.set(team, demand);
    addDemand(demand, job);
    job.withinGuarantee = fitsGuarantee(demand, quotas.get(team));
  }
};
