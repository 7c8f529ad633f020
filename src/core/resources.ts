/** Arithmetic on amounts of CPUs, accelerators and memory. */
import type { Resources } from './types.js';

/** Amounts that differ by less than this count as equal: sums of decimal amounts are not exact. */
export const RESOURCE_EPSILON = 1e-6;

export const noResources = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

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
