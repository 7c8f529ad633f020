/** Arithmetic on amounts of CPUs, accelerators and memory. */

/** Amounts that tasks require or machines offer. */
export interface Resources {
  cpus: number;
  /** Accelerators. */
  gpus: number;
  memoryGb: number;
}

/** Amounts that differ by less than this are considered equal, because sums of decimal fractions are inexact. */
export const RESOURCE_EPSILON = 1e-6;

/** A new sum of resources, initially zero. */
export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** A copy of the resource amounts only, without the other properties of the object. */
export const copyResources = ({ cpus, gpus, memoryGb }: Resources): Resources => ({ cpus, gpus, memoryGb });

/** Adds `b` to `a`, `factor` times. */
export const addResources = (a: Resources, b: Resources, factor = 1): void => {
  a.cpus += b.cpus * factor;
  a.gpus += b.gpus * factor;
  a.memoryGb += b.memoryGb * factor;
};

const isSufficient = (required: number, available: number): boolean =>
  required === 0 || required <= available + RESOURCE_EPSILON;

/** Whether `required` fits into `available`. */
export const fits = (required: Resources, available: Resources): boolean =>
  isSufficient(required.cpus, available.cpus) &&
  isSufficient(required.gpus, available.gpus) &&
  isSufficient(required.memoryGb, available.memoryGb);

/** The result for tasks that require no resources. */
const MAX_TASKS_PER_MACHINE = 100_000;

/** The number of tasks that fit on an empty machine with this capacity if each requires `required`. */
export const tasksPerMachine = (required: Resources, capacity: Resources): number => {
  let tasks = MAX_TASKS_PER_MACHINE;
  if (required.cpus > 0)
    tasks = Math.min(tasks, Math.floor(capacity.cpus / required.cpus + RESOURCE_EPSILON));
  if (required.gpus > 0)
    tasks = Math.min(tasks, Math.floor(capacity.gpus / required.gpus + RESOURCE_EPSILON));
  if (required.memoryGb > 0)
    tasks = Math.min(tasks, Math.floor(capacity.memoryGb / required.memoryGb + RESOURCE_EPSILON));
  return tasks;
};
