/** Constraints on the placement of a task: machine type, zone, spot instances, and the team's limit. */
import { RESOURCE_EPSILON, type Resources } from '../resources.js';
import type { JobSpec, Priority } from '../job-spec.js';
import type { TeamQuota } from '../team-quota.js';
import type { Zone } from '../units.js';

/** The number of a job's tasks in each zone; zones without tasks may be absent. */
export type ZoneCounts = Map<Zone, number>;

/** Whether the job allows machines of this type and zone, and allows spot instances if this is one. */
export const mayRunOn = (spec: JobSpec, type: string, zone: Zone, spot: boolean): boolean =>
  (spec.types === null || spec.types.some((allowed) => allowed === type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

/** Whether the job's `oneZone` and `spread` constraints permit one more task in the zone. */
export const zoneAllowsOneMore = (spec: JobSpec, zone: Zone, zones: ReadonlyMap<Zone, number>): boolean => {
  if (spec.oneZone && zones.size > 0 && !zones.has(zone)) return false;
  return !spec.spread || (zones.get(zone) ?? 0) < Math.ceil(spec.tasks / 2);
};

/** Whether a team that uses `used` may use `additional` as well. A team without a quota may not use anything. */
export const withinTeamLimit = (
  additional: Resources,
  used: Resources | undefined,
  quota: TeamQuota | undefined,
): boolean => {
  if (!quota) return false;
  const cpus = (used?.cpus ?? 0) + additional.cpus;
  const gpus = (used?.gpus ?? 0) + additional.gpus;
  return (
    (quota.maxCpus === 0 || cpus <= quota.maxCpus + RESOURCE_EPSILON) &&
    (quota.maxGpus === 0 || gpus <= quota.maxGpus + RESOURCE_EPSILON)
  );
};

/** The signature shared by tasks that the filter treats alike, so that a failure is determined once per cycle. */
export const constraintSignature = ({ spec, priority }: { spec: JobSpec; priority: Priority }): string => {
  const types = spec.types?.join(',') ?? '';
  return `${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${types}|${spec.zone ?? ''}|${spec.spot}|${priority}`;
};
