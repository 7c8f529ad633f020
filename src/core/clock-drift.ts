/** The bound on the drift between two monotonic clocks. */

/** Twice the bound of 0.05% on one clock's drift, since two clocks are compared. */
export const CLOCK_DRIFT_FRACTION = 0.001;
