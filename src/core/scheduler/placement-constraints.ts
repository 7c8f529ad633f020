// Where a task may run at all: what the filter asks, and what placement rules every leader has kept.
import type { Resources, JobSpec, Priority, TeamQuota } from '../types.js';
import type { Zone } from '../units.js';

export const mayRunOn = (spec: JobSpec, type: string, zone: Zone, spot: boolean): boolean =>
  (spec.types === null || spec.types.some((t) => t === type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

export const withinTeamLimit = (
  spec: Resources,
  used: Resources | undefined,
  limit: TeamQuota | undefined,
): boolean => {
  if (!limit) return false;
  const cpus = (used?.cpus ?? 0) + spec.cpus;
  const gpus = (used?.gpus ?? 0) + spec.gpus;
  return (
    (limit.cpusMax === 0 || cpus <= limit.cpusMax + 1e-6) &&
    (limit.gpusMax === 0 || gpus <= limit.gpusMax + 1e-6)
  );
};

/** Tasks with the same signature get the same answer from the filter, so a failure is asked for once a cycle. */
export const constraintSignature = ({ spec: s, priority }: { spec: JobSpec; priority: Priority }): string =>
  `${s.cpus}|${s.gpus}|${s.memoryGb}|${s.types?.join(',') ?? ''}|${s.zone ?? ''}|${s.spot}|${priority}`;
