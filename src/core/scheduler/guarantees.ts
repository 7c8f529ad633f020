/** Teams' guarantees: what each is, and which jobs are within them. */
import { addResources, noResources, RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import type { TeamQuota } from '../team-quota.js';
import type { Team } from '../units.js';

/** What a team is guaranteed of each kind; a guarantee above the limit is served up to the limit. 0: none. */
export const effectiveGuarantee = (quota: TeamQuota): { cpus: number; gpus: number } => ({
  cpus: quota.maxCpus > 0 ? Math.min(quota.guaranteedCpus, quota.maxCpus) : quota.guaranteedCpus,
  gpus: quota.maxGpus > 0 ? Math.min(quota.guaranteedGpus, quota.maxGpus) : quota.guaranteedGpus,
});

const fitsGuarantee = (need: Resources, quota: TeamQuota | undefined): boolean => {
  if (!quota) return false;
  const { cpus, gpus } = effectiveGuarantee(quota);
  if (cpus === 0 && gpus === 0) return false;
  return (
    (cpus === 0 || need.cpus <= cpus + RESOURCE_EPSILON) &&
    (gpus === 0 || need.gpus <= gpus + RESOURCE_EPSILON)
  );
};

/** Adds what the job may need at once until it is over. */
const addNeed = (sum: Resources, { spec, completedCount }: Job): void =>
  addResources(sum, spec, spec.kind === 'array' ? spec.tasks - completedCount : spec.tasks);

/** Marks each unfinished job that fits its team's guarantee together with the team's earlier unfinished jobs. */
export const markWithinGuarantee = (jobs: Iterable<Job>, quotas: ReadonlyMap<Team, TeamQuota>): void => {
  const unfinished = [...jobs].filter((job) => !job.cancelled && !job.finalizing && job.ready);
  unfinished.sort((a, b) => a.record.submittedAt - b.record.submittedAt || (a.id < b.id ? -1 : 1));
  const needs = new Map<Team, Resources>();
  for (const job of unfinished) {
    const { team } = job.spec;
    const need = needs.get(team) ?? noResources();
    needs.set(team, need);
    addNeed(need, job);
    job.withinGuarantee = fitsGuarantee(need, quotas.get(team));
  }
};
