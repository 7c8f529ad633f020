/** Random factors for delays, so that operations delayed at the same time are not all retried at the same time. */

/** A random factor between 0.75 and 1.25. */
export const narrowJitter = (random: () => number): number => 0.75 + 0.5 * random();

/** A random factor between 0.5 and 1.5. */
export const wideJitter = (random: () => number): number => 0.5 + random();
