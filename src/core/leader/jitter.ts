/** Random factors that spread delays, so that what was held up together doesn't come back in one wave. */

/** Between 0.75 and 1.25. */
export const narrowJitter = (random: () => number): number => 0.75 + 0.5 * random();

/** Between 0.5 and 1.5. */
export const wideJitter = (random: () => number): number => 0.5 + random();
