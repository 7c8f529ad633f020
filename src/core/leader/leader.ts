/**
 * The leader: what it knows of machines and jobs, and what it wants of them. Events go in, effects come out; it does no
 * I/O and has no clock and no randomness of its own. This is its interface and the order in which its parts work.
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

/** From this many machines on, it means something when no heartbeat arrives from any of them. */
const MIN_MACHINES_TO_EXPECT_HEARTBEATS = 3;

/** One controller's leadership. */
export class Leader {
  /** The last tick had no authority. */
  private lackedAuthority = false;
  private readonly state: LeaderState;
  private readonly machinePool: MachinePool;
  private readonly failureDetector: FailureDetector;
  private readonly heartbeats: HeartbeatReconciler;
  private readonly autoscaler: Autoscaler;
  private readonly jobDependencies: JobDependencies;
  private readonly jobIntake: JobIntake;
  private readonly progressWriter: ProgressWriter;
  private readonly jobFinalizer: JobFinalizer;
  private readonly recovery: Recovery;
  private readonly scheduling: SchedulingRound;
  private readonly deadlinePredictor: DeadlinePredictor;
  private readonly directCommands: DirectCommandDispatcher;
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
    this.heartbeats = new HeartbeatReconciler(state, this.machinePool);
    this.autoscaler = new Autoscaler(state, this.machinePool);
    this.jobDependencies = new JobDependencies(state, (job, now) => this.jobIntake.onReady(job, now));
    const { autoscaler, jobDependencies, typePenalties } = this;
    const { arrivalRates } = autoscaler;
    this.jobIntake = new JobIntake({ state, jobDependencies, arrivalRates, typePenalties });
    this.progressWriter = new ProgressWriter(state);
    this.jobFinalizer = new JobFinalizer(state, jobDependencies);
    this.recovery = new Recovery(state);
    const queue = new SchedulingQueue(state);
    this.scheduling = new SchedulingRound({ state, queue, jobDependencies, autoscaler, typePenalties });
    this.deadlinePredictor = new DeadlinePredictor(state);
    this.directCommands = new DirectCommandDispatcher(state);
    this.summary = new LeaderSummary(state);
  }

  get machines(): Map<MachineId, Machine> {
    return this.state.machines;
  }

  get jobs(): Map<JobId, Job> {
    return this.state.jobs;
  }

  /** Machines that the last scheduling cycle examined: its cost. */
  get lastCycleMachineEvaluations(): number {
    return this.scheduling.lastCycleMachineEvaluations;
  }

  /** Enough machines are known to be up that it means something when no heartbeat arrives. */
  get expectsHeartbeats(): boolean {
    let up = 0;
    for (const machine of this.state.machines.values())
      if (machine.up && ++up >= MIN_MACHINES_TO_EXPECT_HEARTBEATS) return true;
    return false;
  }

  /** Whether anything has come in since the last tick that a tick could act on. */
  get hasChanges(): boolean {
    return (
      this.state.changedSinceTick ||
      this.state.needsScheduling ||
      this.state.machinesWithPendingCommands.size > 0 ||
      this.state.effects.length > 0
    );
  }

  /** Decides whatever is due. */
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
    if (this.recovery.isComplete(now)) this.scheduling.runIfDue(now, wallTime);
    this.deadlinePredictor.update(now, wallTime);
    this.machinePool.deleteDecommissioned(now);
    this.directCommands.dispatch(now);
    this.summary.logMachineUsage(now);
  }

  /**
   * While the lease is held but can't be renewed, nothing is decided. What users were told is cancelled ends all the
   * same: that is final, whoever leads next, and in an outage of the key-value store nobody has authority to wait for.
   */
  tickWithoutAuthority(now: MonotonicTime, wallTime: WallTime): void {
    this.state.changedSinceTick = false;
    this.lackedAuthority = true;
    this.failureDetector.fenceOverdueMachines(now, wallTime);
    this.machinePool.deleteOverdue(now);
    this.directCommands.dispatchCancellations(now);
  }

  /** What the runtime is to do, in order. */
  takeEffects(): Effect[] {
    return this.state.takeEffects();
  }

  /** A machine that an earlier leader registered on that page. */
  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    this.machinePool.loadMachine(info, page, now);
  }

  /** A worker's heartbeat; returns the commands for its reply. */
  onHeartbeat(heartbeat: Heartbeat, now: MonotonicTime): Command[] {
    return this.heartbeats.onHeartbeat(heartbeat, now);
  }

  /** A heartbeat that says the same as an earlier one; false: the next one is needed in full. */
  onUnchangedHeartbeat(unchanged: UnchangedHeartbeat, now: MonotonicTime): boolean {
    return this.heartbeats.onUnchangedHeartbeat(unchanged, now);
  }

  /** Needs no command and awaits nothing: its unchanged heartbeats need not be processed. */
  isInSync(id: MachineId): boolean {
    return this.state.machines.get(id)?.inSync ?? false;
  }

  /** A heartbeat that comes while we have no authority to command. */
  onHeartbeatWithoutAuthority(heartbeat: Heartbeat, now: MonotonicTime): void {
    this.heartbeats.onHeartbeatWithoutAuthority(heartbeat, now);
  }

  /** The outcome of commands that went straight to a worker. */
  onDirectCommandResult(
    id: MachineId,
    commands: Command[],
    result: DirectCommandResult,
    now: MonotonicTime,
  ): void {
    this.heartbeats.onDirectCommandResult(id, commands, result, now);
  }

  /** The cloud provider's answer to a request for machines. */
  onScaleOutResult(requestId: string, outcome: ScaleOutOutcome, now: MonotonicTime): void {
    this.autoscaler.onScaleOutResult(requestId, outcome, now);
  }

  /** The cloud provider's list of machines. */
  onMachineList(listed: ListedMachine[], now: MonotonicTime): void {
    this.machinePool.onMachineList(listed, now);
  }

  /** Whether the cloud provider has deleted the machines. */
  onDeletionResult(ids: MachineId[], ok: boolean, now: MonotonicTime): void {
    this.machinePool.onDeletionResult(ids, ok, now);
  }

  /** Whether the page of the machine registry was written. */
  onRegistryPageWritten(page: string, ok: boolean): void {
    this.machinePool.onRegistryPageWritten(page, ok);
  }

  /** Whether the job's progress was written. */
  onProgressWritten(id: JobId, segment: SegmentName, bytes: Uint8Array, ok: boolean): void {
    this.progressWriter.onProgressWritten(id, segment, bytes, ok);
  }

  /** The outcome of writing the job's final record. */
  onFinalRecordWritten(id: JobId, outcome: FinalRecordOutcome, now: MonotonicTime): void {
    this.jobFinalizer.onFinalRecordWritten(id, outcome, now);
  }

  /** The final record of a job that others depend on was read; null: there is none, or no answer came. */
  onFinalRecordRead(id: JobId, final: FinalState | null, now: MonotonicTime): void {
    this.jobDependencies.onFinalRecordRead(id, final, now);
  }

  /** Which machine caches what: told to the other controllers, since heartbeats don't say it. */
  imageLocations(): ImageLocations {
    const locations: ImageLocations = {};
    for (const machine of this.state.machines.values())
      if (machine.up) locations[machine.id] = machine.cachedImages();
    return locations;
  }

  /** What the leader before us knew of the machines' caches. A wrong hint costs a fetch, nothing else. */
  loadImageLocations(locations: ImageLocations): void {
    for (const [id, images] of Object.entries(locations))
      for (const [image, imageGb] of images)
        this.state.machines.get(id as MachineId)?.recordImageUse(image, imageGb);
  }

  /** The types of machine that there are, at the start or when they change. */
  setMachineTypes(types: MachineType[]): void {
    this.state.machineTypes = types;
    this.typePenalties.setTypes(types);
    for (const machine of this.state.machines.values())
      machine.type = types.find(({ name }) => name === machine.info.type) ?? machine.type;
  }

  /** A job's record as the key-value store has it, from the first load or from the watch. */
  applyJobRecord(update: JobRecordUpdate, now: MonotonicTime, wallTime: WallTime): void {
    this.jobIntake.applyRecord(update, now, wallTime);
  }

  /** A controller has told its user that the job is cancelled; its record may reach us much later. */
  applyCancellation(id: JobId, now: MonotonicTime): void {
    this.jobIntake.applyCancellation(id, now);
  }

  /** Completions that the key-value store holds, read at the start or in place of a refused write. */
  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    this.progressWriter.loadProgress(id, segment, bytes);
  }

  /** For the status page. */
  status(): Record<string, unknown> {
    return this.summary.status();
  }
}
