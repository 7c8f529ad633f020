/** Arithmetic on amounts of CPUs, accelerators and memory. */

/** Amounts of what tasks take and machines offer. */
export interface Resources {
  cpus: number;
  /** Accelerators. */
  gpus: number;
  memoryGb: number;
}

/** Amounts that differ by less than this count as equal: sums of decimal amounts are not exact. */
export const RESOURCE_EPSILON = 1e-6;

/** Nothing of any kind, to be added to. */
export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** A copy of the amounts alone, to be added to. */
export const copyResources = ({ cpus, gpus, memoryGb }: Resources): Resources => ({ cpus, gpus, memoryGb });

/** Adds `b` to `a`, `factor` times. */
export const addResources = (a: Resources, b: Resources, factor = 1): void => {
  a.cpus += b.cpus * factor;
  a.gpus += b.gpus * factor;
  a.memoryGb += b.memoryGb * factor;
};

const enough = (need: number, free: number): boolean => need === 0 || need <= free + RESOURCE_EPSILON;

/** Whether `need` fits into `free`. */
export const fits = (need: Resources, free: Resources): boolean =>
  enough(need.cpus, free.cpus) && enough(need.gpus, free.gpus) && enough(need.memoryGb, free.memoryGb);

/** For tasks that take nothing. */
const MAX_TASKS_PER_MACHINE = 100_000;

/** How many tasks that take `need` each fit on an empty machine with this capacity. */
export const tasksPerMachine = (need: Resources, capacity: Resources): number => {
  let tasks = MAX_TASKS_PER_MACHINE;
  if (need.cpus > 0) tasks = Math.min(tasks, Math.floor(capacity.cpus / need.cpus + RESOURCE_EPSILON));
  if (need.gpus > 0) tasks = Math.min(tasks, Math.floor(capacity.gpus / need.gpus + RESOURCE_EPSILON));
  if (need.memoryGb > 0)
    tasks = Math.min(tasks, Math.floor(capacity.memoryGb / need.memoryGb + RESOURCE_EPSILON));
  return tasks;
};
