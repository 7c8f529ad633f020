/**
 * The scheduling cycle: one frozen snapshot, whole groups, assumed placements, and victims that are nominated and stopped
 * only after a complete placement (docs/design.md).
 */
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineTypeName, Zone } from '../units.js';
import type { CandidateMachine } from './candidate-machine.js';
import { CandidateSelection } from './candidate-selection.js';
import { CapacityReservations } from './capacity-reservations.js';
import { DelayScheduling } from './delay-scheduling.js';
import { GangPlanning, type GangPlan } from './gang-planning.js';
import type { Nomination, Victim } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import { Preemption } from './preemption.js';
import { Snapshot, type SnapshotInput } from './snapshot.js';

/** A task placed in this cycle, on a machine of the snapshot. */
export interface AssumedPlacement {
  job: Job;
  index: number;
  machine: Machine;
}

/** What the leader is to carry out after a cycle. */
export interface CycleResult {
  placed: AssumedPlacement[];
  victims: Victim[];
  /** Jobs with tasks left over, in queue order: the demand that scale-out serves. */
  unplaced: { job: Job; tasks: number }[];
  /** Jobs that this cycle did not get to. */
  unprocessed: Job[];
  /** How many times a machine was evaluated: what the cycle cost. */
  machineEvaluations: number;
}

/** What a cycle works on, and its bounds. */
export interface CycleInput extends SnapshotInput {
  /** Tasks considered for each array or service in one cycle: bounds the time a cycle takes. */
  maxTasksPerJob: number;
  /** Machine evaluations in one cycle, over all jobs, after which no further job is begun. */
  maxMachineEvaluations: number;
  /** How badly a machine type suits a task, against how badly it suits the others; about -2 to 2. */
  typePenalty: (spec: JobSpec, type: MachineTypeName) => number;
}

/** Runs one scheduling cycle; of its input it changes only the jobs' wait reasons and reserved machines. */
export const runSchedulingCycle = (input: CycleInput): CycleResult => new Cycle(input).run();

class Cycle {
  private readonly snapshot: Snapshot;
  private readonly selection: CandidateSelection;
  private readonly preemption: Preemption;
  private readonly delays: DelayScheduling;
  private readonly gangs: GangPlanning;
  private readonly reservations: CapacityReservations;
  private readonly result: CycleResult = {
    placed: [],
    victims: [],
    unplaced: [],
    unprocessed: [],
    machineEvaluations: 0,
  };

  constructor(private readonly input: CycleInput) {
    this.snapshot = new Snapshot(input);
    this.selection = new CandidateSelection(this.snapshot, input.typePenalty);
    this.preemption = new Preemption(this.snapshot);
    this.delays = new DelayScheduling(this.snapshot, this.preemption);
    this.gangs = new GangPlanning(this.snapshot, this.selection, this.preemption);
    this.reservations = new CapacityReservations(this.snapshot);
  }

  /** Places the queue's jobs in their order. */
  run(): CycleResult {
    for (const job of this.input.queue) {
      // A cycle is bounded; the remaining queue is placed in the next one, on a snapshot of its own.
      if (this.snapshot.machineEvaluations < this.input.maxMachineEvaluations) this.placeJob(job);
      else this.result.unprocessed.push(job);
    }
    this.result.machineEvaluations = this.snapshot.machineEvaluations;
    return this.result;
  }

  private placeJob(job: Job): void {
    const isGang = job.spec.kind === 'gang';
    const pending = job.firstPending(isGang ? job.spec.tasks : this.input.maxTasksPerJob);
    if (pending.length === 0) return;
    if (isGang) this.placeGang(job, pending);
    else this.placeEach(job, pending);
  }

  /** Arrays and services: every task is a group of its own with a minimum count of one. */
  private placeEach(job: Job, pending: number[]): void {
    const zones = this.snapshot.zonesOf(job);
    for (const [i, index] of pending.entries()) {
      if (!this.snapshot.teamAllows(job, 1)) {
        job.waitReason = { why: 'team limit' };
        return; // not counted as unplaced: more machines would not help
      }
      if (this.placeTask(job, index, zones)) continue;
      job.waitReason = { why: 'no machine with room' };
      this.result.unplaced.push({ job, tasks: job.pendingCount - i });
      return;
    }
  }

  /** Places a task, or has it wait for something certain; false: there is nothing that it could wait for. */
  private placeTask(job: Job, index: number, zones: ZoneCounts): boolean {
    const candidate = this.selection.best(job, zones);
    if (!candidate) {
      const nomination = this.preemption.nominateVictims(job, zones);
      if (nomination) this.awaitVictims(job, nomination, zones);
      return nomination !== null;
    }
    const withImage = this.delays.nominateWithImage(job, candidate, zones);
    if (withImage) this.awaitVictims(job, withImage, zones);
    else if (!this.isDelayed(job, candidate, zones)) this.assume(job, index, candidate, zones);
    return true;
  }

  private isDelayed(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    return (
      this.delays.awaitsMachineWithImage(job, candidate, zones) ||
      this.delays.awaitsBootingMachine(job, candidate, zones)
    );
  }

  private awaitVictims(job: Job, { candidate, victims }: Nomination, zones: ZoneCounts): void {
    this.snapshot.reserveWithVictims(job, candidate, victims, zones);
    this.stopVictims(job, victims);
  }

  private stopVictims(job: Job, victims: Victim[]): void {
    this.result.victims.push(...victims);
    job.waitReason = { why: 'waiting for victims', victims: victims.length };
  }

  /** Gangs: all tasks or none, in one zone if the job says so. */
  private placeGang(job: Job, pending: number[]): void {
    if (job.placements.size > 0) {
      job.waitReason = { why: 'old attempt not gone' };
      return;
    }
    const tasks = pending.length;
    if (!this.snapshot.teamAllows(job, tasks)) {
      job.waitReason = { why: 'team limit' };
      return;
    }
    const zones = this.gangs.zonesFor(job);
    const plan = this.gangs.plan(job, tasks, zones);
    const victims = plan
      ? this.gangs.nominateWithImage(job, tasks, plan, zones)
      : this.gangs.nominateVictims(job, tasks, zones);
    if (victims) this.stopVictims(job, victims);
    else if (plan) this.startGang(job, pending, plan);
    else this.rejectGang(job, tasks, zones);
  }

  private startGang(job: Job, pending: number[], { candidates }: GangPlan): void {
    const only = candidates.length === 1 ? candidates[0] : null;
    if (only && this.delays.awaitsMachineWithImage(job, only, new Map())) return;
    for (const [i, candidate] of candidates.entries()) this.assume(job, pending[i], candidate, new Map());
  }

  private rejectGang(job: Job, tasks: number, zones: (Zone | null)[]): void {
    if (job.starving) this.reservations.reserveFor(job, tasks, zones);
    job.waitReason = { why: 'no machine with room' };
    this.result.unplaced.push({ job, tasks });
  }

  private assume(job: Job, index: number, candidate: CandidateMachine, zones: ZoneCounts): void {
    const { image, imageGb } = job.spec;
    this.snapshot.assumeTask(job, candidate, zones);
    candidate.isEmpty = false;
    if (!candidate.machine.hasImage(image)) candidate.fetchingImagesGb.set(image, imageGb);
    this.result.placed.push({ job, index, machine: candidate.machine });
  }
}
