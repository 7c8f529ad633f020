/** What a team is guaranteed and limited to. */
import type { Team } from './units.js';

/** A team's guaranteed amounts and its limits; 0: it has none of this kind. */
export interface TeamQuota {
  name: Team;
  /** Guaranteed CPUs. */
  guaranteedCpus: number;
  /** Limit on CPUs. */
  maxCpus: number;
  /** Guaranteed accelerators. */
  guaranteedGpus: number;
  /** Limit on accelerators. */
  maxGpus: number;
}
