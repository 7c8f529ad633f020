/** What a team is guaranteed and limited to. */
import type { Team } from './units.js';

/** A team's guaranteed amounts and its limits; 0: it has none of this kind. */
export interface TeamQuota {
  name: Team;
  /** Guaranteed CPUs. */
  cpus: number;
  /** Limit on CPUs. */
  cpusMax: number;
  /** Guaranteed accelerators. */
  gpus: number;
  /** Limit on accelerators. */
  gpusMax: number;
}
