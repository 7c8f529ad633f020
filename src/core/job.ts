/** The leader's state of a job: its record, its progress, the placements of its tasks, and why it waits. */
import { JobProgress } from './job-progress.js';
import { priorityRank, type JobRecord, type JobSpec, type Priority } from './job-spec.js';
import type {
  Attempt,
  Uint64,
  JobId,
  MachineId,
  SegmentName,
  Revision,
  MonotonicTime,
  WallTime,
} from './units.js';

/** The assignment of a task to a machine, kept until the machine can no longer hold the task. */
export interface Placement {
  index: number;
  machine: MachineId;
  attempt: Attempt;
  assignedAt: MonotonicTime;
  /** The heartbeat in whose reply the start was sent. A newer heartbeat of the machine shows whether it took effect. */
  startSentInReplyTo: { incarnation: Uint64; sequence: Uint64 } | null;
  /** A start was sent directly to the worker, and its response is pending. */
  directStartInFlight: boolean;
  /** A start sent directly to the worker got no response: it may still arrive, until the worker's incarnation ends. */
  directStartOutcomeUnknown: boolean;
  /** The task was listed in a heartbeat. */
  observed: boolean;
  running: boolean;
  runningSince: MonotonicTime | null;
  stop: { gracePeriodS: number; since: MonotonicTime; reason: string } | null;
  /** The task was placed while its job was starving. It is not preempted, since its job would starve again. */
  unpreemptible: boolean;
}

/** Creates the placement of a task whose start has not been sent. */
export const newPlacement = (
  index: number,
  machine: MachineId,
  attempt: Attempt,
  now: MonotonicTime,
): Placement => ({
  index,
  machine,
  attempt,
  assignedAt: now,
  startSentInReplyTo: null,
  directStartInFlight: false,
  directStartOutcomeUnknown: false,
  observed: false,
  running: false,
  runningSince: null,
  stop: null,
  unpreemptible: false,
});

/** Why a job waits. The status page and the log contain these values. */
export type WaitReason =
  | { why: 'queued' }
  | { why: 'waiting for other jobs'; jobs: number }
  | { why: 'task may still run on a silent machine' }
  | { why: 'back-off'; until: MonotonicTime }
  | { why: 'team limit' }
  | { why: 'old attempt not gone' }
  | { why: 'waiting for victims'; victims: number }
  | { why: 'waiting for a machine with its image'; expectedS: number }
  | { why: 'no machine with room' }
  | { why: 'machines booting' };

/**
 * Urgency inherited from the jobs that depend on a job: the highest of their priorities, and when the job must finish
 * so that they can meet their deadlines.
 */
export interface InheritedUrgency {
  priority: Priority;
  dueAt: WallTime | null;
}

/** An unfinished job. */
export class Job {
  readonly placements = new Map<number, Placement>();
  readonly progress: JobProgress;
  backoffUntil = -Infinity;
  /** The capacity version at the job's last rejection. Capacity gained after that ends the back-off early. */
  rejectedAtCapacityVersion = -1;
  placementRejections = 0;
  /** End of the back-off after task errors. Gained capacity doesn't shorten it: the job itself may be at fault. */
  errorBackoffUntil = -Infinity;
  errorCount = 0;
  readonly errorMachines = new Set<MachineId>();
  waitReason: WaitReason = { why: 'queued' };
  loggedWaitReason = '';
  /** The job's final record is being written. */
  finalizing = false;
  /** When the leader learned of a cancellation confirmed to the user; the job's record may contain it only later. */
  cancellationConfirmedAt: MonotonicTime | null = null;
  /** The job has waited longer than the aging time, with none of its tasks placed. */
  waitedLong = false;
  /** The job goes before others, and capacity is reserved for it. */
  starving = false;
  /** The job fits its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee = false;
  /** Machines reserved for the job. */
  readonly reservedMachines = new Set<MachineId>();
  hasRun = false;
  waitingSince: MonotonicTime;
  /** Jobs that this job depends on and that are not known to be done. */
  readonly unfinishedDependencies = new Set<JobId>();
  /** A job that this job depends on was cancelled, and so is this job; none of its tasks was ever started. */
  dependencyCancelled = false;
  /** By how much the job is predicted to miss its deadline; null if it is on time or has no deadline. */
  predictedLateS: number | null = null;
  inheritedUrgency: InheritedUrgency | null = null;
  /** Tasks before the cursor that were placed and must be placed again. */
  private readonly requeued = new Set<number>();
  /** All tasks before the cursor are completed, placed or requeued. */
  private cursor = 0;
  private placedIncompleteCount = 0;

  constructor(
    readonly id: JobId,
    public record: JobRecord,
    public revision: Revision,
    /** The job was known before this leadership began: an earlier leader may have started its tasks. */
    readonly fromEarlierLeader: boolean,
    now: MonotonicTime,
  ) {
    this.progress = new JobProgress(record.spec.tasks);
    this.waitingSince = now;
  }

  get spec(): JobSpec {
    return this.record.spec;
  }

  get cancelled(): boolean {
    return (
      this.record.cancelledAt !== null || this.cancellationConfirmedAt !== null || this.dependencyCancelled
    );
  }

  /** Whether all jobs that this job depends on are done. */
  get ready(): boolean {
    return this.unfinishedDependencies.size === 0;
  }

  /** The job's own priority, or that of a job that depends on it if that is higher. */
  get priority(): Priority {
    const own = this.spec.priority;
    return this.inheritedUrgency && priorityRank[this.inheritedUrgency.priority] > priorityRank[own]
      ? this.inheritedUrgency.priority
      : own;
  }

  /** When the job must finish to meet its own deadline and those of the jobs that depend on it, if there are any. */
  get dueAt(): WallTime | null {
    const { deadlineS } = this.spec;
    const own = deadlineS === null ? Infinity : this.record.submittedAt + deadlineS * 1000;
    const due = Math.min(own, this.inheritedUrgency?.dueAt ?? Infinity);
    return due < Infinity ? (due as WallTime) : null;
  }

  get completedCount(): number {
    return this.progress.completedCount;
  }

  get allCompleted(): boolean {
    return this.completedCount === this.spec.tasks;
  }

  get pendingCount(): number {
    return this.spec.tasks - this.completedCount - this.placedIncompleteCount;
  }

  get runningCount(): number {
    let count = 0;
    for (const placement of this.placements.values()) if (placement.running) count++;
    return count;
  }

  /** For how long the user may have known that the job is cancelled. */
  cancelledForMs(now: MonotonicTime, wall: WallTime): number {
    const { cancelledAt } = this.record;
    const byRecord = cancelledAt === null ? -Infinity : wall - cancelledAt;
    return Math.max(
      byRecord,
      this.cancellationConfirmedAt === null ? -Infinity : now - this.cancellationConfirmedAt,
    );
  }

  /** Whether the task is completed. */
  isCompleted(index: number): boolean {
    return this.progress.isCompleted(index);
  }

  /** Whether the key-value store holds the task's completion. */
  isDurable(index: number): boolean {
    return this.progress.isDurable(index);
  }

  /** Marks the task as completed. */
  markCompleted(index: number): void {
    if (this.progress.markCompleted(index) && this.placements.has(index)) this.placedIncompleteCount--;
  }

  /** Records completions that the key-value store holds, read from it or written to it, from `startByte` on. */
  confirmCompletions(segment: SegmentName, startByte: number, bytes: Uint8Array): void {
    this.progress.confirm(segment, startByte, bytes);
    this.placedIncompleteCount = 0;
    for (const index of this.placements.keys()) if (!this.isCompleted(index)) this.placedIncompleteCount++;
  }

  /** Up to `maxTasks` tasks that are neither completed nor placed, in scheduling order. They stay pending. */
  firstPending(maxTasks: number): number[] {
    const pending: number[] = [];
    for (const index of this.requeued) {
      if (!this.isPending(index)) this.requeued.delete(index);
      else if (pending.length < maxTasks) pending.push(index);
      else break;
    }
    const skip = new Set(pending);
    while (this.cursor < this.spec.tasks && !this.isPending(this.cursor)) this.cursor++;
    for (let i = this.cursor; i < this.spec.tasks && pending.length < maxTasks; i++)
      if (this.isPending(i) && !skip.has(i)) pending.push(i);
    return pending;
  }

  private isPending(index: number): boolean {
    return !this.isCompleted(index) && !this.placements.has(index);
  }

  /** Adds the placement of a task, replacing an earlier one. */
  addPlacement(placement: Placement): void {
    const { index } = placement;
    if (this.isPending(index)) this.placedIncompleteCount++;
    this.placements.set(index, placement);
  }

  /** Removes the placement of a task, which is pending from then on unless it is completed. */
  removePlacement(index: number): void {
    if (!this.placements.delete(index) || this.isCompleted(index)) return;
    this.placedIncompleteCount--;
    if (index < this.cursor) this.requeued.add(index);
  }
}
