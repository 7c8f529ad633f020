/**
 * The snapshot of the cluster that one scheduling cycle works on: free capacity of machines and resource usage of
 * teams, updated with the placements that the cycle decides.
 */
import { addResources, fits, noResources, type Resources } from '../resources.js';
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import { priorityRank, type Priority } from '../job-spec.js';
import type { TeamQuota } from '../team-quota.js';
import type { MachineId, Team, WallTime, Zone } from '../units.js';
import { createCandidate, type CandidateInput, type CandidateMachine } from './candidate-machine.js';
import { GuaranteeAccounting } from './guarantee-accounting.js';
import type { Victim } from './nomination.js';
import { mayRunOn, withinTeamLimit, zoneAllowsOneMore, type ZoneCounts } from './placement-constraints.js';
import type { CycleTime } from './victim-selection.js';

/** The state from which a snapshot is taken. */
export interface SnapshotInput extends CandidateInput {
  machines: Map<MachineId, Machine>;
  /** Jobs to place, in scheduling order. */
  queue: Job[];
  /** All jobs that have placed tasks, and possibly others. */
  jobs: Iterable<Job>;
  wallTime: WallTime;
  /** Resources allocated to the tasks of each team. */
  usage: Map<Team, Resources>;
  quotas: Map<Team, TeamQuota>;
}

/** For each resource, the smallest amount that a task of any queued job requires. */
const smallestDemand = (queue: Job[]): Resources => {
  const smallest = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
  for (const { spec } of queue) {
    smallest.cpus = Math.min(smallest.cpus, spec.cpus);
    smallest.gpus = Math.min(smallest.gpus, spec.gpus);
    smallest.memoryGb = Math.min(smallest.memoryGb, spec.memoryGb);
  }
  return smallest;
};

/** A snapshot of the cluster, with the cycle's own decisions applied to it. */
export class Snapshot {
  readonly time: CycleTime;
  readonly guaranteeAccounting: GuaranteeAccounting;
  /** Machines that are up and schedulable. */
  readonly candidates: CandidateMachine[] = [];
  readonly bootingCandidates: CandidateMachine[] = [];
  /** Machines with capacity for the smallest queued task: the only ones for a placement without victims. */
  readonly candidatesWithCapacity: CandidateMachine[] = [];
  /** Number of machine evaluations so far, which measures the cost of the cycle. */
  machineEvaluations = 0;
  private readonly candidatesById = new Map<MachineId, CandidateMachine>();
  private readonly usage = new Map<Team, Resources>();
  private readonly nominated = new Set<Placement>();
  /** Cached results of `preemptionCandidates`, by priority rank. */
  private preemptionCandidatesByRank: (CandidateMachine[] | null)[] = [];

  constructor(private readonly input: SnapshotInput) {
    this.time = { now: input.now, wallTime: input.wallTime };
    this.guaranteeAccounting = new GuaranteeAccounting(input.quotas, input.usage, input.jobs);
    for (const machine of input.machines.values()) this.addMachine(machine);
    for (const [team, used] of input.usage) this.usage.set(team, { ...used });
    // Free capacity only shrinks within a cycle: a machine that is full now stays so for placements without victims.
    const smallest = smallestDemand(input.queue);
    for (const candidate of this.candidates)
      if (fits(smallest, candidate.free)) this.candidatesWithCapacity.push(candidate);
  }

  private addMachine(machine: Machine): void {
    const candidate = createCandidate(machine, this.input);
    if (!candidate) return;
    if (!machine.up) {
      this.bootingCandidates.push(candidate);
      return;
    }
    this.candidates.push(candidate);
    this.candidatesById.set(machine.id, candidate);
  }

  /** The number of the job's placed tasks in each zone, including tasks that are stopping. */
  zonesOf(job: Job): ZoneCounts {
    const zones: ZoneCounts = new Map();
    for (const placement of job.placements.values()) {
      const zone = this.input.machines.get(placement.machine)?.info.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  /**
   * Whether all constraints except capacity permit one more task of the job on the machine. `zones` counts the job's
   * other tasks; `onlyZone`, unless it is null, is the only zone considered.
   */
  allows(job: Job, candidate: CandidateMachine, zones: ZoneCounts, onlyZone: Zone | null): boolean {
    const { info } = candidate.machine;
    const { spec } = job;
    if (candidate.reservedFor !== null && candidate.reservedFor !== job) return false;
    if (onlyZone !== null && info.zone !== onlyZone) return false;
    if (!mayRunOn(spec, info.type, info.zone, info.spot)) return false;
    if (job.errorMachines.has(info.id)) return false;
    return zoneAllowsOneMore(spec, info.zone, zones);
  }

  /** Whether the job's team stays within its limit with this number of additional tasks of the job. */
  teamAllows(job: Job, tasks: number): boolean {
    const { cpus, gpus, memoryGb } = job.spec;
    const additional = { cpus: cpus * tasks, gpus: gpus * tasks, memoryGb: memoryGb * tasks };
    return withinTeamLimit(additional, this.usage.get(job.spec.team), this.input.quotas.get(job.spec.team));
  }

  /** Records a task as placed, whether it can start at once or must wait for its victims to stop. */
  assumeTask(job: Job, candidate: CandidateMachine, zones: ZoneCounts): void {
    this.allocate(job, candidate);
    const used = this.usage.get(job.spec.team) ?? noResources();
    addResources(used, job.spec);
    this.usage.set(job.spec.team, used);
    const { zone } = candidate.machine.info;
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  /** Reverts `assumeTask`, except for the zone counts. */
  forgetTask(job: Job, candidate: CandidateMachine): void {
    this.deallocate(job, candidate);
    addResources(this.usage.get(job.spec.team)!, job.spec, -1);
  }

  /** Subtracts a task's resources from the machine, but not from the team's quota; also used for tentative plans. */
  allocate(job: Job, candidate: CandidateMachine): void {
    addResources(candidate.free, job.spec, -1);
    candidate.version++;
  }

  /** Reverts `allocate`. */
  deallocate(job: Job, candidate: CandidateMachine): void {
    addResources(candidate.free, job.spec);
    candidate.version++;
  }

  /** Records a task as placed on capacity that victims will release, so that no later job in the queue can take it. */
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

  /** Reverts the nomination of victims for a placement that could not be completed. */
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

  /** Machines with tasks that are stopping, or with preemptible tasks of a lower priority. */
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
