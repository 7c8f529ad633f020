// The workload scheduling cycle: one frozen snapshot, whole groups, assumed placements, victims nominated and
// stopped only after a complete placement (docs/design.md).
import { add, fits, type Machine } from './cluster.js';
import type { Job, Placement } from './job.js';
import { mayRunOn, signature, withinLimit } from './scheduler/rules.js';
import { Ranking, fetchS, freeIn, slotOf, type Slot } from './scheduler/slot.js';
import { victimsOn, type Found, type Nomination, type Victim, type Victims } from './scheduler/victims.js';
import { priorityRank, type Amounts, type JobSpec, type TeamLimits } from './types.js';
import type { JobId, MachineId, Steady, Team, TypeName, Zone } from './units.js';

export interface Assumed {
  job: Job;
  index: number;
  machine: Machine;
}

export interface CycleResult {
  placed: Assumed[];
  victims: Victim[];
  /** Jobs with tasks left over, in queue order: what scaling looks at. */
  unplaced: { job: Job; tasks: number }[];
  /** Groups that this cycle did not get to. */
  unfinished: Job[];
  /** Machines looked at: what a cycle costs. */
  work: number;
}

export interface CycleInput {
  machines: Map<MachineId, Machine>;
  queue: Job[];
  specOf: (job: JobId) => Amounts | null;
  usage: Map<Team, Amounts>;
  teams: Map<Team, TeamLimits>;
  now: Steady;
  silentMs: number;
  /** Tasks considered for each array or service in one cycle: bounds the time a cycle takes. */
  maxTasks: number;
  /** Machines looked at in one cycle, over all groups. */
  maxWork: number;
  /** How badly a machine type suits a task, against how badly it suits the others; about -2 to 2. */
  suits: (spec: JobSpec, type: TypeName) => number;
}

const anybody = (): boolean => true;

/** Array work that leaves soon and goes on elsewhere from where it was. */
const savesWithin = ({ job: { spec } }: Victim, seconds: number): boolean =>
  spec.kind === 'array' && spec.checkpointS > 0 && spec.saveS < seconds;

interface GangPlan {
  slots: Slot[];
  cost: number;
  /** Expected seconds of the longest fetch: the gang starts with its slowest member. */
  coldS: number;
}

const MAX_HOLDS = 8;
const EMPTY: Map<Zone, number> = new Map();
const OPEN_EMPTY_S = 8;
const SUITS_S = 10;
const WORTH_WAITING_S = 15;
const WORTH_PREEMPTING_S = 12;
const WAIT_SHARE = 0.7;
const SLOWS_OTHERS = 0.3;
const ORDINARY_FOR_SPOT_S = 8;

const zonesOf = (job: Job, machines: Map<MachineId, Machine>): Map<Zone, number> => {
  const zones = new Map<Zone, number>();
  for (const p of job.placements.values()) {
    const zone = machines.get(p.machine)?.info.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

class Cycle {
  private readonly slots: Slot[] = [];
  private readonly booting: Slot[] = [];
  private readonly byId = new Map<MachineId, Slot>();
  private readonly usage = new Map<Team, Amounts>();
  /** Signatures that fit nowhere, or for which no victims can be found: room only shrinks within a cycle. */
  private readonly noRoom = new Set<string>();
  private readonly noVictims = new Set<string>();
  /** Machines with any room left, by what of them a signature may use. */
  private readonly ranked = new Map<Job, Ranking>();
  private readonly signatures = new Map<Job, string>();
  private readonly suitsMemo = new Map<JobSpec, Map<TypeName, number>>();
  private holds = 0;
  private work = 0;
  private readonly stopping = new Set<Placement>();
  private nominated: { job: Job; bySlot: Map<Slot, Found> } | null = null;
  /** Machines with room for the smallest waiting task: all that a placement without victims can go to. */
  private readonly open: Slot[] = [];
  /** By priority: machines where something is leaving or may be stopped. */
  private stoppable: (Slot[] | null)[] = [];
  readonly result: CycleResult = { placed: [], victims: [], unplaced: [], unfinished: [], work: 0 };

  constructor(private readonly input: CycleInput) {
    for (const m of input.machines.values()) this.add(m);
    for (const [team, used] of input.usage) this.usage.set(team, { ...used });
    // Room only shrinks within a cycle, so what is full now is not looked at again.
    const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
    for (const { spec } of input.queue) {
      least.cpus = Math.min(least.cpus, spec.cpus);
      least.gpus = Math.min(least.gpus, spec.gpus);
      least.memoryGb = Math.min(least.memoryGb, spec.memoryGb);
    }
    for (const slot of this.slots) if (fits(least, slot.free)) this.open.push(slot);
  }

  run(): CycleResult {
    for (const job of this.input.queue) {
      // A cycle is bounded; the rest of the queue goes on in the next one, on a snapshot of its own.
      if (this.work < this.input.maxWork) this.placeJob(job);
      else this.result.unfinished.push(job);
    }
    this.result.work = this.work;
    return this.result;
  }

  private add(m: Machine): void {
    const slot = slotOf(m, this.input);
    if (!slot) return;
    if (!m.up) {
      this.booting.push(slot);
      return;
    }
    this.slots.push(slot);
    this.byId.set(m.id, slot);
  }

  private placeJob(job: Job): void {
    const wanted = job.spec.kind === 'gang' ? job.spec.tasks : this.input.maxTasks;
    const pending = job.pending(wanted);
    if (pending.length === 0) return;
    if (job.spec.kind === 'gang') this.placeGang(job, pending);
    else this.placeEach(job, pending);
  }

  /** Arrays and services: every task is a group of its own with a minimum count of one. */
  private placeEach(job: Job, pending: number[]): void {
    const zones = zonesOf(job, this.input.machines);
    for (let i = 0; i < pending.length; i++) {
      if (!this.teamAllows(job, 1)) {
        job.reason = { why: 'team limit' };
        return; // not handed to scaling: more machines would not help
      }
      const slot = this.best(job, zones);
      if (slot) {
        if (this.warmVictims(job, slot, zones)) continue;
        if (this.betterWait(job, slot, zones)) continue;
        if (this.betterBoot(job, slot, zones)) continue;

        this.assume(job, pending[i]!, slot, zones);
        continue;
      }
      const victims = this.nominate(job, zones);
      if (victims) {
        this.result.victims.push(...victims.list);
        this.reserve(job, victims.slot, victims.list, zones);
        job.reason = { why: 'waiting for victims', victims: victims.list.length };
        continue;
      }
      job.reason = { why: 'no machine with room' };
      this.result.unplaced.push({ job, tasks: job.pendingCount - i });
      return;
    }
  }

  /** Gangs: all tasks or none, in one zone if the job says so. */
  private placeGang(job: Job, pending: number[]): void {
    if (job.placements.size > 0) {
      job.reason = { why: 'old attempt not gone' };
      return;
    }
    if (!this.teamAllows(job, pending.length)) {
      job.reason = { why: 'team limit' };
      return;
    }
    const zones: (Zone | null)[] = job.spec.oneZone
      ? [...new Set(this.slots.map((s) => s.machine.info.zone))]
      : [null];
    let bestPlan: GangPlan | null = null;
    for (const zone of zones) {
      const plan = this.planGang(job, pending.length, zone);
      if (plan && (bestPlan === null || plan.cost < bestPlan.cost)) bestPlan = plan;
    }
    if (bestPlan) {
      if (this.preemptForWarmGang(job, pending.length, bestPlan, zones)) return;
      const only = pending.length === 1 ? bestPlan.slots[0]! : null;
      if (only && this.betterWait(job, only, new Map())) return;
      bestPlan.slots.forEach((slot, i) => this.assume(job, pending[i]!, slot, new Map()));
      return;
    }
    for (const zone of zones) {
      const choose = (): Nomination | null => this.freeOrNominated(job, zone);
      if (this.preemptForGang(job, pending.length, zone, choose)) return;
    }
    if (job.first) this.hold(job, pending.length, zones);
    job.reason = { why: 'no machine with room' };
    this.result.unplaced.push({ job, tasks: pending.length });
  }

  /**
   * Room for a group that has waited long: the machines that will have it soonest are kept free of others, since
   * small groups would otherwise take each piece as it appears and the whole would never come together. Nobody is
   * stopped for it.
   */
  private hold(job: Job, tasks: number, zones: (Zone | null)[]): void {
    if (this.holds >= MAX_HOLDS) return;
    let best: { slots: Slot[]; kept: number; atS: number } | null = null;
    for (const zone of zones) {
      const ends = this.slots
        .filter((s) => this.allowed(job, s, EMPTY, zone))
        .map((slot) => ({
          slot,
          kept: job.held.has(slot.machine.id),
          atS: freeIn(job.spec, slot, this.input.now),
        }))
        .filter((e) => e.atS < Infinity)
        // Those held already first: expectations change, and what is half drained must not be given up for others.
        .sort((a, b) => Number(b.kept) - Number(a.kept) || a.atS - b.atS)
        .slice(0, tasks);
      if (ends.length < tasks) continue;
      const kept = ends.filter((e) => e.kept).length;
      const atS = Math.max(...ends.map((e) => e.atS));
      if (best === null || kept > best.kept || (kept === best.kept && atS < best.atS))
        best = { slots: ends.map((e) => e.slot), kept, atS };
    }
    job.held.clear();
    if (!best) return;
    this.holds++;
    for (const slot of best.slots) {
      job.held.add(slot.machine.id);
      slot.heldFor = job;
    }
  }

  private planGang(job: Job, tasks: number, zone: Zone | null): GangPlan | null {
    const chosen: Slot[] = [];
    let cost = 0;
    let coldS = 0;
    for (let i = 0; i < tasks; i++) {
      const slot = this.best(job, new Map(), zone);
      if (!slot) break;
      cost = Math.max(cost, this.score(job.spec, slot));
      coldS = Math.max(coldS, fetchS(job.spec, slot));
      add(slot.free, job.spec, -1);
      this.ranked.get(job)?.changed(slot);
      chosen.push(slot);
    }
    // What was found hopeless with a part of the gang assumed isn't so for others.
    if (chosen.length > 0 && chosen.length < tasks) this.forgetHopeless(job, zone);
    for (const slot of chosen) {
      add(slot.free, job.spec); // only a plan so far
      this.ranked.get(job)?.changed(slot);
    }
    return chosen.length === tasks ? { slots: chosen, cost, coldS } : null;
  }

  private freeOrNominated(job: Job, zone: Zone | null): Nomination | null {
    const free = this.best(job, EMPTY, zone);
    return free ? { slot: free, list: [], cost: 0 } : this.nominate(job, EMPTY, zone);
  }

  /**
   * An urgent gang starts with its slowest member: rather than wait for a long fetch it takes the place of lower array
   * work that can save, on machines that have the image, for all members whose own machine is cold.
   */
  private preemptForWarmGang(job: Job, tasks: number, plan: GangPlan, zones: (Zone | null)[]): boolean {
    if (plan.coldS < WORTH_PREEMPTING_S || priorityRank[job.spec.priority] < priorityRank.high) return false;
    const whom = (v: Victim): boolean => savesWithin(v, plan.coldS / 2);
    return zones.some((zone) =>
      this.preemptForGang(job, tasks, zone, () => {
        const free = this.best(job, EMPTY, zone);
        if (free && fetchS(job.spec, free) <= plan.coldS / 2) return { slot: free, list: [], cost: 0 };
        return this.nominateWarm(job, EMPTY, whom, zone);
      }),
    );
  }

  /** All members find a place, by `choose` one after the other, or nobody is stopped. */
  private preemptForGang(
    job: Job,
    tasks: number,
    zone: Zone | null,
    choose: () => Nomination | null,
  ): boolean {
    const victims: Victim[] = [];
    const reserved: Slot[] = [];
    const usedBefore = this.usage.get(job.spec.team);
    if (usedBefore) this.usage.set(job.spec.team, { ...usedBefore });
    for (let i = 0; i < tasks; i++) {
      const found = choose();
      if (!found) break;
      victims.push(...found.list);
      this.reserve(job, found.slot, found.list, new Map());
      reserved.push(found.slot);
    }
    if (reserved.length === tasks) {
      this.result.victims.push(...victims);
      job.reason = { why: 'waiting for victims', victims: victims.length };
      return true;
    }
    // Not complete: nobody is stopped. The nominations are taken back.
    for (const slot of reserved) {
      add(slot.free, job.spec);
      slot.version++;
      this.ranked.get(job)?.changed(slot);
    }
    if (reserved.length > 0) this.forgetHopeless(job, zone);
    if (usedBefore) this.usage.set(job.spec.team, usedBefore);
    else this.usage.delete(job.spec.team);
    for (const v of victims) {
      this.stopping.delete(v.placement);
      const slot = this.byId.get(v.placement.machine)!;
      add(slot.releasing, v.job.spec, -1);
      slot.version++;
    }
    return false;
  }

  private forgetHopeless(job: Job, zone: Zone | null): void {
    const sig = this.signature(job);
    for (const key of [sig, `${sig}|${zone}`]) {
      this.noRoom.delete(key);
      this.noVictims.delete(key);
    }
  }

  private signature(job: Job): string {
    let sig = this.signatures.get(job);
    if (sig === undefined) this.signatures.set(job, (sig = signature(job.spec)));
    return sig;
  }

  private suits(spec: JobSpec, type: TypeName): number {
    let byType = this.suitsMemo.get(spec);
    if (!byType) this.suitsMemo.set(spec, (byType = new Map()));
    let penalty = byType.get(type);
    if (penalty === undefined) byType.set(type, (penalty = this.input.suits(spec, type)));
    return penalty;
  }

  private allowed(job: Job, slot: Slot, zones: Map<Zone, number>, only: Zone | null): boolean {
    const { info } = slot.machine;
    const spec = job.spec;
    if (slot.heldFor !== null && slot.heldFor !== job) return false;
    if (only !== null && info.zone !== only) return false;
    if (!mayRunOn(spec, info.type, info.zone, info.spot)) return false;
    if (job.errorMachines.has(info.id)) return false;
    if (spec.oneZone && zones.size > 0 && !zones.has(info.zone)) return false;
    return !spec.spread || (zones.get(info.zone) ?? 0) < Math.ceil(spec.tasks / 2);
  }

  private best(job: Job, zones: Map<Zone, number>, only: Zone | null = null): Slot | null {
    const sig = this.signature(job);
    if (this.noRoom.has(sig) || (only !== null && this.noRoom.has(`${sig}|${only}`))) return null;
    let ranking = this.ranked.get(job);
    if (!ranking) {
      this.work += this.open.length;
      const slots = this.open.filter((s) => fits(job.spec, s.free) && this.allowed(job, s, EMPTY, null));
      if (slots.length === 0 && job.errorMachines.size === 0) this.noRoom.add(sig);
      ranking = new Ranking(slots, (s) => this.score(job.spec, s));
      this.ranked.clear(); // another group was placed in between: its scores are out of date
      this.ranked.set(job, ranking);
    }
    this.work += ranking.size;
    const best = ranking.best((s) => fits(job.spec, s.free) && this.allowed(job, s, zones, only));
    if (!best && this.zonesDontMatter(job, zones) && job.errorMachines.size === 0) {
      this.noRoom.add(only === null ? sig : `${sig}|${only}`);
    }
    return best;
  }

  /** Rather than a second fetch beside a running one: a machine that is about to be up, and fetches this alone. */
  private betterBoot(job: Job, slot: Slot, zones: Map<Zone, number>): boolean {
    const { spec } = job;
    if (slot.machine.hasImage(spec.image) || slot.fetching.has(spec.image) || slot.fetching.size === 0)
      return false;
    let best: Slot | null = null;
    let bestS = fetchS(spec, slot);
    for (const boot of this.booting) {
      if (!fits(spec, boot.free) || !this.allowed(job, boot, zones, null)) continue;
      const s = boot.readyInS + fetchS(spec, boot);
      if (s >= bestS) continue;
      best = boot;
      bestS = s;
    }
    if (!best) return false;
    add(best.free, spec, -1);
    best.fetching.set(spec.image, spec.imageGb);
    job.reason = { why: 'machines booting' };
    return true;
  }

  /**
   * For live work, a long fetch on a free machine loses against a machine that has the image and holds work of lower
   * priority which can save: that leaves within seconds, and goes on elsewhere from where it was.
   */
  private warmVictims(job: Job, slot: Slot, zones: Map<Zone, number>): boolean {
    if (job.spec.kind !== 'service') return false;
    const coldS = fetchS(job.spec, slot);
    if (coldS < WORTH_PREEMPTING_S) return false;
    const found = this.nominateWarm(job, zones, (v) => savesWithin(v, coldS / 2), null);
    if (!found) return false;
    this.result.victims.push(...found.list);
    this.reserve(job, found.slot, found.list, zones);
    job.reason = { why: 'waiting for victims', victims: found.list.length };
    return true;
  }

  /**
   * A machine that has the image and is expected to be free well before a fetch elsewhere would end is worth
   * waiting for: the task starts earlier, and no machine stands idle while it fetches.
   */
  private betterWait(job: Job, slot: Slot, zones: Map<Zone, number>): boolean {
    this.work += this.slots.length;
    const coldS = fetchS(job.spec, slot);
    if (coldS < WORTH_WAITING_S || job.spec.kind === 'service') return false;
    for (const other of this.slots) {
      if (!other.machine.hasImage(job.spec.image) || !this.allowed(job, other, zones, null)) continue;
      const freeS = freeIn(job.spec, other, this.input.now);
      if (freeS > coldS * WAIT_SHARE) continue;
      add(other.promised, job.spec);
      job.reason = { why: 'waiting for a machine with its image', expectedS: Math.round(freeS) };
      return true;
    }
    return false;
  }

  /** Expected seconds until the task can start, plus what it costs to use up this machine's room. */
  private score(spec: JobSpec, slot: Slot): number {
    const type = slot.machine.type!;
    let score = fetchS(spec, slot);
    if (!slot.machine.hasImage(spec.image) && !slot.fetching.has(spec.image)) {
      score += (SLOWS_OTHERS * slot.fetching.size * spec.imageGb) / type.fetchGbPerS;
    }
    if (slot.empty) score += OPEN_EMPTY_S;
    score += SUITS_S * this.suits(spec, slot.machine.info.type);
    if (spec.spot && !slot.machine.info.spot) score += ORDINARY_FOR_SPOT_S;
    const left =
      type.gpus > 0 ? (slot.free.gpus - spec.gpus) / type.gpus : (slot.free.cpus - spec.cpus) / type.cpus;
    return score + 2 * left;
  }

  private assume(job: Job, index: number, slot: Slot, zones: Map<Zone, number>): void {
    this.take(job, slot, zones);
    slot.empty = false;
    if (!slot.machine.hasImage(job.spec.image)) slot.fetching.set(job.spec.image, job.spec.imageGb);
    this.result.placed.push({ job, index, machine: slot.machine });
  }

  private take(job: Job, slot: Slot, zones: Map<Zone, number>): void {
    add(slot.free, job.spec, -1);
    slot.version++;
    this.ranked.get(job)?.changed(slot);
    const used = this.usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    add(used, job.spec);
    this.usage.set(job.spec.team, used);
    zones.set(slot.machine.info.zone, (zones.get(slot.machine.info.zone) ?? 0) + 1);
  }

  /** Holds the room for this job within the cycle, so that nobody behind it in the queue takes it. */
  private reserve(job: Job, slot: Slot, victims: Victim[], zones: Map<Zone, number>): void {
    for (const v of victims) {
      this.stopping.add(v.placement);
      add(slot.releasing, v.job.spec);
      slot.version++;
    }
    if (victims.length > 0 && !slot.leaving) {
      slot.leaving = true;
      this.stoppable = []; // where nothing could leave before
    }
    this.take(job, slot, zones);
  }

  /** The machine where room costs the least lower-priority work; an empty list: only wait for those leaving. */
  private nominate(job: Job, zones: Map<Zone, number>, only: Zone | null = null): Nomination | null {
    const sig = this.signature(job);
    if (this.noVictims.has(sig) || (only !== null && this.noVictims.has(`${sig}|${only}`))) return null;
    const slots = this.mayYield(priorityRank[job.spec.priority]);
    this.work += slots.length;
    // Kept while like members are nominated for one after the other: each changes one machine.
    if (this.nominated?.job !== job) this.nominated = { job, bySlot: new Map() };
    const { bySlot } = this.nominated;
    let best: Nomination | null = null;
    for (const slot of slots) {
      if (!this.allowed(job, slot, zones, only)) continue;
      let found = bySlot.get(slot);
      if (found?.version !== slot.version) {
        found = { version: slot.version, victims: this.victimsOn(job, slot, anybody) };
        if (found.victims) found.victims.cost += fetchS(job.spec, slot);
        bySlot.set(slot, found);
      }
      const { victims } = found;
      if (victims && (best === null || victims.cost < best.cost)) best = { slot, ...victims };
    }
    if (!best && this.zonesDontMatter(job, zones) && job.errorMachines.size === 0) {
      this.noVictims.add(only === null ? sig : `${sig}|${only}`);
    }
    return best;
  }

  /** The same among machines that have the job's image, with only such victims as may be stopped for that. */
  private nominateWarm(
    job: Job,
    zones: Map<Zone, number>,
    whom: (victim: Victim) => boolean,
    only: Zone | null,
  ): Nomination | null {
    const slots = this.mayYield(priorityRank[job.spec.priority]);
    this.work += slots.length;
    let best: Nomination | null = null;
    for (const slot of slots) {
      if (!slot.machine.hasImage(job.spec.image) || !this.allowed(job, slot, zones, only)) continue;
      const victims = this.victimsOn(job, slot, whom);
      if (victims && (best === null || victims.cost < best.cost)) best = { slot, ...victims };
    }
    return best;
  }

  /** Where its other tasks are doesn't limit where the next one goes: a failure holds for all alike. */
  private zonesDontMatter(job: Job, zones: Map<Zone, number>): boolean {
    return zones.size === 0 || !(job.spec.spread || job.spec.oneZone);
  }

  private mayYield(rank: number): Slot[] {
    let slots = this.stoppable[rank];
    if (!slots) {
      this.work += this.slots.length;
      slots = this.slots.filter((s) => s.leaving || s.below[rank]);
      this.stoppable[rank] = slots;
    }
    return slots;
  }

  private victimsOn(job: Job, slot: Slot, whom: (victim: Victim) => boolean): Victims | null {
    this.work += slot.machine.placements.size;
    return victimsOn(job, slot, (v) => !this.stopping.has(v.placement) && whom(v), this.input.now);
  }

  private teamAllows(job: Job, tasks: number): boolean {
    const { cpus, gpus, memoryGb } = job.spec;
    const need = { cpus: cpus * tasks, gpus: gpus * tasks, memoryGb: memoryGb * tasks };
    return withinLimit(need, this.usage.get(job.spec.team), this.input.teams.get(job.spec.team));
  }
}

export const runCycle = (input: CycleInput): CycleResult => new Cycle(input).run();
