/**
 * The scheduling cycle. It works on one snapshot of the cluster, places a gang as a whole or not at all, and nominates
 * victims only for a complete placement. The leader starts tasks and stops victims after the cycle (docs/design.md).
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

/** A placement decided in this cycle. Its task has not been started yet. */
export interface AssumedPlacement {
  job: Job;
  index: number;
  machine: Machine;
}

/** The decisions of one cycle, which the leader carries out afterwards. */
export interface CycleResult {
  placed: AssumedPlacement[];
  victims: Victim[];
  /** In queue order, jobs and their number of tasks that fit on no machine: the demand for scale-out. */
  unplaced: { job: Job; tasks: number }[];
  /** Jobs left for the next cycle because this one reached its limit of machine evaluations. */
  unprocessed: Job[];
  /** The number of machine evaluations, which measures the cost of the cycle. */
  machineEvaluations: number;
}

/** The input and the limits of a cycle. */
export interface CycleInput extends SnapshotInput {
  /** Maximum number of tasks considered for each array or service; bounds the duration of a cycle. */
  maxTasksPerJob: number;
  /** After this many machine evaluations, over all jobs, the cycle processes no further job. */
  maxMachineEvaluations: number;
  /** Penalty for placing the job on the machine type, relative to the other classes of jobs; from -2 to 2. */
  typePenalty: (spec: JobSpec, type: MachineTypeName) => number;
}

/** Runs one scheduling cycle. Of its input, it modifies only the wait reasons and the reserved machines of jobs. */
export const runSchedulingCycle = (input: CycleInput): CycleResult => new SchedulingCycle(input).run();

class SchedulingCycle {
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

  /** Processes the jobs in queue order. */
  run(): CycleResult {
    for (const job of this.input.queue) {
      // The cost of a cycle is bounded. The next cycle processes the remaining jobs on a new snapshot.
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
    else this.placeIndependentTasks(job, pending);
  }

  /** Places the tasks of an array or a service independently of one another. */
  private placeIndependentTasks(job: Job, pending: number[]): void {
    const zones = this.snapshot.zonesOf(job);
    for (const [i, index] of pending.entries()) {
      if (!this.snapshot.teamAllows(job, 1)) {
        job.waitReason = { why: 'team limit' };
        return; // not added to `unplaced`: more machines would not help
      }
      if (this.placeTask(job, index, zones)) continue;
      job.waitReason = { why: 'no machine with room' };
      this.result.unplaced.push({ job, tasks: job.pendingCount - i });
      return;
    }
  }

  /**
   * Places the task, or delays it for victims, a machine with its image or a booting machine. Returns false if none of
   * these is possible.
   */
  private placeTask(job: Job, index: number, zones: ZoneCounts): boolean {
    const candidate = this.selection.best(job, zones);
    if (!candidate) {
      const nomination = this.preemption.nominateVictims(job, zones);
      if (nomination) this.reserveWithVictims(job, nomination, zones);
      return nomination !== null;
    }
    const withImage = this.delays.nominateWithImage(job, candidate, zones);
    if (withImage) this.reserveWithVictims(job, withImage, zones);
    else if (!this.delayStart(job, candidate, zones)) this.assume(job, index, candidate, zones);
    return true;
  }

  private delayStart(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    return (
      this.delays.delayForMachineWithImage(job, candidate, zones) ||
      this.delays.delayForBootingMachine(job, candidate, zones)
    );
  }

  private reserveWithVictims(job: Job, { candidate, victims }: Nomination, zones: ZoneCounts): void {
    this.snapshot.reserveWithVictims(job, candidate, victims, zones);
    this.addVictims(job, victims);
  }

  private addVictims(job: Job, victims: Victim[]): void {
    this.result.victims.push(...victims);
    job.waitReason = { why: 'waiting for victims', victims: victims.length };
  }

  /** Places all tasks of a gang or none; in a single zone if the job requires it. */
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
    if (victims) this.addVictims(job, victims);
    else if (plan) this.assumeGang(job, pending, plan);
    else this.rejectGang(job, tasks, zones);
  }

  private assumeGang(job: Job, pending: number[], { candidates }: GangPlan): void {
    const only = candidates.length === 1 ? candidates[0] : null;
    if (only && this.delays.delayForMachineWithImage(job, only, new Map())) return;
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
