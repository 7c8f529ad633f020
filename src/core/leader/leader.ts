/**
 * The leader: keeps the state of all machines and jobs, and decides which task runs where. Its input is events, its
 * output is effects: it performs no I/O and receives the time and random numbers from its caller. This module defines
 * its interface and the order in which its parts run.
 */
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import { TypePenalties } from '../scheduler/type-penalties.js';
import type { Leadership } from '../election.js';
import type { Heartbeat, UnchangedHeartbeat } from '../heartbeat.js';
import type { FinalState } from '../job-spec.js';
import type { ListedMachine, MachineInfo, MachineType } from '../machine-info.js';
import type { Command } from '../worker-command.js';
import type { JobId, MachineId, SegmentName, MonotonicTime, WallTime } from '../units.js';
import { Autoscaler } from './autoscaler.js';
import { DeadlinePredictor } from './deadline-predictor.js';
import { DirectCommandDispatcher } from './direct-command-dispatcher.js';
import type {
  DirectCommandResult,
  Effect,
  FinalRecordOutcome,
  ImageLocations,
  LeaderSettings,
  ScaleOutOutcome,
} from './effects.js';
import { FailureDetector } from './failure-detector.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import { JobDependencies } from './job-dependencies.js';
import { JobFinalizer } from './job-finalizer.js';
import { JobIntake, type JobRecordUpdate } from './job-intake.js';
import { LeaderState } from './leader-state.js';
import { LeaderSummary } from './leader-summary.js';
import { MachinePool } from './machine-pool.js';
import { ProgressWriter } from './progress-writer.js';
import { Recovery } from './recovery.js';
import { SchedulingQueue } from './scheduling-queue.js';
import { SchedulingRound } from './scheduling-round.js';

export type { Effect, FinalRecordOutcome, ImageLocations, LeaderSettings } from './effects.js';

/** With at least this many machines up, the absence of all heartbeats indicates a fault, and the leader resigns. */
const MIN_MACHINES_TO_EXPECT_HEARTBEATS = 3;

/** The leader of one term. */
export class Leader {
  /** Whether the previous tick ran without authority, i.e. without a lease that is certainly valid. */
  private lackedAuthority = false;
  private readonly state: LeaderState;
  private readonly machinePool: MachinePool;
  private readonly failureDetector: FailureDetector;
  private readonly heartbeatReconciler: HeartbeatReconciler;
  private readonly autoscaler: Autoscaler;
  private readonly jobDependencies: JobDependencies;
  private readonly jobIntake: JobIntake;
  private readonly progressWriter: ProgressWriter;
  private readonly jobFinalizer: JobFinalizer;
  private readonly recovery: Recovery;
  private readonly schedulingRound: SchedulingRound;
  private readonly deadlinePredictor: DeadlinePredictor;
  private readonly directCommandDispatcher: DirectCommandDispatcher;
  private readonly summary: LeaderSummary;
  private readonly typePenalties = new TypePenalties();

  constructor(
    readonly leadership: Leadership,
    settings: LeaderSettings,
    startedAt: MonotonicTime,
  ) {
    const state = new LeaderState(leadership, settings, startedAt);
    this.state = state;
    this.machinePool = new MachinePool(state);
    this.failureDetector = new FailureDetector(state, this.machinePool);
    this.heartbeatReconciler = new HeartbeatReconciler(state, this.machinePool);
    this.autoscaler = new Autoscaler(state, this.machinePool);
    this.jobDependencies = new JobDependencies(state, (job, now) => this.jobIntake.onReady(job, now));
    const { autoscaler, jobDependencies, typePenalties } = this;
    const { arrivalRates } = autoscaler;
    this.jobIntake = new JobIntake({ state, jobDependencies, arrivalRates, typePenalties });
    this.progressWriter = new ProgressWriter(state);
    this.jobFinalizer = new JobFinalizer(state, jobDependencies);
    this.recovery = new Recovery(state);
    const queue = new SchedulingQueue(state);
    this.schedulingRound = new SchedulingRound({ state, queue, jobDependencies, autoscaler, typePenalties });
    this.deadlinePredictor = new DeadlinePredictor(state);
    this.directCommandDispatcher = new DirectCommandDispatcher(state);
    this.summary = new LeaderSummary(state);
  }

  get machines(): Map<MachineId, Machine> {
    return this.state.machines;
  }

  get jobs(): Map<JobId, Job> {
    return this.state.jobs;
  }

  /** Number of machine evaluations in the last scheduling cycle, a measure of its cost. */
  get lastCycleMachineEvaluations(): number {
    return this.schedulingRound.lastCycleMachineEvaluations;
  }

  /** Whether enough machines are up that the absence of all heartbeats indicates a fault. */
  get expectsHeartbeats(): boolean {
    let up = 0;
    for (const machine of this.state.machines.values())
      if (machine.up && ++up >= MIN_MACHINES_TO_EXPECT_HEARTBEATS) return true;
    return false;
  }

  /** Whether an event since the last tick may call for a decision. */
  get hasChanges(): boolean {
    return (
      this.state.changedSinceTick ||
      this.state.needsScheduling ||
      this.state.machinesWithPendingCommands.size > 0 ||
      this.state.effects.length > 0
    );
  }

  /** Makes all decisions that are due; their effects are returned by `takeEffects`. */
  tick(now: MonotonicTime, wallTime: WallTime): void {
    this.state.changedSinceTick = false;
    if (this.lackedAuthority) this.failureDetector.restartTimeouts(now);
    this.lackedAuthority = false;
    this.machinePool.registerMachines(now);
    this.failureDetector.detectFailures(now, wallTime);
    this.machinePool.fenceFailedBoots(now);
    this.jobFinalizer.finishJobs();
    this.progressWriter.writeIfDue(now);
    for (const job of this.jobDependencies.startDueLookups(now))
      this.state.effects.push({ kind: 'read-final-record', job });
    if (this.recovery.isComplete(now)) this.schedulingRound.runIfDue(now, wallTime);
    this.deadlinePredictor.update(now, wallTime);
    this.machinePool.deleteDecommissioned(now);
    this.directCommandDispatcher.dispatch(now);
    this.summary.logMachineUsage(now);
  }

  /**
   * Tick of a leader whose lease may have expired. It makes no decisions, but still ends cancelled jobs: a confirmed
   * cancellation is final under every leader, and during an outage of the key-value store no controller has authority.
   */
  tickWithoutAuthority(now: MonotonicTime, wallTime: WallTime): void {
    this.state.changedSinceTick = false;
    this.lackedAuthority = true;
    this.failureDetector.fenceOverdueMachines(now, wallTime);
    this.machinePool.deleteOverdue(now);
    this.directCommandDispatcher.dispatchCancellations(now);
  }

  /** Returns and clears the effects that the runtime must execute, in order. */
  takeEffects(): Effect[] {
    return this.state.takeEffects();
  }

  /** Loads a machine that an earlier leader registered on this page of the machine registry. */
  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    this.machinePool.loadMachine(info, page, now);
  }

  /** Processes a worker's heartbeat and returns the commands for the reply. */
  onHeartbeat(heartbeat: Heartbeat, now: MonotonicTime): Command[] {
    return this.heartbeatReconciler.onHeartbeat(heartbeat, now);
  }

  /**
   * Processes a heartbeat with the same content as an earlier one. Returns false if the next heartbeat must be sent in
   * full.
   */
  onUnchangedHeartbeat(unchanged: UnchangedHeartbeat, now: MonotonicTime): boolean {
    return this.heartbeatReconciler.onUnchangedHeartbeat(unchanged, now);
  }

  /** Whether the machine has no pending command or change, so that its unchanged heartbeats need no processing. */
  isInSync(id: MachineId): boolean {
    return this.state.machines.get(id)?.inSync ?? false;
  }

  /** Records a heartbeat without replying with commands, for a leader without authority. */
  onHeartbeatWithoutAuthority(heartbeat: Heartbeat, now: MonotonicTime): void {
    this.heartbeatReconciler.onHeartbeatWithoutAuthority(heartbeat, now);
  }

  /** Handles the result of commands sent directly to a worker's endpoint. */
  onDirectCommandResult(
    id: MachineId,
    commands: Command[],
    result: DirectCommandResult,
    now: MonotonicTime,
  ): void {
    this.heartbeatReconciler.onDirectCommandResult(id, commands, result, now);
  }

  /** Handles the cloud provider's response to a scale-out request. */
  onScaleOutResult(requestId: string, outcome: ScaleOutOutcome, now: MonotonicTime): void {
    this.autoscaler.onScaleOutResult(requestId, outcome, now);
  }

  /** Handles the cloud provider's list of machines. */
  onMachineList(listed: ListedMachine[], now: MonotonicTime): void {
    this.machinePool.onMachineList(listed, now);
  }

  /** Handles the result of a deletion request; `ok` if the cloud provider has deleted the machines. */
  onDeletionResult(ids: MachineId[], ok: boolean, now: MonotonicTime): void {
    this.machinePool.onDeletionResult(ids, ok, now);
  }

  /** Handles the result of writing a page of the machine registry. */
  onRegistryPageWritten(page: string, ok: boolean): void {
    this.machinePool.onRegistryPageWritten(page, ok);
  }

  /** Handles the result of writing a segment of a job's progress. */
  onProgressWritten(id: JobId, segment: SegmentName, bytes: Uint8Array, ok: boolean): void {
    this.progressWriter.onProgressWritten(id, segment, bytes, ok);
  }

  /** Handles the result of writing a job's final record. */
  onFinalRecordWritten(id: JobId, outcome: FinalRecordOutcome, now: MonotonicTime): void {
    this.jobFinalizer.onFinalRecordWritten(id, outcome, now);
  }

  /** Handles the final record of a dependency; null if there is none or the key-value store did not respond. */
  onFinalRecordRead(id: JobId, final: FinalState | null, now: MonotonicTime): void {
    this.jobDependencies.onFinalRecordRead(id, final, now);
  }

  /**
   * Images cached on each machine. Sent to the other controllers, because heartbeats do not contain the cached images.
   */
  imageLocations(): ImageLocations {
    const locations: ImageLocations = {};
    for (const machine of this.state.machines.values())
      if (machine.up) locations[machine.id] = machine.cachedImages();
    return locations;
  }

  /** Loads the previous leader's image locations. A wrong location only costs an image fetch. */
  loadImageLocations(locations: ImageLocations): void {
    for (const [id, images] of Object.entries(locations))
      for (const [image, imageGb] of images)
        this.state.machines.get(id as MachineId)?.recordImageUse(image, imageGb);
  }

  /** Sets the available machine types, at the start and whenever they change. */
  setMachineTypes(types: MachineType[]): void {
    this.state.machineTypes = types;
    this.typePenalties.setTypes(types);
    for (const machine of this.state.machines.values())
      machine.type = types.find(({ name }) => name === machine.info.type) ?? machine.type;
  }

  /** Applies a job's record from the key-value store, received at the initial load or through the watch. */
  applyJobRecord(update: JobRecordUpdate, now: MonotonicTime, wallTime: WallTime): void {
    this.jobIntake.applyRecord(update, now, wallTime);
  }

  /** Applies a cancellation that a controller has confirmed to its user. The job's record may arrive much later. */
  applyCancellation(id: JobId, now: MonotonicTime): void {
    this.jobIntake.applyCancellation(id, now);
  }

  /** Loads completions stored in the key-value store, read at the start or after a write conflict. */
  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    this.progressWriter.loadProgress(id, segment, bytes);
  }

  /** Returns the leader's part of the status page. */
  status(): Record<string, unknown> {
    return this.summary.status();
  }
}
