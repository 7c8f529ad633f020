/** Gang scheduling: all members of a gang are placed in the same cycle, with or without victims, or none is. */
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { Zone } from '../units.js';
import { estimatedFetchS, type CandidateMachine } from './candidate-machine.js';
import type { CandidateSelection } from './candidate-selection.js';
import type { Nomination, Victim } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import { checkpointsWithin, MIN_FETCH_TO_PREEMPT_S, type Preemption } from './preemption.js';
import type { Snapshot } from './snapshot.js';

/** A placement of all members of a gang on free capacity, without victims. */
export interface GangPlan {
  candidates: CandidateMachine[];
  /** The highest, that is worst, score among the members' machines. */
  cost: number;
  /** Expected seconds of the longest image fetch, which delays the start of the whole gang. */
  longestFetchS: number;
}

/**
 * Victims are stopped to avoid a long fetch only if each member then waits at most this fraction of it, for its own
 * fetch or for its victims to save.
 */
const MAX_WAIT_FRACTION = 0.5;

/** Selects the machine for the next member, given the zones of the members placed so far. */
type ChooseMember = (zones: ZoneCounts) => Nomination | null;

const nominationWithoutVictims = (candidate: CandidateMachine): Nomination => ({
  candidate,
  victims: [],
  cost: 0,
});

/** Plans the placements of gangs in one cycle. */
export class GangPlanning {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly selection: CandidateSelection,
    private readonly preemption: Preemption,
  ) {}

  /** The zones to try in turn; null stands for any zone, which may differ between members. */
  zonesFor(job: Job): (Zone | null)[] {
    if (!job.spec.oneZone) return [null];
    return [...new Set(this.snapshot.candidates.map((candidate) => candidate.machine.info.zone))];
  }

  /** The placement of all members on free capacity with the lowest cost; null if not all of them fit. */
  plan(job: Job, tasks: number, zones: (Zone | null)[]): GangPlan | null {
    let best: GangPlan | null = null;
    for (const zone of zones) {
      const plan = this.planInZone(job, tasks, zone);
      if (plan && (best === null || plan.cost < best.cost)) best = plan;
    }
    return best;
  }

  /** Nominates victims for the members that fit on no machine; null, without victims, if not all can be placed. */
  nominateVictims(job: Job, tasks: number, zones: (Zone | null)[]): Victim[] | null {
    return this.firstCompletePlacement(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      return free ? nominationWithoutVictims(free) : this.preemption.nominateVictims(job, counts, zone);
    });
  }

  /**
   * Nominates victims so that an urgent gang doesn't wait for a long fetch. Members are placed on free machines where
   * their fetch is short, and otherwise on machines that have the image, in place of lower-priority array tasks that
   * save quickly. Returns null unless all members can be placed that way.
   */
  nominateWithImage(
    job: Job,
    tasks: number,
    { longestFetchS }: GangPlan,
    zones: (Zone | null)[],
  ): Victim[] | null {
    if (longestFetchS < MIN_FETCH_TO_PREEMPT_S || priorityRank[job.priority] < priorityRank.high) return null;
    const maxWaitS = longestFetchS * MAX_WAIT_FRACTION;
    const mayStop = (victim: Victim): boolean => checkpointsWithin(victim, maxWaitS);
    return this.firstCompletePlacement(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      if (free && estimatedFetchS(job.spec, free) <= maxWaitS) return nominationWithoutVictims(free);
      return this.preemption.nominateWithImage(job, counts, mayStop, zone);
    });
  }

  private planInZone(job: Job, tasks: number, zone: Zone | null): GangPlan | null {
    const chosen: CandidateMachine[] = [];
    const counts: ZoneCounts = new Map();
    let cost = 0;
    let longestFetchS = 0;
    for (let i = 0; i < tasks; i++) {
      const candidate = this.selection.best(job, counts, zone);
      if (!candidate) break;
      cost = Math.max(cost, this.selection.score(job.spec, candidate));
      longestFetchS = Math.max(longestFetchS, estimatedFetchS(job.spec, candidate));
      this.snapshot.allocate(job, candidate);
      this.countForSpread(job, candidate, counts);
      chosen.push(candidate);
    }
    // The allocations were tentative. A task that failed to fit beside part of the gang may fit without it.
    for (const candidate of chosen) this.snapshot.deallocate(job, candidate);
    if (chosen.length > 0 && chosen.length < tasks) this.forgetUnschedulable(job, zone);
    return chosen.length === tasks ? { candidates: chosen, cost, longestFetchS } : null;
  }

  private firstCompletePlacement(
    job: Job,
    tasks: number,
    zones: (Zone | null)[],
    chooserForZone: (zone: Zone | null) => ChooseMember,
  ): Victim[] | null {
    for (const zone of zones) {
      const victims = this.reserveAllMembers(job, tasks, zone, chooserForZone(zone));
      if (victims) return victims;
    }
    return null;
  }

  /** Reserves machines for all members and returns the victims; otherwise reverts everything and returns null. */
  private reserveAllMembers(
    job: Job,
    tasks: number,
    zone: Zone | null,
    choose: ChooseMember,
  ): Victim[] | null {
    const victims: Victim[] = [];
    const reserved: CandidateMachine[] = [];
    const counts: ZoneCounts = new Map();
    while (reserved.length < tasks) {
      const nomination = choose(counts);
      if (!nomination) break;
      victims.push(...nomination.victims);
      this.snapshot.reserveWithVictims(job, nomination.candidate, nomination.victims, new Map());
      this.countForSpread(job, nomination.candidate, counts);
      reserved.push(nomination.candidate);
    }
    if (reserved.length === tasks) return victims;
    for (const candidate of reserved) this.snapshot.forgetTask(job, candidate);
    this.snapshot.withdrawVictims(victims);
    if (reserved.length > 0) this.forgetUnschedulable(job, zone);
    return null;
  }

  /** Counts the member's zone if the gang must be spread. One-zone gangs are planned per zone instead. */
  private countForSpread(job: Job, candidate: CandidateMachine, counts: ZoneCounts): void {
    if (!job.spec.spread) return;
    const { zone } = candidate.machine.info;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }

  private forgetUnschedulable(job: Job, zone: Zone | null): void {
    this.selection.forgetUnschedulable(job, zone);
    this.preemption.forgetUnschedulable(job, zone);
  }
}
