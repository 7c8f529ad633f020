// The frozen snapshot that one cycle works on: machines with their free room, what teams use, and what has been
// assumed on them in this cycle.
import { addResources, fits } from '../resources.js';
import { type Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import { priorityRank, type Resources, type Priority, type TeamQuota } from '../types.js';
import type { MachineId, Team, WallTime, Zone } from '../units.js';
import { GuaranteeAccounting } from './guarantees.js';
import { mayRunOn, withinTeamLimit } from './placement-constraints.js';
import { candidateOf, type CandidateMachine, type CandidateInput } from './candidate-machine.js';
import type { CycleTime, Victim } from './victims.js';

export type ZoneCounts = Map<Zone, number>;

export interface SnapshotInput extends CandidateInput {
  machines: Map<MachineId, Machine>;
  queue: Job[];
  /** All that have tasks placed. */
  jobs: Iterable<Job>;
  wallTime: WallTime;
  usage: Map<Team, Resources>;
  quotas: Map<Team, TeamQuota>;
}

const noAmounts = (): Resources => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** The least that any waiting task takes of each kind. */
const smallestNeed = (queue: Job[]): Resources => {
  const least = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { spec } of queue) {
    least.cpus = Math.min(least.cpus, spec.cpus);
    least.gpus = Math.min(least.gpus, spec.gpus);
    least.memoryGb = Math.min(least.memoryGb, spec.memoryGb);
  }
  return least;
};

export class Snapshot {
  readonly time: CycleTime;
  readonly guaranteeAccounting: GuaranteeAccounting;
  /** Machines that are up and take new tasks. */
  readonly candidates: CandidateMachine[] = [];
  readonly bootingCandidates: CandidateMachine[] = [];
  /** Machines with room for the smallest waiting task: all that a placement without victims can go to. */
  readonly candidatesWithCapacity: CandidateMachine[] = [];
  /** Machines looked at so far: what the cycle costs. */
  machineEvaluations = 0;
  private readonly byId = new Map<MachineId, CandidateMachine>();
  private readonly usage = new Map<Team, Resources>();
  private readonly stopping = new Set<Placement>();
  /** By priority: machines where something is leaving or may be stopped. */
  private stoppable: (CandidateMachine[] | null)[] = [];

  constructor(private readonly input: SnapshotInput) {
    this.time = { now: input.now, wallTime: input.wallTime };
    this.guaranteeAccounting = new GuaranteeAccounting(input.quotas, input.usage, input.jobs);
    for (const machine of input.machines.values()) this.addMachine(machine);
    for (const [team, used] of input.usage) this.usage.set(team, { ...used });
    // Room only shrinks within a cycle, so what is full now is not looked at again.
    const least = smallestNeed(input.queue);
    for (const slot of this.candidates) if (fits(least, slot.free)) this.candidatesWithCapacity.push(slot);
  }

  private addMachine(machine: Machine): void {
    const slot = candidateOf(machine, this.input);
    if (!slot) return;
    if (!machine.up) {
      this.bootingCandidates.push(slot);
      return;
    }
    this.candidates.push(slot);
    this.byId.set(machine.id, slot);
  }

  /** In which zones the job's tasks are, counting those that are still leaving. */
  zonesOf(job: Job): ZoneCounts {
    const zones: ZoneCounts = new Map();
    for (const placement of job.placements.values()) {
      const zone = this.input.machines.get(placement.machine)?.info.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  /** The filter, but for room: whether the job's next task may run there, given the zones of its others. */
  allows(job: Job, slot: CandidateMachine, zones: ZoneCounts, onlyZone: Zone | null): boolean {
    const { info } = slot.machine;
    const { spec } = job;
    if (slot.reservedFor !== null && slot.reservedFor !== job) return false;
    if (onlyZone !== null && info.zone !== onlyZone) return false;
    if (!mayRunOn(spec, info.type, info.zone, info.spot)) return false;
    if (job.errorMachines.has(info.id)) return false;
    if (spec.oneZone && zones.size > 0 && !zones.has(info.zone)) return false;
    return !spec.spread || (zones.get(info.zone) ?? 0) < Math.ceil(spec.tasks / 2);
  }

  /** Whether so many tasks more keep the job's team within its limit. */
  teamAllows(job: Job, tasks: number): boolean {
    const { cpus, gpus, memoryGb } = job.spec;
    const need = { cpus: cpus * tasks, gpus: gpus * tasks, memoryGb: memoryGb * tasks };
    return withinTeamLimit(need, this.usage.get(job.spec.team), this.input.quotas.get(job.spec.team));
  }

  /** Takes a task's room, for a placement or for one that waits for its victims. */
  assumeTask(job: Job, slot: CandidateMachine, zones: ZoneCounts): void {
    this.allocate(job, slot);
    const used = this.usage.get(job.spec.team) ?? noAmounts();
    addResources(used, job.spec);
    this.usage.set(job.spec.team, used);
    const { zone } = slot.machine.info;
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  /** Undoes `take`. */
  forgetTask(job: Job, slot: CandidateMachine): void {
    this.deallocate(job, slot);
    addResources(this.usage.get(job.spec.team)!, job.spec, -1);
  }

  /** Only the room, while a plan is tried. */
  allocate(job: Job, slot: CandidateMachine): void {
    addResources(slot.free, job.spec, -1);
    slot.version++;
  }

  deallocate(job: Job, slot: CandidateMachine): void {
    addResources(slot.free, job.spec);
    slot.version++;
  }

  /** Holds the room that the victims will leave for this job, so that nobody behind it in the queue takes it. */
  reserveWithVictims(job: Job, slot: CandidateMachine, victims: Victim[], zones: ZoneCounts): void {
    for (const victim of victims) {
      this.stopping.add(victim.placement);
      addResources(slot.releasing, victim.job.spec);
      slot.version++;
    }
    this.guaranteeAccounting.recordVictims(victims);
    if (victims.length > 0 && !slot.hasStoppingTasks) {
      slot.hasStoppingTasks = true;
      this.stoppable = []; // where nothing could leave before
    }
    this.assumeTask(job, slot, zones);
  }

  /** The placement was not complete: its victims stay. */
  withdrawVictims(victims: Victim[]): void {
    this.guaranteeAccounting.withdrawVictims(victims);
    for (const { job, placement } of victims) {
      this.stopping.delete(placement);
      const slot = this.byId.get(placement.machine)!;
      addResources(slot.releasing, job.spec, -1);
      slot.version++;
    }
  }

  isStopping(placement: Placement): boolean {
    return this.stopping.has(placement);
  }

  /** Machines where something is leaving, or where work of lower priority may be stopped. */
  preemptionCandidates(priority: Priority): CandidateMachine[] {
    const rank = priorityRank[priority];
    let slots = this.stoppable[rank];
    if (!slots) {
      this.machineEvaluations += this.candidates.length;
      slots = this.candidates.filter((slot) => slot.hasStoppingTasks || slot.preemptibleBelow[rank]);
      this.stoppable[rank] = slots;
    }
    return slots;
  }
}
