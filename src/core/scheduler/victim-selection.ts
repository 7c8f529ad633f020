/** Selects victims on one machine: the tasks that must stop for another task to fit there. */
import { addResources, fits, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { MonotonicTime, WallTime } from '../units.js';
import type { CandidateMachine } from './candidate-machine.js';
import type { GuaranteeAccounting } from './guarantee-accounting.js';
import type { Victim, VictimSet } from './nomination.js';

/** The time of the cycle on both clocks. Deadlines are relative to submissions, which are wall-clock times. */
export interface CycleTime {
  now: MonotonicTime;
  wallTime: WallTime;
}

/** Whether a task may be chosen as a victim. */
export type VictimFilter = (victim: Victim) => boolean;

/** Expected delay of a stopped task, which saves, waits for another machine and often fetches its image again. */
const STOP_DELAY_S = 20;
/** Maximum cost of endangering a victim's deadline, in seconds of lost work. */
const MAX_DEADLINE_COST_S = 10;
/** Cost per priority rank. A victim of a lower priority is cheaper unless it loses more work than this. */
const COST_PER_PRIORITY_RANK_S = 1000;
/** Cost per victim: of sets that lose the same work, the one with fewer victims is preferred. */
const COST_PER_VICTIM_S = 1;

const elapsedRunS = ({ placement }: Victim, now: MonotonicTime): number =>
  placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;

/**
 * Increases as the slack between the task's remaining run time and its job's deadline shrinks; 0 if the deadline can't
 * be met in any case.
 */
const deadlineCostS = (victim: Victim, { now, wallTime }: CycleTime): number => {
  const { dueAt, spec } = victim.job;
  if (dueAt === null) return 0;
  const dueInS = (dueAt - wallTime) / 1000;
  const slackS = dueInS - Math.max(spec.estimateS - elapsedRunS(victim, now), 0);
  return slackS < 0 ? 0 : MAX_DEADLINE_COST_S * Math.min(1, STOP_DELAY_S / Math.max(slackS, 1));
};

/** Cost of stopping the victim: seconds of lost work, plus its deadline cost and its priority cost. */
const stopCostOf = (victim: Victim, time: CycleTime): number => {
  const { checkpointS, saveS } = victim.job.spec;
  const ranS = elapsedRunS(victim, time.now);
  const lostS = checkpointS > 0 ? Math.min(ranS, saveS) : ranS;
  return lostS + deadlineCostS(victim, time) + COST_PER_PRIORITY_RANK_S * priorityRank[victim.job.priority];
};

interface CostedVictim extends Victim {
  stopCost: number;
}

/**
 * Selects victims in ascending order of cost and adds their resources to `available` until a task of the job fits.
 * Returns null if it doesn't fit with all of them. `accept` is called for one victim after another, since one accepted
 * victim may rule out the next.
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
    cost += candidate.stopCost + COST_PER_VICTIM_S;
    addResources(available, candidate.job.spec);
    if (fits(job.spec, available)) return { victims, cost };
  }
  return null;
};

const anyCandidate = (): boolean => true;

/** Selects the lower-priority tasks on the machine that cost least to stop for a task; null if they are too few. */
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
  // Most machines hold too few preemptible tasks. The precomputed sums show this without iterating over the tasks.
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
 * Selects the tasks of other teams, of any priority and beyond the teams' guarantees, that are cheapest to stop for a
 * task of a job within its own team's guarantee. A gang counts with all of its members, and no team is left below its
 * guarantee.
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
  // These records were tentative. Victims are recorded again when they are nominated.
  accounting.withdrawVictims(recorded);
  return found;
};
