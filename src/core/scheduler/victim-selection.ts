/** Selects the tasks on one machine that would have to stop for a task to fit there. */
import { addResources, fits, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { MonotonicTime, WallTime } from '../units.js';
import type { CandidateMachine } from './candidate-machine.js';
import type { GuaranteeAccounting } from './guarantee-accounting.js';
import type { Victim, VictimSet } from './nomination.js';

/** The cycle's time on both clocks: deadlines are counted from submissions, which are wall-clock times. */
export interface CycleTime {
  now: MonotonicTime;
  wallTime: WallTime;
}

/** Whether a task may be chosen as a victim. */
export type VictimFilter = (victim: Victim) => boolean;

/** Delay of a stopped task: saving, waiting for another place, and often a fetch. */
const STOP_DELAY_S = 20;
/** Seconds of lost work that keeping a job's deadline is worth at the most. */
const MAX_DEADLINE_COST_S = 10;
/** Keeps every task of a lower priority cheaper than those of higher ones. */
const PRIORITY_COST_S = 1000;
/** Prefers few victims among sets that lose the same. */
const VICTIM_COST_S = 1;

const ranForS = ({ placement }: Victim, now: MonotonicTime): number =>
  placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;

/** Rises as the time left beyond the task's own run shrinks; nothing for a job that is late whatever happens. */
const deadlineCostS = (victim: Victim, { now, wallTime }: CycleTime): number => {
  const { dueAt, spec } = victim.job;
  if (dueAt === null) return 0;
  const dueInS = (dueAt - wallTime) / 1000;
  const slackS = dueInS - Math.max(spec.estimateS - ranForS(victim, now), 0);
  return slackS < 0 ? 0 : MAX_DEADLINE_COST_S * Math.min(1, STOP_DELAY_S / Math.max(slackS, 1));
};

/** Seconds of work that stopping the victim loses, with lower priorities well before higher ones. */
const stopCostOf = (victim: Victim, time: CycleTime): number => {
  const { checkpointS, saveS } = victim.job.spec;
  const ranS = ranForS(victim, time.now);
  const lostS = checkpointS > 0 ? Math.min(ranS, saveS) : ranS;
  return lostS + deadlineCostS(victim, time) + PRIORITY_COST_S * priorityRank[victim.job.priority];
};

interface CostedVictim extends Victim {
  stopCost: number;
}

/**
 * Adds victims in ascending order of their cost to what is `available` until the task fits; null where all of them are
 * too few. `accept` is asked for each in its turn, as one victim may rule out another.
 */
const cheapestVictims = (
  job: Job,
  available: Resources,
  candidates: CostedVictim[],
  accept: VictimFilter,
): VictimSet | null => {
  candidates.sort((a, b) => a.stopCost - b.stopCost);
  const victims: Victim[] = [];
  let cost = 0;
  for (const candidate of candidates) {
    if (!accept(candidate)) continue;
    victims.push(candidate);
    cost += candidate.stopCost + VICTIM_COST_S;
    addResources(available, candidate.job.spec);
    if (fits(job.spec, available)) return { victims, cost };
  }
  return null;
};

const anyCandidate = (): boolean => true;

/** The lower-priority work on the machine that is cheapest to stop for the job's task; null where it is too little. */
export const lowerPriorityVictims = (
  job: Job,
  candidate: CandidateMachine,
  mayStop: VictimFilter,
  time: CycleTime,
): VictimSet | null => {
  const available = { ...candidate.free };
  addResources(available, candidate.releasing);
  if (fits(job.spec, available)) return { victims: [], cost: 0 };
  const rank = priorityRank[job.priority];
  // Most machines hold too little preemptible work: the sums tell, without a look at the tasks.
  const preemptible = candidate.preemptibleBelow[rank];
  if (!preemptible) return null;
  addResources(available, preemptible);
  if (!fits(job.spec, available)) return null;
  addResources(available, preemptible, -1);
  const victims: CostedVictim[] = [];
  for (const victim of candidate.machine.placements.values()) {
    if (priorityRank[victim.job.priority] >= rank) continue;
    if (victim.placement.unpreemptible || victim.placement.stop || !mayStop(victim)) continue;
    victims.push({ ...victim, stopCost: stopCostOf(victim, time) });
  }
  return cheapestVictims(job, available, victims, anyCandidate);
};

/**
 * The work of other teams beyond their guarantees, of any priority, that is cheapest to stop for the task of a job
 * within its own team's guarantee. A gang counts with all of its members, and no team falls below its guarantee.
 */
export const reclaimVictims = (
  job: Job,
  candidate: CandidateMachine,
  mayStop: VictimFilter,
  accounting: GuaranteeAccounting,
  time: CycleTime,
): VictimSet | null => {
  const available = { ...candidate.free };
  addResources(available, candidate.releasing);
  if (fits(job.spec, available)) return { victims: [], cost: 0 };
  const { team } = job.spec;
  const victims: CostedVictim[] = [];
  for (const { job: other, placement } of candidate.machine.placements.values()) {
    const victim = { job: other, placement, reclaimedForTeam: team };
    if (other.spec.team === team || placement.unpreemptible || placement.stop || !mayStop(victim)) continue;
    const tasks = Math.max(1, accounting.tasksStoppedWith(other));
    victims.push({ ...victim, stopCost: stopCostOf(victim, time) * tasks });
  }
  const recorded: Victim[] = [];
  const accept = (victim: Victim): boolean => {
    if (!accounting.isReclaimable(victim)) return false;
    accounting.recordVictims([victim]);
    recorded.push(victim);
    return true;
  };
  const found = cheapestVictims(job, available, victims, accept);
  // They count as lost only once the whole placement is complete.
  accounting.withdrawVictims(recorded);
  return found;
};
