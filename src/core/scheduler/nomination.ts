/** What preemption nominates: victims on a machine, with what stopping them costs. Nominated tasks still run. */
import type { Job, Placement } from '../job.js';
import type { Team } from '../units.js';
import type { CandidateMachine } from './candidate-machine.js';

/** A task to be stopped for another one. */
export interface Victim {
  job: Job;
  placement: Placement;
  /** Set where the victim's team runs beyond its guarantee and this team reclaims its own. */
  reclaimedForTeam?: Team;
}

/** Victims that together make enough capacity; empty where tasks that are stopping already do. */
export interface VictimSet {
  victims: Victim[];
  /** About the seconds of work that stopping them loses, with lower priorities well before higher ones. */
  cost: number;
}

/** The machine where a task gets its place once the victims there have left. */
export interface Nomination extends VictimSet {
  candidate: CandidateMachine;
}
