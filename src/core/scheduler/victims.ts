// Which tasks would have to stop for a task to fit on a machine. Nothing is stopped here: victims are only named.
import { addResources, fits } from '../resources.js';
import type { Job, Placement } from '../job.js';
import { priorityRank, type Resources } from '../types.js';
import type { MonotonicTime, Team, WallTime } from '../units.js';
import type { GuaranteeAccounting } from './guarantees.js';
import type { CandidateMachine } from './candidate-machine.js';

export interface Victim {
  job: Job;
  placement: Placement;
  /** Borrowed work, stopped for the guarantee of this team. */
  reclaimedForTeam?: Team;
}

export interface VictimSet {
  victims: Victim[];
  cost: number;
}

/** What was found for a group on a machine, as of the machine's version then. */
export interface CachedVictimSet {
  version: number;
  victimSet: VictimSet | null;
}

export interface Nomination extends VictimSet {
  candidate: CandidateMachine;
}

/** The cycle's time, on both clocks: due times are counted from submissions. */
export interface CycleTime {
  now: MonotonicTime;
  wallTime: WallTime;
}

/** About what a stop delays a task: saving, waiting for a place, and often a fetch. */
const STOP_DELAYS_S = 20;
/** Seconds of lost work that it is worth at the most to let a job be in time. */
const WORTH_IN_TIME_S = 10;

const ranS = ({ placement }: Victim, now: MonotonicTime): number =>
  placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;

/** Rises as the time left beyond the task's own run shrinks; nothing for a job that is late whatever happens. */
const deadlineLossS = (victim: Victim, { now, wallTime }: CycleTime): number => {
  const { dueAt, spec } = victim.job;
  if (dueAt === null) return 0;
  const dueInS = (dueAt - wallTime) / 1000;
  const slackS = dueInS - Math.max(spec.estimateS - ranS(victim, now), 0);
  return slackS < 0 ? 0 : WORTH_IN_TIME_S * Math.min(1, STOP_DELAYS_S / Math.max(slackS, 1));
};

/** Seconds of work that stopping loses, with lower priorities well before higher ones. */
const lossOf = (victim: Victim, time: CycleTime): number => {
  const { checkpointS, saveS } = victim.job.spec;
  const ran = ranS(victim, time.now);
  const lost = checkpointS > 0 ? Math.min(ran, saveS) : ran;
  return lost + deadlineLossS(victim, time) + 1000 * priorityRank[victim.job.priority];
};

interface Candidate extends Victim {
  loss: number;
}

/** Takes candidates in the order of what they lose until the task fits; null where all of them are too few. */
const leastLoss = (job: Job, room: Resources, candidates: Candidate[], take: (c: Candidate) => boolean) => {
  candidates.sort((a, b) => a.loss - b.loss);
  const victims: Victim[] = [];
  let cost = 0;
  for (const candidate of candidates) {
    if (!take(candidate)) continue;
    victims.push(candidate);
    cost += candidate.loss + 1;
    addResources(room, candidate.job.spec);
    if (fits(job.spec, room)) return { victims, cost };
  }
  return null;
};

/** The least lower-priority work whose stopping makes room here; null where none does. */
export const lowerPriorityVictims = (
  job: Job,
  slot: CandidateMachine,
  whom: (victim: Victim) => boolean,
  time: CycleTime,
): VictimSet | null => {
  const room = { ...slot.free };
  addResources(room, slot.releasing);
  if (fits(job.spec, room)) return { victims: [], cost: 0 };
  const rank = priorityRank[job.priority];
  // Most machines hold too little that may be stopped: told by sums, without looking at their tasks.
  const most = slot.preemptibleBelow[rank];
  if (!most) return null;
  addResources(room, most);
  if (!fits(job.spec, room)) return null;
  addResources(room, most, -1);
  const candidates: Candidate[] = [];
  for (const c of slot.machine.placements.values()) {
    if (priorityRank[c.job.priority] >= rank) continue;
    if (c.placement.unpreemptible || c.placement.stop || !whom(c)) continue;
    candidates.push({ ...c, loss: lossOf(c, time) });
  }
  return leastLoss(job, room, candidates, () => true);
};

/**
 * The least borrowed work of other teams, of any priority, whose stopping makes room here for a job within its team's
 * guarantee. A gang counts with all of its members, and no team falls below what it is guaranteed itself.
 */
export const reclaimVictims = (
  job: Job,
  slot: CandidateMachine,
  whom: (victim: Victim) => boolean,
  accounts: GuaranteeAccounting,
  time: CycleTime,
): VictimSet | null => {
  const room = { ...slot.free };
  addResources(room, slot.releasing);
  if (fits(job.spec, room)) return { victims: [], cost: 0 };
  const candidates: Candidate[] = [];
  for (const { job: other, placement } of slot.machine.placements.values()) {
    const victim = { job: other, placement, reclaimedForTeam: job.spec.team };
    if (other.spec.team === job.spec.team || placement.unpreemptible || placement.stop || !whom(victim))
      continue;
    candidates.push({
      ...victim,
      loss: lossOf(victim, time) * Math.max(1, accounts.tasksStoppedWith(other)),
    });
  }
  const counted: Victim[] = [];
  const take = (candidate: Candidate): boolean => {
    if (!accounts.isReclaimable(candidate)) return false;
    accounts.recordVictims([candidate]);
    counted.push(candidate);
    return true;
  };
  const found = leastLoss(job, room, candidates, take);
  // Only nominated where the placement is complete.
  accounts.withdrawVictims(counted);
  return found;
};
