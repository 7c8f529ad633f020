/** Results of preemption: nominated victims, which are still running, and the cost of stopping them. */
import type { Job, Placement } from '../job.js';
import type { Team } from '../units.js';
import type { CandidateMachine } from './candidate-machine.js';

/** A task to be stopped so that another task can start. */
export interface Victim {
  job: Job;
  placement: Placement;
  /** The team that reclaims its guaranteed capacity from the victim's team; unset for preemption by priority. */
  reclaimedForTeam?: Team;
}

/** Victims that together release enough capacity; empty if tasks that are already stopping do. */
export interface VictimSet {
  victims: Victim[];
  /** Approximately the seconds of work lost by stopping the victims, plus a cost for their priorities. */
  cost: number;
}

/** The machine on which a task is placed once the victims have left it. */
export interface Nomination extends VictimSet {
  candidate: CandidateMachine;
}
