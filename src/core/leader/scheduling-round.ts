/**
 * One scheduling round: builds the queue, runs a scheduling cycle on it and applies the resulting placements and
 * evictions.
 */
import { newPlacement, type Job, type Placement } from '../job.js';
import type { Machine } from '../machine.js';
import { markWithinGuarantee } from '../scheduler/guarantees.js';
import {
  runSchedulingCycle,
  type AssumedPlacement,
  type CycleResult,
} from '../scheduler/scheduling-cycle.js';
import type { TypePenalties } from '../scheduler/type-penalties.js';
import type { TeamQuota } from '../team-quota.js';
import {
  attemptNumber,
  type Attempt,
  type JobId,
  type MonotonicTime,
  type Team,
  type WallTime,
} from '../units.js';
import type { Autoscaler } from './autoscaler.js';
import type { JobDependencies } from './job-dependencies.js';
import { wideJitter } from './jitter.js';
import type { LeaderState } from './leader-state.js';
import type { SchedulingQueue } from './scheduling-queue.js';

/** Tasks of one job considered in one scheduling cycle. */
const MAX_TASKS_PER_JOB = 40;
/** Back-off of a job that could not be placed. It doubles with each rejection, up to the maximum. */
const PLACEMENT_BACKOFF_MS = 400;
const PLACEMENT_BACKOFF_MAX_MS = 5000;
const PLACEMENT_BACKOFF_MAX_DOUBLINGS = 10;
/** No task is placed on a machine whose last heartbeat is older than this many heartbeat intervals. */
const UNREACHABLE_HEARTBEAT_INTERVALS = 2.5;
/** The autoscaler runs at least this often, even if nothing has changed. */
const MAX_SCALING_INTERVAL_MS = 1000;

/** The leader's components that a scheduling round uses. */
export interface SchedulingRoundDependencies {
  state: LeaderState;
  queue: SchedulingQueue;
  jobDependencies: JobDependencies;
  autoscaler: Autoscaler;
  typePenalties: TypePenalties;
}

/** Runs scheduling rounds when they are due. */
export class SchedulingRound {
  /** Number of machine evaluations in the last cycle, a measure of its cost. */
  lastCycleMachineEvaluations = 0;
  private readonly state: LeaderState;
  private readonly queue: SchedulingQueue;
  private readonly jobDependencies: JobDependencies;
  private readonly autoscaler: Autoscaler;
  private readonly typePenalties: TypePenalties;
  private readonly quotas: Map<Team, TeamQuota>;
  private attemptCount = 0;

  constructor({ state, queue, jobDependencies, autoscaler, typePenalties }: SchedulingRoundDependencies) {
    this.state = state;
    this.queue = queue;
    this.jobDependencies = jobDependencies;
    this.autoscaler = autoscaler;
    this.typePenalties = typePenalties;
    this.quotas = new Map(state.settings.teams.map((team) => [team.name, team]));
  }

  /** Places pending tasks, preempts victims and runs the autoscaler, if a round is due. */
  runIfDue(now: MonotonicTime, wallTime: WallTime): void {
    if (!this.state.needsScheduling && !this.isDue(now)) return;
    this.state.needsScheduling = false;
    this.jobDependencies.propagateUrgency();
    markWithinGuarantee(this.state.jobs.values(), this.quotas);
    const { queue, backedOff } = this.queue.buildQueue(now, wallTime);
    const result = this.runCycle(queue, now, wallTime);
    this.lastCycleMachineEvaluations = result.machineEvaluations;
    this.applyPlacements(result.placed, now);
    this.preemptVictims(result, now);
    for (const { job } of result.unplaced) this.backOff(job, now);
    if (result.unprocessed.length > 0) this.state.needsScheduling = true;
    this.logWaitReasons(queue);
    this.autoscaler.scale(
      [...result.unplaced.map(({ job }) => job), ...result.unprocessed, ...backedOff],
      now,
    );
  }

  private isDue(now: MonotonicTime): boolean {
    for (const job of this.state.jobs.values()) {
      if (!job.ready || job.cancelled) continue;
      if (job.pendingCount > 0 && !this.queue.inBackoff(job, now) && now >= job.errorBackoffUntil)
        return true;
    }
    return now - this.autoscaler.lastScaledAt > MAX_SCALING_INTERVAL_MS;
  }

  private runCycle(queue: Job[], now: MonotonicTime, wallTime: WallTime): CycleResult {
    const { machines, jobs, resourcesOf, settings } = this.state;
    return runSchedulingCycle({
      machines,
      queue,
      jobs: jobs.values(),
      resourcesOf,
      usage: this.queue.teamUsage(),
      quotas: this.quotas,
      now,
      wallTime,
      unreachableAfterMs: settings.workers.heartbeatIntervalS * (UNREACHABLE_HEARTBEAT_INTERVALS * 1000),
      maxTasksPerJob: MAX_TASKS_PER_JOB,
      maxMachineEvaluations: settings.maxMachineEvaluationsPerCycle,
      typePenalty: (spec, type) => this.typePenalties.penaltyOf(spec, type),
    });
  }

  /** All tasks of a gang get the same attempt number, by which they find one another. */
  private applyPlacements(placed: readonly AssumedPlacement[], now: MonotonicTime): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const { job, index, machine } of placed) {
      const attempt =
        gangAttempts.get(job.id) ?? attemptNumber(this.state.leadership.term, ++this.attemptCount);
      if (job.spec.kind === 'gang') gangAttempts.set(job.id, attempt);
      this.place(job, newPlacement(index, machine.id, attempt, now), machine, now);
    }
  }

  private place(job: Job, placement: Placement, machine: Machine, now: MonotonicTime): void {
    job.addPlacement(placement);
    machine.assign(job, placement);
    machine.idleSince = null;
    job.placementRejections = 0;
    placement.unpreemptible = job.starving;
    this.state.machinesWithPendingCommands.add(machine);
    const { index: task, attempt } = placement;
    const { term } = this.state.leadership;
    const waitedS = (now - job.waitingSince) / 1000;
    const fields = { job: job.id, task, attempt, machine: machine.id, term, waitedS };
    this.state.log('debug', fields, 'task placed');
  }

  private preemptVictims({ victims }: CycleResult, now: MonotonicTime): void {
    for (const { job, placement, reclaimedForTeam } of victims) {
      const reason =
        reclaimedForTeam === undefined ? 'preempted' : `preempted for the guarantee of ${reclaimedForTeam}`;
      this.state.placements.evict(job, placement, reason, now);
    }
  }

  private backOff(job: Job, now: MonotonicTime): void {
    job.placementRejections++;
    job.rejectedAtCapacityVersion = this.state.capacityVersion;
    const doublings = Math.min(job.placementRejections, PLACEMENT_BACKOFF_MAX_DOUBLINGS);
    const delayMs = Math.min(PLACEMENT_BACKOFF_MAX_MS, PLACEMENT_BACKOFF_MS * 2 ** doublings);
    job.backoffUntil = now + delayMs * wideJitter(this.state.settings.random);
  }

  /** Logs the wait reason of each job whose reason has changed. */
  private logWaitReasons(queue: Job[]): void {
    for (const job of queue) {
      const why = job.pendingCount === 0 ? '' : job.waitReason.why;
      if (why === job.loggedWaitReason) continue;
      job.loggedWaitReason = why;
      if (why === '') continue;
      const { withinGuarantee, waitReason } = job;
      const fields = { job: job.id, class: job.spec.class, withinGuarantee, ...waitReason };
      this.state.log('info', fields, 'job waits');
    }
  }
}
