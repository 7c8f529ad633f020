// What the leader knows and wants. Events go in, effects come out; no I/O, no clock, no randomness of its own. This
// is its face and its loop; its parts are in leader/.
import type { Machine } from '../machine.js';
import { Job, newPlacement, type Placement } from '../job.js';
import { runSchedulingCycle, type AssumedPlacement } from '../scheduler/scheduling-cycle.js';
import { markWithinGuarantee } from '../scheduler/guarantees.js';
import { TypePenalties } from '../scheduler/type-penalties.js';
import type {
  Command,
  FinalState,
  JobRecord,
  Leadership,
  ListedMachine,
  MachineInfo,
  MachineType,
  Heartbeat,
  TeamQuota,
  UnchangedHeartbeat,
} from '../types.js';
import {
  attemptNumber,
  type Attempt,
  type JobId,
  type MachineId,
  type SegmentName,
  type Revision,
  type MonotonicTime,
  type Team,
  type WallTime,
} from '../units.js';
import { DirectCommandDispatcher } from './direct-command-dispatcher.js';
import { JobCompletion } from './job-completion.js';
import { JobDependencies } from './job-dependencies.js';
import type { Effect, ImageLocations, LeaderSettings } from './effects.js';
import { MachinePool } from './machine-pool.js';
import { DeadlinePredictor } from './deadline-predictor.js';
import { SchedulingQueue } from './scheduling-queue.js';
import { Autoscaler } from './autoscaler.js';
import { HeartbeatReconciler } from './heartbeat-reconciler.js';
import { FailureDetector } from './failure-detector.js';
import { LeaderState } from './leader-state.js';
import { LeaderSummary } from './leader-summary.js';

const MAX_TASKS_A_CYCLE = 40;
const BACKOFF_MS = 400;
const BACKOFF_MAX_MS = 5000;
const MIN_FLEET_HEARD = 3;

export class Leader {
  private readonly teams: Map<Team, TeamQuota>;
  private readonly typePenalties = new TypePenalties();
  /** Machines that the last cycle looked at: its cost. */
  lastCycleWork = 0;
  private attempts = 0;
  private rebuilt = false;
  /** The last tick had no authority. */
  private unauthorised = false;
  private readonly state: LeaderState;
  private readonly fleet: MachinePool;
  private readonly silence: FailureDetector;
  private readonly reports: HeartbeatReconciler;
  private readonly renting: Autoscaler;
  private readonly queue: SchedulingQueue;
  private readonly dependencies: JobDependencies;
  private readonly completion: JobCompletion;
  private readonly lateness: DeadlinePredictor;
  private readonly commands: DirectCommandDispatcher;
  private readonly summary: LeaderSummary;

  constructor(
    readonly leadership: Leadership,
    private readonly settings: LeaderSettings,
    startedAt: MonotonicTime,
  ) {
    this.state = new LeaderState(leadership, settings, startedAt);
    this.fleet = new MachinePool(this.state);
    this.silence = new FailureDetector(this.state, this.fleet);
    this.reports = new HeartbeatReconciler(this.state, this.fleet);
    this.renting = new Autoscaler(this.state, this.fleet);
    this.queue = new SchedulingQueue(this.state);
    this.dependencies = new JobDependencies(this.state, (job, now) => this.onReady(job, now));
    this.completion = new JobCompletion(this.state, this.dependencies);
    this.lateness = new DeadlinePredictor(this.state);
    this.commands = new DirectCommandDispatcher(this.state);
    this.summary = new LeaderSummary(this.state);
    this.teams = new Map(settings.teams.map((t) => [t.name, t]));
  }

  get machines(): Map<MachineId, Machine> {
    return this.state.machines;
  }

  get jobs(): Map<JobId, Job> {
    return this.state.jobs;
  }

  takeEffects(): Effect[] {
    return this.state.takeEffects();
  }

  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    this.fleet.loadMachine(info, page, now);
  }

  onHeartbeat(report: Heartbeat, now: MonotonicTime): Command[] {
    return this.reports.onHeartbeat(report, now);
  }

  onUnchangedHeartbeat(v: UnchangedHeartbeat, now: MonotonicTime): boolean {
    return this.reports.onUnchangedHeartbeat(v, now);
  }

  /** Needs no command and awaits nothing: its unchanged reports need not be read. */
  isInSync(id: MachineId): boolean {
    return this.state.machines.get(id)?.inSync ?? false;
  }

  onHeartbeatWithoutAuthority(report: Heartbeat, now: MonotonicTime): void {
    this.reports.onHeartbeatWithoutAuthority(report, now);
  }

  onDirectCommandResult(...answer: Parameters<HeartbeatReconciler['onDirectCommandResult']>): void {
    this.reports.onDirectCommandResult(...answer);
  }

  onScaleOutResult(...answer: Parameters<Autoscaler['onScaleOutResult']>): void {
    this.renting.onScaleOutResult(...answer);
  }

  onMachineList(listed: ListedMachine[], now: MonotonicTime): void {
    this.fleet.onMachineList(listed, now);
  }

  onDeletionResult(ids: MachineId[], ok: boolean, now: MonotonicTime): void {
    this.fleet.onDeletionResult(ids, ok, now);
  }

  onRegistryPageWritten(page: string, ok: boolean): void {
    this.fleet.onRegistryPageWritten(page, ok);
  }

  onProgressWritten(...outcome: Parameters<JobCompletion['onProgressWritten']>): void {
    this.completion.onProgressWritten(...outcome);
  }

  onFinalRecordWritten(...outcome: Parameters<JobCompletion['onFinalRecordWritten']>): void {
    this.completion.onFinalRecordWritten(...outcome);
  }

  /** Which machine caches what: told to the other controllers, since reports don't say it. */
  imageLocations(): ImageLocations {
    const locations: ImageLocations = {};
    for (const m of this.state.machines.values()) if (m.up) locations[m.id] = m.cachedImages();
    return locations;
  }

  /** What the leader before us knew of the machines' caches. A wrong hint costs a fetch, nothing else. */
  loadImageLocations(locations: ImageLocations): void {
    for (const [id, images] of Object.entries(locations)) {
      for (const [image, gb] of images) this.state.machines.get(id as MachineId)?.recordImageUse(image, gb);
    }
  }

  setMachineTypes(types: MachineType[]): void {
    this.state.machineTypes = types;
    this.typePenalties.setTypes(types);
    for (const m of this.state.machines.values())
      m.type = types.find((t) => t.name === m.info.type) ?? m.type;
  }

  /** A job's record as the state service has it, from the first load or from the watch. */
  applyJobRecord(
    id: JobId,
    record: JobRecord,
    stamp: Revision,
    fromEarlierLeader: boolean,
    now: MonotonicTime,
    wall: WallTime,
  ): void {
    const known = this.state.jobs.get(id);
    if (known) {
      if (stamp < known.revision) return; // an older event than what we hold
      const cancelledNow = !known.cancelled && record.cancelledAt !== null;
      known.record = record;
      known.revision = stamp;
      if (cancelledNow) this.cancelKnown(known, now);
      return;
    }
    const job = new Job(id, record, stamp, fromEarlierLeader, now);
    this.state.jobs.set(id, job);
    this.state.changedSinceTick = true;
    this.typePenalties.recordSpec(record.spec);
    // Jobs that wait for no other were ready when they were submitted.
    if (record.spec.dependsOn.length === 0) this.renting.arrivalRates.recordArrival(record, now, wall);
    this.dependencies.addJob(job, now);
    const { class: name, tasks, image, estimateS, deadlineS } = record.spec;
    this.state.log('debug', { job: id, class: name, tasks, image, estimateS, deadlineS }, 'job known');
  }

  /** A controller has told its user that it is cancelled; its record may reach us much later. */
  applyCancellation(id: JobId, now: MonotonicTime): void {
    const job = this.state.jobs.get(id);
    if (!job || job.cancellationConfirmedAt !== null) return;
    const news = !job.cancelled;
    job.cancellationConfirmedAt = now;
    if (news) this.cancelKnown(job, now);
    this.state.changedSinceTick = true;
  }

  private cancelKnown(job: Job, now: MonotonicTime): void {
    this.state.cancelJob(job, now);
    this.dependencies.cancelDependents(job.id);
  }

  /** All that the job depends on is done. */
  private onReady(job: Job, now: MonotonicTime): void {
    job.waitingSince = now;
    job.waitReason = { why: 'queued' };
    this.state.needsScheduling = true;
    if (job.spec.dependsOn.length > 0) this.renting.arrivalRates.recordTasks(job.spec, now);
  }

  /** The final record of a job that others depend on was read; null: there is none, or no answer came. */
  onFinalRecordRead(id: JobId, final: FinalState | null, now: MonotonicTime): void {
    this.dependencies.onFinalRecordRead(id, final, now);
  }

  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    this.completion.loadProgress(id, segment, bytes);
  }

  /** Enough machines are known to be up that silence from all of them means something. */
  get expectsHeartbeats(): boolean {
    let up = 0;
    for (const m of this.state.machines.values()) if (m.up && ++up >= MIN_FLEET_HEARD) return true;
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

  tick(now: MonotonicTime, wall: WallTime): void {
    this.state.changedSinceTick = false;
    if (this.unauthorised) this.silence.restartTimeouts(now);
    this.unauthorised = false;
    this.fleet.registerMachines(now);
    this.silence.detectFailures(now, wall);
    this.fleet.fenceFailedBoots(now);
    this.completion.finishJobs(now);
    for (const job of this.dependencies.takeDueLookups(now))
      this.state.effects.push({ kind: 'read-final-record', job });
    if (this.readyToPlace(now)) this.schedule(now, wall);
    this.lateness.update(now, wall);
    this.fleet.deleteDecommissioned(now);
    this.commands.dispatch(now);
    this.summary.logMachineUsage(now);
  }

  /**
   * While the lease is held but can't be renewed, nothing is decided. What users were told is cancelled ends all the
   * same: that is final, whoever leads next, and in an outage of the state service nobody has authority to wait for.
   */
  tickWithoutAuthority(now: MonotonicTime, wall: WallTime): void {
    this.state.changedSinceTick = false;
    this.unauthorised = true;
    this.silence.fenceOverdue(now, wall);
    this.fleet.deleteDecommissioned(now, true);
    this.commands.dispatchCancellations(now);
  }

  /** A new leader first hears one round of reports; silent machines hold up only what may be on them. */
  private readyToPlace(now: MonotonicTime): boolean {
    if (this.rebuilt) return true;
    const waited = now - this.state.startedAt;
    if (
      this.state.unreconciledMachines.size > 0 &&
      waited < this.settings.workers.heartbeatIntervalS * 1250 + 1500
    )
      return false;
    this.rebuilt = true;
    this.state.log(
      'info',
      {
        afterMs: Math.round(waited),
        silent: this.state.unreconciledMachines.size,
        jobs: this.state.jobs.size,
      },
      'rebuilt',
    );
    return true;
  }

  private schedule(now: MonotonicTime, wall: WallTime): void {
    if (!this.state.needsScheduling && !this.hasDue(now)) return;
    this.state.needsScheduling = false;
    this.dependencies.propagateUrgency();
    markWithinGuarantee(this.state.jobs.values(), this.teams);
    const { queue, blocked } = this.queue.buildQueue(now, wall);
    const result = runSchedulingCycle({
      machines: this.state.machines,
      queue,
      jobs: this.state.jobs.values(),
      resourcesOf: this.state.specOf,
      usage: this.queue.teamUsage(),
      quotas: this.teams,
      now,
      wallTime: wall,
      unreachableAfterMs: this.settings.workers.heartbeatIntervalS * 2500,
      maxTasksPerJob: MAX_TASKS_A_CYCLE,
      maxMachineEvaluations: this.settings.cycleWorkLimit,
      typePenalty: (spec, type) => this.typePenalties.penaltyOf(spec, type),
    });
    this.lastCycleWork = result.machineEvaluations;
    this.commitAll(result.placed, now);
    for (const { job, placement, reclaimedForTeam } of result.victims) {
      const why =
        reclaimedForTeam === undefined ? 'preempted' : `preempted for the guarantee of ${reclaimedForTeam}`;
      this.state.evict(job, placement, why, now);
    }
    for (const { job } of result.unplaced) {
      job.placementRejections++;
      job.rejectedAtCapacityVersion = this.state.capacityVersion;
      const delay = Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(job.placementRejections, 10));
      // Individual times: groups rejected together must not come back in one wave.
      job.backoffUntil = now + delay * (0.5 + this.settings.random());
    }
    if (result.unprocessed.length > 0) this.state.needsScheduling = true;
    this.explain(queue);
    this.renting.scale([...result.unplaced.map((u) => u.job), ...result.unprocessed, ...blocked], now);
  }

  private hasDue(now: MonotonicTime): boolean {
    for (const job of this.state.jobs.values()) {
      if (!job.ready || job.cancelled) continue;
      if (job.pendingCount > 0 && !this.queue.inBackoff(job, now) && now >= job.errorBackoffUntil)
        return true;
    }
    return now - this.renting.lastScaledAt > 1000;
  }

  /** The tasks of a gang find one another by their attempt, so they share one. */
  private commitAll(placed: readonly AssumedPlacement[], now: MonotonicTime): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const { job, index, machine } of placed) {
      const attempt = gangAttempts.get(job.id) ?? attemptNumber(this.leadership.term, ++this.attempts);
      if (job.spec.kind === 'gang') gangAttempts.set(job.id, attempt);
      this.commit(job, newPlacement(index, machine.id, attempt, now), machine, now);
    }
  }

  private commit(job: Job, p: Placement, m: Machine, now: MonotonicTime): void {
    job.addPlacement(p);
    m.assign(job, p);
    m.idleSince = null;
    job.placementRejections = 0;
    p.unpreemptible = job.starving;
    this.state.machinesWithPendingCommands.add(m);
    this.state.log(
      'debug',
      {
        job: job.id,
        task: p.index,
        attempt: p.attempt,
        machine: m.id,
        term: this.leadership.term,
        waitedS: (now - job.waitingSince) / 1000,
      },
      'placed',
    );
  }

  /** Why a job waits is logged whenever the reason changes. */
  private explain(queue: Job[]): void {
    for (const job of queue) {
      const why = job.pendingCount === 0 ? '' : job.waitReason.why;
      if (why === job.loggedWaitReason) continue;
      job.loggedWaitReason = why;
      if (why !== '')
        this.state.log(
          'info',
          { job: job.id, class: job.spec.class, withinGuarantee: job.withinGuarantee, ...job.waitReason },
          'job waits',
        );
    }
  }

  status(): Record<string, unknown> {
    return this.summary.status();
  }
}
export type {
  Effect,
  FinalRecordOutcome as FinishOutcome,
  ImageLocations,
  LeaderSettings,
} from './effects.js';
