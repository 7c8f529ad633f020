/** The guarantees and limits of teams. */
import type { Team } from './units.js';

/** The resources guaranteed to a team, and the team's limits; 0 means that there is no guarantee or no limit. */
export interface TeamQuota {
  name: Team;
  guaranteedCpus: number;
  maxCpus: number;
  /** Guaranteed accelerators. */
  guaranteedGpus: number;
  /** Limit on accelerators. */
  maxGpus: number;
}
