// Gangs: all members are placed in one cycle or none is, with or without victims.
import type { Job } from '../job.js';
import { priorityRank } from '../types.js';
import type { Zone } from '../units.js';
import { MIN_FETCH_TO_PREEMPT_S } from './delay-scheduling.js';
import { checkpointsWithin, type Preemption } from './preemption.js';
import type { CandidateSelection } from './candidate-selection.js';
import { estimatedFetchS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot, ZoneCounts } from './snapshot.js';
import type { Nomination, Victim } from './victims.js';

export interface GangPlan {
  candidates: CandidateMachine[];
  cost: number;
  /** Expected seconds of the longest fetch: the gang starts with its slowest member. */
  longestFetchS: number;
}

type ChooseMember = (zones: ZoneCounts) => Nomination | null;

export class GangPlanning {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly selection: CandidateSelection,
    private readonly preemption: Preemption,
  ) {}

  /** The zones to try one by one; null: any zone for any member. */
  zonesFor(job: Job): (Zone | null)[] {
    if (!job.spec.oneZone) return [null];
    return [...new Set(this.snapshot.candidates.map((slot) => slot.machine.info.zone))];
  }

  /** The cheapest placement of all members on machines with room. */
  plan(job: Job, tasks: number, zones: (Zone | null)[]): GangPlan | null {
    let best: GangPlan | null = null;
    for (const zone of zones) {
      const plan = this.planIn(job, tasks, zone);
      if (plan && (best === null || plan.cost < best.cost)) best = plan;
    }
    return best;
  }

  /** Victims for the members that find no room; null if not all members find a place so. */
  nominateVictims(job: Job, tasks: number, zones: (Zone | null)[]): Victim[] | null {
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      return free
        ? { candidate: free, victims: [], cost: 0 }
        : this.preemption.nominateVictims(job, counts, zone);
    });
  }

  /**
   * An urgent gang starts with its slowest member: rather than wait for a long fetch it takes the place of lower array
   * work that can save, on machines that have the image, for all members whose own machine is cold.
   */
  nominateWithImage(
    job: Job,
    tasks: number,
    { longestFetchS }: GangPlan,
    zones: (Zone | null)[],
  ): Victim[] | null {
    if (longestFetchS < MIN_FETCH_TO_PREEMPT_S || priorityRank[job.priority] < priorityRank.high) return null;
    const whom = (victim: Victim): boolean => checkpointsWithin(victim, longestFetchS / 2);
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      if (free && estimatedFetchS(job.spec, free) <= longestFetchS / 2)
        return { candidate: free, victims: [], cost: 0 };
      return this.preemption.nominateWithImage(job, counts, whom, zone);
    });
  }

  private planIn(job: Job, tasks: number, zone: Zone | null): GangPlan | null {
    const chosen: CandidateMachine[] = [];
    const counts: ZoneCounts = new Map();
    let cost = 0;
    let coldS = 0;
    for (let i = 0; i < tasks; i++) {
      const slot = this.selection.best(job, counts, zone);
      if (!slot) break;
      cost = Math.max(cost, this.selection.score(job.spec, slot));
      coldS = Math.max(coldS, estimatedFetchS(job.spec, slot));
      this.snapshot.allocate(job, slot);
      this.countSpread(job, slot, counts);
      chosen.push(slot);
    }
    // Only a plan so far. What was refused with a part of the gang assumed isn't refused to others.
    for (const slot of chosen) this.snapshot.deallocate(job, slot);
    if (chosen.length > 0 && chosen.length < tasks) this.forgetRefusals(job, zone);
    return chosen.length === tasks ? { candidates: chosen, cost, longestFetchS: coldS } : null;
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

  /** All members find a place, chosen one after the other, or nobody is stopped. */
  private reserveAll(job: Job, tasks: number, zone: Zone | null, choose: ChooseMember): Victim[] | null {
    const victims: Victim[] = [];
    const reserved: CandidateMachine[] = [];
    const counts: ZoneCounts = new Map();
    while (reserved.length < tasks) {
      const found = choose(counts);
      if (!found) break;
      victims.push(...found.victims);
      this.snapshot.reserveWithVictims(job, found.candidate, found.victims, new Map());
      this.countSpread(job, found.candidate, counts);
      reserved.push(found.candidate);
    }
    if (reserved.length === tasks) return victims;
    // Not complete: the nominations are taken back.
    for (const slot of reserved) this.snapshot.forgetTask(job, slot);
    this.snapshot.withdrawVictims(victims);
    if (reserved.length > 0) this.forgetRefusals(job, zone);
    return null;
  }

  /** Zones of the members chosen so far; a gang of one zone is tried zone by zone instead. */
  private countSpread(job: Job, slot: CandidateMachine, counts: ZoneCounts): void {
    if (!job.spec.spread) return;
    const { zone } = slot.machine.info;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }

  private forgetRefusals(job: Job, zone: Zone | null): void {
    this.selection.forgetUnschedulable(job, zone);
    this.preemption.forgetUnschedulable(job, zone);
  }
}
