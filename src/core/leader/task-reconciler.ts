/** Reconciles the tasks reported by a worker with the tasks that the leader has placed on its machine. */
import { newPlacement, type Job, type Placement } from '../job.js';
import type { Machine } from '../machine.js';
import { attemptKey, type TaskStatus } from '../task-status.js';
import type { Heartbeat } from '../heartbeat.js';
import type { MonotonicTime } from '../units.js';
import { wideJitter } from './jitter.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';
import { TaskFailureHandler } from './task-failure-handler.js';

/** Back-off, before jitter, of a job after a worker refused one of its tasks for lack of free resources. */
const NO_ROOM_BACKOFF_MS = 1000;

/**
 * How a heartbeat arrived. A worker executes the reply to a heartbeat before it sends the next heartbeat, or never.
 * The response to a direct command also contains a heartbeat, but it may arrive before such a reply is executed,
 * whatever its sequence number.
 */
export type HeartbeatSource = 'heartbeat' | 'direct command response';

/** Updates placements by the task statuses in heartbeats. */
export class TaskReconciler {
  private readonly failureHandler: TaskFailureHandler;

  constructor(
    private readonly state: LeaderState,
    machinePool: MachinePool,
  ) {
    this.failureHandler = new TaskFailureHandler(state, machinePool);
  }

  /**
   * Updates the machine's placements by a heartbeat. A heartbeat lists all tasks of the machine, so a placed task that
   * is missing has either ended or was never started.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource, now: MonotonicTime): void {
    for (const task of heartbeat.tasks) this.reconcileTask(machine, task, now);
    for (const { job, placement } of [...machine.placements.values()]) {
      if (machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt))) continue;
      if (placement.directStartInFlight || placement.directStartOutcomeUnknown) continue;
      if (placement.observed)
        this.state.placements.markLost(job, placement, 'task missing from heartbeat', now);
      else if (placement.stop && isStartResolved(heartbeat, source, placement))
        this.state.placements.release(job, placement, 'stopped before it started', now);
    }
  }

  private reconcileTask(machine: Machine, task: TaskStatus, now: MonotonicTime): void {
    const job = this.state.jobs.get(task.job);
    if (!job || task.index >= job.spec.tasks) return;
    if (hasUsedImage(task)) machine.recordImageUse(job.spec.image, job.spec.imageGb);
    const placement = job.placements.get(task.index) ?? this.adoptIfNeeded(machine, job, task, now);
    const current =
      placement && placement.machine === machine.id && placement.attempt === task.attempt
        ? placement
        : undefined;
    if (task.state === 'exited') this.reconcileExit(machine, job, task, current, now);
    else if (current) this.updatePlacement(machine, job, current, task, now);
  }

  private updatePlacement(
    machine: Machine,
    job: Job,
    placement: Placement,
    task: TaskStatus,
    now: MonotonicTime,
  ): void {
    placement.observed = true;
    const running = task.state === 'running' || task.state === 'waiting';
    if (running && !placement.running) {
      job.hasRun = true;
      placement.runningSince = now;
      const afterS = (now - placement.assignedAt) / 1000;
      const fields = { job: job.id, task: task.index, machine: machine.id, afterS };
      this.state.log('debug', fields, 'task has its image');
    }
    placement.running = running;
  }

  private reconcileExit(
    machine: Machine,
    job: Job,
    task: TaskStatus,
    current: Placement | undefined,
    now: MonotonicTime,
  ): void {
    if (task.cause === 'done') this.recordCompletion(machine, job, task, current);
    if (!current) return;
    if (task.cause === 'error') this.failureHandler.onTaskError(machine, job, now);
    else if (task.cause === 'no_room')
      job.backoffUntil = now + NO_ROOM_BACKOFF_MS * wideJitter(this.state.settings.random);
    const { stop } = current;
    this.state.placements.release(job, current, 'exited', now);
    if (task.cause === 'done') return;
    const { index, cause, saved } = task;
    this.state.log(
      cause === 'stopped' ? 'debug' : 'info',
      { job: job.id, task: index, machine: machine.id, cause, saved, why: stop?.reason ?? null },
      'task ended without completing',
    );
    if (job.spec.kind === 'gang')
      this.state.placements.stopGang(job, `task ${index}: ${cause ?? 'no cause reported'}`, now);
  }

  /** Records a completion. All tasks of a gang complete together. */
  private recordCompletion(
    machine: Machine,
    job: Job,
    task: TaskStatus,
    current: Placement | undefined,
  ): void {
    if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.markCompleted(i);
    else job.markCompleted(task.index);
    machine.failedJobs.clear();
    if (current) this.state.decisionLog.recordCompleted(machine, task);
  }

  /** Adds a placement for a task that an earlier leader started, unless the task is completed or its job is ending. */
  private adoptIfNeeded(
    machine: Machine,
    job: Job,
    task: TaskStatus,
    now: MonotonicTime,
  ): Placement | undefined {
    if (task.state === 'exited' || job.isCompleted(task.index) || job.finalizing) return undefined;
    const placement = newPlacement(task.index, machine.id, task.attempt, now);
    placement.observed = true;
    job.addPlacement(placement);
    machine.assign(job, placement);
    this.state.decisionLog.recordAdopted(machine, task);
    if (job.cancelled) placement.stop = { gracePeriodS: 0, since: now, reason: 'cancelled' };
    return placement;
  }
}

/** Whether the task's status implies that its image is in the worker's cache and was used recently. */
const hasUsedImage = ({ state, cause }: TaskStatus): boolean =>
  state === 'exited' ? cause === 'done' : state !== 'fetching' && !isRefusal(cause);

const isRefusal = (cause: TaskStatus['cause']): boolean =>
  cause === 'no_room' || cause === 'in_use' || cause === 'no_such';

/** Whether the heartbeat proves that a start sent in reply to an earlier heartbeat was executed or never will be. */
const isStartResolved = (
  heartbeat: Heartbeat,
  source: HeartbeatSource,
  { startSentInReplyTo }: Placement,
): boolean => {
  if (startSentInReplyTo === null || heartbeat.incarnation > startSentInReplyTo.incarnation) return true;
  return source === 'heartbeat' && heartbeat.sequence > startSentInReplyTo.sequence;
};
