/** Gang scheduling: all members are placed in one cycle or none is, with or without victims. */
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { Zone } from '../units.js';
import { estimatedFetchS, type CandidateMachine } from './candidate-machine.js';
import type { CandidateSelection } from './candidate-selection.js';
import type { Nomination, Victim } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import { checkpointsWithin, MIN_FETCH_TO_PREEMPT_S, type Preemption } from './preemption.js';
import type { Snapshot } from './snapshot.js';

/** Machines for all members of a gang, none of which needs victims. */
export interface GangPlan {
  candidates: CandidateMachine[];
  /** The worst score of a member's machine. */
  cost: number;
  /** Expected seconds of the longest fetch: the gang starts with its slowest member. */
  longestFetchS: number;
}

/** Fetches up to this share of the plan's longest one are accepted beside machines that have the image. */
const MAX_FETCH_FRACTION = 0.5;

/** Chooses a place for the next member, given the zones of those chosen before. */
type ChooseMember = (zones: ZoneCounts) => Nomination | null;

const withoutVictims = (candidate: CandidateMachine): Nomination => ({ candidate, victims: [], cost: 0 });

/** Plans the placements of gangs in one cycle. */
export class GangPlanning {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly selection: CandidateSelection,
    private readonly preemption: Preemption,
  ) {}

  /** The zones to try one by one; null: any zone for any member. */
  zonesFor(job: Job): (Zone | null)[] {
    if (!job.spec.oneZone) return [null];
    return [...new Set(this.snapshot.candidates.map((candidate) => candidate.machine.info.zone))];
  }

  /** The cheapest placement of all members on machines with enough capacity. */
  plan(job: Job, tasks: number, zones: (Zone | null)[]): GangPlan | null {
    let best: GangPlan | null = null;
    for (const zone of zones) {
      const plan = this.planIn(job, tasks, zone);
      if (plan && (best === null || plan.cost < best.cost)) best = plan;
    }
    return best;
  }

  /** Victims for the members that no machine has capacity for; null if not all members get a place. */
  nominateVictims(job: Job, tasks: number, zones: (Zone | null)[]): Victim[] | null {
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      return free ? withoutVictims(free) : this.preemption.nominateVictims(job, counts, zone);
    });
  }

  /**
   * An urgent gang starts with its slowest member: rather than wait for a long fetch it takes the place of lower-priority
   * array work that can save, on machines that have the image, for all members whose own machine lacks it.
   */
  nominateWithImage(
    job: Job,
    tasks: number,
    { longestFetchS }: GangPlan,
    zones: (Zone | null)[],
  ): Victim[] | null {
    if (longestFetchS < MIN_FETCH_TO_PREEMPT_S || priorityRank[job.priority] < priorityRank.high) return null;
    const maxWaitS = longestFetchS * MAX_FETCH_FRACTION;
    const mayStop = (victim: Victim): boolean => checkpointsWithin(victim, maxWaitS);
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      if (free && estimatedFetchS(job.spec, free) <= maxWaitS) return withoutVictims(free);
      return this.preemption.nominateWithImage(job, counts, mayStop, zone);
    });
  }

  private planIn(job: Job, tasks: number, zone: Zone | null): GangPlan | null {
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
    // Only a plan so far. What failed with a part of the gang allocated need not fail for others.
    for (const candidate of chosen) this.snapshot.deallocate(job, candidate);
    if (chosen.length > 0 && chosen.length < tasks) this.forgetUnschedulable(job, zone);
    return chosen.length === tasks ? { candidates: chosen, cost, longestFetchS } : null;
  }

  private firstComplete(
    job: Job,
    tasks: number,
    zones: (Zone | null)[],
    chooseIn: (zone: Zone | null) => ChooseMember,
  ): Victim[] | null {
    for (const zone of zones) {
      const victims = this.reserveAll(job, tasks, zone, chooseIn(zone));
      if (victims) return victims;
    }
    return null;
  }

  /** All members get a place, chosen one after the other, or no victim is nominated. */
  private reserveAll(job: Job, tasks: number, zone: Zone | null, choose: ChooseMember): Victim[] | null {
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

  /** Counts the zones of the members chosen so far; a gang of one zone is tried zone by zone instead. */
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
