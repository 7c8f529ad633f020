/** Checks whether a job could run on empty machines of the types that the cloud provider offers. */
import { fits } from '../resources.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import { mayRunOn } from './placement-constraints.js';

/** Whether a task of the job fits on an on-demand machine of an allowed type and zone. */
export const fitsSomeType = (spec: JobSpec, types: MachineType[]): boolean =>
  types.some((type) => type.zones.some((zone) => mayRunOn(spec, type.name, zone, false)) && fits(spec, type));

/** Whether the job's tasks can be spread over zones: two or more tasks that run at the same time need two zones. */
export const canBeSpread = (spec: JobSpec, types: MachineType[]): boolean => {
  if (!spec.spread || spec.kind === 'array' || spec.tasks < 2) return true;
  if (spec.oneZone) return false;
  const fitting = types.filter((type) => fits(spec, type));
  const zones = fitting.flatMap((type) =>
    type.zones.filter((zone) => mayRunOn(spec, type.name, zone, false)),
  );
  return new Set(zones).size > 1;
};
