/**
 * The frozen snapshot that one cycle works on: machines with their free capacity, what teams use, and what the cycle
 * has assumed on top.
 */
import { addResources, fits, noResources, type Resources } from '../resources.js';
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import { priorityRank, type Priority } from '../job-spec.js';
import type { TeamQuota } from '../team-quota.js';
import type { MachineId, Team, WallTime, Zone } from '../units.js';
import { candidateOf, type CandidateInput, type CandidateMachine } from './candidate-machine.js';
import { GuaranteeAccounting } from './guarantee-accounting.js';
import type { Victim } from './nomination.js';
import { mayRunOn, withinTeamLimit, zoneAllowsOneMore, type ZoneCounts } from './placement-constraints.js';
import type { CycleTime } from './victim-selection.js';

/** What a snapshot is made from. */
export interface SnapshotInput extends CandidateInput {
  machines: Map<MachineId, Machine>;
  /** The jobs to place, in their order. */
  queue: Job[];
  /** All jobs that have tasks placed. */
  jobs: Iterable<Job>;
  wallTime: WallTime;
  /** What each team's placed tasks take. */
  usage: Map<Team, Resources>;
  quotas: Map<Team, TeamQuota>;
}

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

/** State of one scheduling cycle. */
export class Snapshot {
  readonly time: CycleTime;
  readonly guaranteeAccounting: GuaranteeAccounting;
  /** Machines that are up and take new tasks. */
  readonly candidates: CandidateMachine[] = [];
  readonly bootingCandidates: CandidateMachine[] = [];
  /** Machines with capacity for the smallest waiting task: all that a placement without victims can go to. */
  readonly candidatesWithCapacity: CandidateMachine[] = [];
  /** How many times a machine was evaluated so far: what the cycle costs. */
  machineEvaluations = 0;
  private readonly candidatesById = new Map<MachineId, CandidateMachine>();
  private readonly usage = new Map<Team, Resources>();
  private readonly nominated = new Set<Placement>();
  /** By priority rank: see `preemptionCandidates`. */
  private preemptionCandidatesByRank: (CandidateMachine[] | null)[] = [];

  constructor(private readonly input: SnapshotInput) {
    this.time = { now: input.now, wallTime: input.wallTime };
    this.guaranteeAccounting = new GuaranteeAccounting(input.quotas, input.usage, input.jobs);
    for (const machine of input.machines.values()) this.addMachine(machine);
    for (const [team, used] of input.usage) this.usage.set(team, { ...used });
    // Capacity only shrinks within a cycle, so a machine that is full now need not be evaluated again.
    const least = smallestNeed(input.queue);
    for (const candidate of this.candidates)
      if (fits(least, candidate.free)) this.candidatesWithCapacity.push(candidate);
  }

  private addMachine(machine: Machine): void {
    const candidate = candidateOf(machine, this.input);
    if (!candidate) return;
    if (!machine.up) {
      this.bootingCandidates.push(candidate);
      return;
    }
    this.candidates.push(candidate);
    this.candidatesById.set(machine.id, candidate);
  }

  /** In which zones the job's tasks are, counting those that are still stopping. */
  zonesOf(job: Job): ZoneCounts {
    const zones: ZoneCounts = new Map();
    for (const placement of job.placements.values()) {
      const zone = this.input.machines.get(placement.machine)?.info.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  /** The filter, but for capacity: whether the job's next task may run there, given the zones of its others. */
  allows(job: Job, candidate: CandidateMachine, zones: ZoneCounts, onlyZone: Zone | null): boolean {
    const { info } = candidate.machine;
    const { spec } = job;
    if (candidate.reservedFor !== null && candidate.reservedFor !== job) return false;
    if (onlyZone !== null && info.zone !== onlyZone) return false;
    if (!mayRunOn(spec, info.type, info.zone, info.spot)) return false;
    if (job.errorMachines.has(info.id)) return false;
    return zoneAllowsOneMore(spec, info.zone, zones);
  }

  /** Whether so many tasks more keep the job's team within its limit. */
  teamAllows(job: Job, tasks: number): boolean {
    const { cpus, gpus, memoryGb } = job.spec;
    const need = { cpus: cpus * tasks, gpus: gpus * tasks, memoryGb: memoryGb * tasks };
    return withinTeamLimit(need, this.usage.get(job.spec.team), this.input.quotas.get(job.spec.team));
  }

  /** Counts a task as placed, whether it starts at once or waits for its victims. */
  assumeTask(job: Job, candidate: CandidateMachine, zones: ZoneCounts): void {
    this.allocate(job, candidate);
    const used = this.usage.get(job.spec.team) ?? noResources();
    addResources(used, job.spec);
    this.usage.set(job.spec.team, used);
    const { zone } = candidate.machine.info;
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  /** Undoes `assumeTask`, but for the zone counts. */
  forgetTask(job: Job, candidate: CandidateMachine): void {
    this.deallocate(job, candidate);
    addResources(this.usage.get(job.spec.team)!, job.spec, -1);
  }

  /** Takes a task's share of the machine only, while a plan is tried. */
  allocate(job: Job, candidate: CandidateMachine): void {
    addResources(candidate.free, job.spec, -1);
    candidate.version++;
  }

  /** Undoes `allocate`. */
  deallocate(job: Job, candidate: CandidateMachine): void {
    addResources(candidate.free, job.spec);
    candidate.version++;
  }

  /** Reserves what the victims will release for this job, so that no job behind it in the queue takes it. */
  reserveWithVictims(job: Job, candidate: CandidateMachine, victims: Victim[], zones: ZoneCounts): void {
    for (const victim of victims) {
      this.nominated.add(victim.placement);
      addResources(candidate.releasing, victim.job.spec);
      candidate.version++;
    }
    this.guaranteeAccounting.recordVictims(victims);
    if (victims.length > 0 && !candidate.hasStoppingTasks) {
      candidate.hasStoppingTasks = true;
      this.preemptionCandidatesByRank = [];
    }
    this.assumeTask(job, candidate, zones);
  }

  /** The placement was not complete: its victims are nominated no longer. */
  withdrawVictims(victims: Victim[]): void {
    this.guaranteeAccounting.withdrawVictims(victims);
    for (const { job, placement } of victims) {
      this.nominated.delete(placement);
      const candidate = this.candidatesById.get(placement.machine)!;
      addResources(candidate.releasing, job.spec, -1);
      candidate.version++;
    }
  }

  /** Whether this cycle has nominated the task as a victim. */
  isNominated(placement: Placement): boolean {
    return this.nominated.has(placement);
  }

  /** Machines where tasks are stopping, or where work of lower priority may be preempted. */
  preemptionCandidates(priority: Priority): CandidateMachine[] {
    const rank = priorityRank[priority];
    let candidates = this.preemptionCandidatesByRank[rank];
    if (!candidates) {
      this.machineEvaluations += this.candidates.length;
      candidates = this.candidates.filter(
        (candidate) => candidate.hasStoppingTasks || candidate.preemptibleBelow[rank],
      );
      this.preemptionCandidatesByRank[rank] = candidates;
    }
    return candidates;
  }
}
