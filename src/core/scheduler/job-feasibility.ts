/** Whether a job could run at all on empty machines of the types that the cloud offers. */
import { fits } from '../resources.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import { mayRunOn } from './placement-constraints.js';

/** Whether a task of the job fits an allowed on-demand machine. */
export const fitsSomeType = (spec: JobSpec, types: MachineType[]): boolean =>
  types.some((type) => type.zones.some((zone) => mayRunOn(spec, type.name, zone, false)) && fits(spec, type));

/** Groups whose tasks run at the same time, spread over zones, need more than one zone as soon as they are two. */
export const canBeSpread = (spec: JobSpec, types: MachineType[]): boolean => {
  if (!spec.spread || spec.kind === 'array' || spec.tasks < 2) return true;
  if (spec.oneZone) return false;
  const fitting = types.filter((type) => fits(spec, type));
  const zones = fitting.flatMap((type) =>
    type.zones.filter((zone) => mayRunOn(spec, type.name, zone, false)),
  );
  return new Set(zones).size > 1;
};
