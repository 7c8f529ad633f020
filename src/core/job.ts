/** A job as the leader knows it: its record, its progress, where its tasks are, and why it waits. */
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

/** Where a task is, or may be. It stays until the machine can no longer hold it. */
export interface Placement {
  index: number;
  machine: MachineId;
  attempt: Attempt;
  assignedAt: MonotonicTime;
  /** The heartbeat in whose reply the start was sent; settled by a newer heartbeat of the same machine. */
  startSentInReplyTo: { incarnation: Uint64; sequence: Uint64 } | null;
  /** A start went straight to the worker and its answer is still awaited. */
  directStartInFlight: boolean;
  /** A start sent straight to the worker got no answer: it may still arrive, until the incarnation ends. */
  directStartOutcomeUnknown: boolean;
  /** The task was reported. */
  observed: boolean;
  running: boolean;
  runningSince: MonotonicTime | null;
  stop: { gracePeriodS: number; since: MonotonicTime; reason: string } | null;
  /** Started after a long wait: not preempted, or it would starve all the same. */
  unpreemptible: boolean;
}

/** The placement of a task whose start has not been sent. */
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

/** Why a job waits, in the status page's words. */
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

/** From the jobs that depend on a job: the highest of their priorities, and when it has to be over for theirs. */
export interface InheritedUrgency {
  priority: Priority;
  dueAt: WallTime | null;
}

/** An unfinished job. */
export class Job {
  readonly placements = new Map<number, Placement>();
  readonly progress: JobProgress;
  backoffUntil = -Infinity;
  /** Capacity gained after this rejection ends its back-off early. */
  rejectedAtCapacityVersion = -1;
  placementRejections = 0;
  /** Error back-off isn't cut short by free capacity: the job itself may be at fault. */
  errorBackoffUntil = -Infinity;
  errorCount = 0;
  readonly errorMachines = new Set<MachineId>();
  waitReason: WaitReason = { why: 'queued' };
  loggedWaitReason = '';
  /** Its final record is being written. */
  finalizing = false;
  /** A controller says that its user was told it is cancelled; the record that says so may not have reached us. */
  cancellationConfirmedAt: MonotonicTime | null = null;
  /** Has waited long with none of its tasks placed. */
  waitedLong = false;
  /** Goes before the others, and capacity is reserved for it. */
  starving = false;
  /** Fits its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee = false;
  /** Machines reserved for it. */
  readonly reservedMachines = new Set<MachineId>();
  hasRun = false;
  waitingSince: MonotonicTime;
  /** Jobs that it depends on and that are not known to be done. */
  readonly unfinishedDependencies = new Set<JobId>();
  /** A job that it depends on is cancelled, and so is it: none of its tasks was ever started. */
  dependencyCancelled = false;
  /** By how much it will probably miss its deadline; null: it is in time, or has none. */
  predictedLateS: number | null = null;
  inheritedUrgency: InheritedUrgency | null = null;
  /** Tasks before the cursor that were placed and have to be placed again. */
  private readonly requeued = new Set<number>();
  /** All tasks before it are completed, placed or requeued. */
  private cursor = 0;
  private placedNotCompleted = 0;

  constructor(
    readonly id: JobId,
    public record: JobRecord,
    public revision: Revision,
    /** Known before this leadership began: an earlier leader may have started its tasks. */
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

  /** All that it depends on is done. */
  get ready(): boolean {
    return this.unfinishedDependencies.size === 0;
  }

  /** Its own priority, or that of a job that depends on it where that is higher. */
  get priority(): Priority {
    const own = this.spec.priority;
    return this.inheritedUrgency && priorityRank[this.inheritedUrgency.priority] > priorityRank[own]
      ? this.inheritedUrgency.priority
      : own;
  }

  /** When it has to be over: by its own deadline and those of the jobs that depend on it. */
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
    return this.spec.tasks - this.completedCount - this.placedNotCompleted;
  }

  get runningCount(): number {
    let count = 0;
    for (const placement of this.placements.values()) if (placement.running) count++;
    return count;
  }

  /** For how long its user may have known that it is cancelled. */
  cancelledForMs(now: MonotonicTime, wall: WallTime): number {
    const { cancelledAt } = this.record;
    const byRecord = cancelledAt === null ? -Infinity : wall - cancelledAt;
    return Math.max(
      byRecord,
      this.cancellationConfirmedAt === null ? -Infinity : now - this.cancellationConfirmedAt,
    );
  }

  /** Whether the task is done. */
  isCompleted(index: number): boolean {
    return this.progress.isCompleted(index);
  }

  /** Whether the key-value store holds the task's completion. */
  isDurable(index: number): boolean {
    return this.progress.isDurable(index);
  }

  /** The task is done. */
  markCompleted(index: number): void {
    if (this.progress.markCompleted(index) && this.placements.has(index)) this.placedNotCompleted--;
  }

  /** Completions read back from the key-value store, or confirmed as written to it, from that byte on. */
  confirmCompletions(segment: SegmentName, startByte: number, bytes: Uint8Array): void {
    this.progress.confirm(segment, startByte, bytes);
    this.placedNotCompleted = 0;
    for (const index of this.placements.keys()) if (!this.isCompleted(index)) this.placedNotCompleted++;
  }

  /** The first tasks, `maxTasks` at the most, that are neither completed nor placed; they stay pending. */
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

  /** The task is placed, in place of an earlier placement. */
  addPlacement(placement: Placement): void {
    const { index } = placement;
    if (this.isPending(index)) this.placedNotCompleted++;
    this.placements.set(index, placement);
  }

  /** The task isn't placed any more: it is pending, unless it is completed. */
  removePlacement(index: number): void {
    if (!this.placements.delete(index) || this.isCompleted(index)) return;
    this.placedNotCompleted--;
    if (index < this.cursor) this.requeued.add(index);
  }
}
