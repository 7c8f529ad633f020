/** The constraints on where a task may run at all: machine type, zone, spot instances, and the team's limit. */
import { RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { JobSpec, Priority } from '../job-spec.js';
import type { TeamQuota } from '../team-quota.js';
import type { Zone } from '../units.js';

/** How many of a job's tasks are in each zone; zones without any may be missing. */
export type ZoneCounts = Map<Zone, number>;

/** Whether the job allows machines of this type, zone and kind. */
export const mayRunOn = (spec: JobSpec, type: string, zone: Zone, spot: boolean): boolean =>
  (spec.types === null || spec.types.some((allowed) => allowed === type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

/** Whether one more task may go to the zone beside the job's others, by its `oneZone` and `spread`. */
export const zoneAllowsOneMore = (spec: JobSpec, zone: Zone, zones: ReadonlyMap<Zone, number>): boolean => {
  if (spec.oneZone && zones.size > 0 && !zones.has(zone)) return false;
  return !spec.spread || (zones.get(zone) ?? 0) < Math.ceil(spec.tasks / 2);
};

/** Whether a team that uses so much may use `need` more. A team without a quota may use nothing. */
export const withinTeamLimit = (
  need: Resources,
  used: Resources | undefined,
  quota: TeamQuota | undefined,
): boolean => {
  if (!quota) return false;
  const cpus = (used?.cpus ?? 0) + need.cpus;
  const gpus = (used?.gpus ?? 0) + need.gpus;
  return (
    (quota.maxCpus === 0 || cpus <= quota.maxCpus + RESOURCE_EPSILON) &&
    (quota.maxGpus === 0 || gpus <= quota.maxGpus + RESOURCE_EPSILON)
  );
};

/** Tasks with the same signature get the same answer from the filter, so a failure is established once a cycle. */
export const constraintSignature = ({ spec, priority }: { spec: JobSpec; priority: Priority }): string => {
  const types = spec.types?.join(',') ?? '';
  return `${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${types}|${spec.zone ?? ''}|${spec.spot}|${priority}`;
};
