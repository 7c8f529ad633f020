// The workload scheduling cycle: one frozen snapshot, whole groups, assumed placements, victims nominated and
// stopped only after a complete placement (docs/design.md).
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import { DelayScheduling } from './delay-scheduling.js';
import { GangPlanning } from './gang-planning.js';
import { Preemption } from './preemption.js';
import { CapacityReservations } from './capacity-reservations.js';
import { CandidateSelection } from './candidate-selection.js';
import type { CandidateMachine } from './candidate-machine.js';
import { Snapshot, type SnapshotInput, type ZoneCounts } from './snapshot.js';
import type { Nomination, Victim } from './victims.js';
import type { JobSpec } from '../types.js';
import type { MachineTypeName } from '../units.js';

/** A task placed in this cycle, on a machine of the snapshot. */
export interface AssumedPlacement {
  job: Job;
  index: number;
  machine: Machine;
}

export interface CycleResult {
  placed: AssumedPlacement[];
  victims: Victim[];
  /** Jobs with tasks left over, in queue order: what scaling looks at. */
  unplaced: { job: Job; tasks: number }[];
  /** Groups that this cycle did not get to. */
  unprocessed: Job[];
  /** Machines looked at: what a cycle costs. */
  machineEvaluations: number;
}

export interface CycleInput extends SnapshotInput {
  /** Tasks considered for each array or service in one cycle: bounds the time a cycle takes. */
  maxTasksPerJob: number;
  /** Machines looked at in one cycle, over all groups. */
  maxMachineEvaluations: number;
  /** How badly a machine type suits a task, against how badly it suits the others; about -2 to 2. */
  typePenalty: (spec: JobSpec, type: MachineTypeName) => number;
}

class Cycle {
  private readonly snapshot: Snapshot;
  private readonly selection: CandidateSelection;
  private readonly preemption: Preemption;
  private readonly delays: DelayScheduling;
  private readonly gangs: GangPlanning;
  private readonly holding: CapacityReservations;
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
    this.holding = new CapacityReservations(this.snapshot);
  }

  run(): CycleResult {
    for (const job of this.input.queue) {
      // A cycle is bounded; the rest of the queue goes on in the next one, on a snapshot of its own.
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
        return; // not handed to scaling: more machines would not help
      }
      if (this.placeTask(job, index, zones)) continue;
      job.waitReason = { why: 'no machine with room' };
      this.result.unplaced.push({ job, tasks: job.pendingCount - i });
      return;
    }
  }

  /** Places a task, or has it wait for something certain; false: there is nothing that it could wait for. */
  private placeTask(job: Job, index: number, zones: ZoneCounts): boolean {
    const slot = this.selection.best(job, zones);
    if (!slot) {
      const found = this.preemption.nominateVictims(job, zones);
      if (found) this.awaitVictims(job, found, zones);
      return found !== null;
    }
    const warm = this.delays.nominateWithImage(job, slot, zones);
    if (warm) this.awaitVictims(job, warm, zones);
    else if (
      !this.delays.awaitsMachineWithImage(job, slot, zones) &&
      !this.delays.awaitsBootingMachine(job, slot, zones)
    )
      this.assume(job, index, slot, zones);
    return true;
  }

  private awaitVictims(job: Job, { candidate, victims }: Nomination, zones: ZoneCounts): void {
    this.snapshot.reserveWithVictims(job, candidate, victims, zones);
    this.stopFor(job, victims);
  }

  private stopFor(job: Job, victims: Victim[]): void {
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
    if (victims) this.stopFor(job, victims);
    else if (plan) this.startGang(job, pending, plan.candidates);
    else this.rejectGang(job, tasks, zones);
  }

  private startGang(job: Job, pending: number[], slots: CandidateMachine[]): void {
    const only = slots.length === 1 ? slots[0] : null;
    if (only && this.delays.awaitsMachineWithImage(job, only, new Map())) return;
    for (const [i, slot] of slots.entries()) this.assume(job, pending[i], slot, new Map());
  }

  private rejectGang(job: Job, tasks: number, zones: ReturnType<GangPlanning['zonesFor']>): void {
    if (job.starving) this.holding.reserveFor(job, tasks, zones);
    job.waitReason = { why: 'no machine with room' };
    this.result.unplaced.push({ job, tasks });
  }

  private assume(job: Job, index: number, slot: CandidateMachine, zones: ZoneCounts): void {
    this.snapshot.assumeTask(job, slot, zones);
    slot.isEmpty = false;
    if (!slot.machine.hasImage(job.spec.image)) slot.fetchingImagesGb.set(job.spec.image, job.spec.imageGb);
    this.result.placed.push({ job, index, machine: slot.machine });
  }
}

export const runSchedulingCycle = (input: CycleInput): CycleResult => new Cycle(input).run();
