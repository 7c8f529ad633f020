// Gangs: all members are placed in one cycle or none is, with or without victims.
import type { Job } from '../job.js';
import { priorityRank } from '../types.js';
import type { Zone } from '../units.js';
import { WORTH_PREEMPTING_S } from './delays.js';
import { savesWithin, type Preemption } from './preemption.js';
import type { Selection } from './selection.js';
import { fetchS, type MachineSlot } from './slot.js';
import type { Snapshot, ZoneCounts } from './snapshot.js';
import type { Nomination, Victim } from './victims.js';

export interface GangPlan {
  slots: MachineSlot[];
  cost: number;
  /** Expected seconds of the longest fetch: the gang starts with its slowest member. */
  coldS: number;
}

type ChooseMember = (zones: ZoneCounts) => Nomination | null;

export class GangPlanning {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly selection: Selection,
    private readonly preemption: Preemption,
  ) {}

  /** The zones to try one by one; null: any zone for any member. */
  zonesFor(job: Job): (Zone | null)[] {
    if (!job.spec.oneZone) return [null];
    return [...new Set(this.snapshot.slots.map((slot) => slot.machine.info.zone))];
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
  preempt(job: Job, tasks: number, zones: (Zone | null)[]): Victim[] | null {
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      return free ? { slot: free, list: [], cost: 0 } : this.preemption.nominateAny(job, counts, zone);
    });
  }

  /**
   * An urgent gang starts with its slowest member: rather than wait for a long fetch it takes the place of lower array
   * work that can save, on machines that have the image, for all members whose own machine is cold.
   */
  preemptOnWarm(job: Job, tasks: number, { coldS }: GangPlan, zones: (Zone | null)[]): Victim[] | null {
    if (coldS < WORTH_PREEMPTING_S || priorityRank[job.priority] < priorityRank.high) return null;
    const whom = (victim: Victim): boolean => savesWithin(victim, coldS / 2);
    return this.firstComplete(job, tasks, zones, (zone) => (counts) => {
      const free = this.selection.best(job, counts, zone);
      if (free && fetchS(job.spec, free) <= coldS / 2) return { slot: free, list: [], cost: 0 };
      return this.preemption.nominateWarm(job, counts, whom, zone);
    });
  }

  private planIn(job: Job, tasks: number, zone: Zone | null): GangPlan | null {
    const chosen: MachineSlot[] = [];
    const counts: ZoneCounts = new Map();
    let cost = 0;
    let coldS = 0;
    for (let i = 0; i < tasks; i++) {
      const slot = this.selection.best(job, counts, zone);
      if (!slot) break;
      cost = Math.max(cost, this.selection.score(job.spec, slot));
      coldS = Math.max(coldS, fetchS(job.spec, slot));
      this.snapshot.takeRoom(job, slot);
      this.countSpread(job, slot, counts);
      chosen.push(slot);
    }
    // Only a plan so far. What was refused with a part of the gang assumed isn't refused to others.
    for (const slot of chosen) this.snapshot.leaveRoom(job, slot);
    if (chosen.length > 0 && chosen.length < tasks) this.forgetRefusals(job, zone);
    return chosen.length === tasks ? { slots: chosen, cost, coldS } : null;
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
    const reserved: MachineSlot[] = [];
    const counts: ZoneCounts = new Map();
    while (reserved.length < tasks) {
      const found = choose(counts);
      if (!found) break;
      victims.push(...found.list);
      this.snapshot.reserve(job, found.slot, found.list, new Map());
      this.countSpread(job, found.slot, counts);
      reserved.push(found.slot);
    }
    if (reserved.length === tasks) return victims;
    // Not complete: the nominations are taken back.
    for (const slot of reserved) this.snapshot.untake(job, slot);
    this.snapshot.spare(victims);
    if (reserved.length > 0) this.forgetRefusals(job, zone);
    return null;
  }

  /** Zones of the members chosen so far; a gang of one zone is tried zone by zone instead. */
  private countSpread(job: Job, slot: MachineSlot, counts: ZoneCounts): void {
    if (!job.spec.spread) return;
    const { zone } = slot.machine.info;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }

  private forgetRefusals(job: Job, zone: Zone | null): void {
    this.selection.forgetRefusals(job, zone);
    this.preemption.forgetRefusals(job, zone);
  }
}
