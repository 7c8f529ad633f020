import { priorityRank, type JobRecord, type Priority } from './types.js';
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
  /** The report that was answered with the start command; settled by a newer report of the same machine. */
  startSentInReplyTo: { incarnation: Uint64; sequence: Uint64 } | null;
  /** A start went straight to the worker and its answer is still awaited. */
  directStartInFlight: boolean;
  /** A start sent straight to the worker got no answer: it may still arrive, until the session moves on. */
  directStartOutcomeUnknown: boolean;
  observed: boolean;
  running: boolean;
  runningSince: MonotonicTime | null;
  stop: { graceS: number; since: MonotonicTime; reason: string } | null;
  /** Started after a long wait: not preempted, or it would starve all the same. */
  unpreemptible: boolean;
}

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

export class Job {
  readonly placements = new Map<number, Placement>();
  readonly completedBits: Uint8Array;
  readonly durableBits: Uint8Array;
  completedCount = 0;
  /** Tasks whose completion the state service doesn't hold yet, and that no write under way has. */
  readonly unpersistedCompletions = new Set<number>();
  progressPersistedAt = -Infinity;
  /** Segments of the completions that are being written. */
  readonly segmentsBeingWritten = new Set<SegmentName>();
  /** Segments that have a key in the state service. */
  readonly persistedSegments = new Set<SegmentName>();
  private readonly requeued = new Set<number>();
  private cursor = 0;
  private placedNotDone = 0;
  backoffUntil = -Infinity;
  /** Room that appears after this rejection ends its back-off early. */
  rejectedAtCapacityVersion = -1;
  placementRejections = 0;
  /** Error back-off isn't cut short by free capacity: the job itself may be at fault. */
  errorBackoffUntil = -Infinity;
  errorCount = 0;
  readonly errorMachines = new Set<MachineId>();
  waitReason: WaitReason = { why: 'queued' };
  loggedWaitReason = '';
  finalizing = false;
  /** A controller says that its user was told it is cancelled; the record that says so may not have reached us. */
  cancellationConfirmedAt: MonotonicTime | null = null;
  /** Has waited long with none of its tasks placed. */
  waitedLong = false;
  /** Goes before the others, and room is held for it. */
  starving = false;
  /** Fits its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee = false;
  /** Machines being kept free for it. */
  readonly reservedMachines = new Set<MachineId>();
  hasRun = false;
  waitingSince: MonotonicTime;
  /** Jobs that it depends on and that are not known to be done. */
  readonly unfinishedDependencies = new Set<JobId>();
  /** A job that it depends on is cancelled, and so is it: none of its tasks was ever started. */
  dependencyCancelled = false;
  /** By how much it will probably miss its deadline; null: it is in time, or has none. */
  predictedLateS: number | null = null;
  /** From the jobs that depend on it: the highest of their priorities, and when it has to be over for theirs. */
  inheritedUrgency: { priority: Priority; dueAt: WallTime | null } | null = null;

  constructor(
    readonly id: JobId,
    public record: JobRecord,
    public revision: Revision,
    /** Known before this leadership began: an earlier leader may have started its tasks. */
    readonly fromEarlierLeader: boolean,
    now: MonotonicTime,
  ) {
    const bytes = Math.ceil(record.spec.tasks / 8);
    this.completedBits = new Uint8Array(bytes);
    this.durableBits = new Uint8Array(bytes);
    this.waitingSince = now;
  }

  get spec() {
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

  /** For how long its user may have known that it is cancelled. */
  cancelledForMs(now: MonotonicTime, wall: WallTime): number {
    const { cancelledAt } = this.record;
    const byRecord = cancelledAt === null ? -Infinity : wall - cancelledAt;
    return Math.max(
      byRecord,
      this.cancellationConfirmedAt === null ? -Infinity : now - this.cancellationConfirmedAt,
    );
  }

  get allCompleted(): boolean {
    return this.completedCount === this.spec.tasks;
  }

  get pendingCount(): number {
    return this.spec.tasks - this.completedCount - this.placedNotDone;
  }

  get runningCount(): number {
    let n = 0;
    for (const p of this.placements.values()) if (p.running) n++;
    return n;
  }

  isCompleted(index: number): boolean {
    return (this.completedBits[index >> 3] & (1 << (index & 7))) !== 0;
  }

  isDurable(index: number): boolean {
    return (this.durableBits[index >> 3] & (1 << (index & 7))) !== 0;
  }

  markCompleted(index: number): void {
    if (index >= this.spec.tasks || this.isCompleted(index)) return;
    this.completedBits[index >> 3] |= 1 << (index & 7);
    this.completedCount++;
    if (this.placements.has(index)) this.placedNotDone--;
    this.unpersistedCompletions.add(index);
  }

  /** The first n tasks that are neither done nor placed; none is taken away. */
  firstPending(n: number): number[] {
    const out: number[] = [];
    for (const index of this.requeued) {
      if (this.isCompleted(index) || this.placements.has(index)) this.requeued.delete(index);
      else if (out.length < n) out.push(index);
      else break;
    }
    const skip = new Set(out);
    while (
      this.cursor < this.spec.tasks &&
      (this.isCompleted(this.cursor) || this.placements.has(this.cursor))
    ) {
      this.cursor++;
    }
    for (let i = this.cursor; i < this.spec.tasks && out.length < n; i++) {
      if (!this.isCompleted(i) && !this.placements.has(i) && !skip.has(i)) out.push(i);
    }
    return out;
  }

  addPlacement(p: Placement): void {
    if (!this.placements.has(p.index) && !this.isCompleted(p.index)) this.placedNotDone++;
    this.placements.set(p.index, p);
  }

  removePlacement(index: number): void {
    if (!this.placements.delete(index) || this.isCompleted(index)) return;
    this.placedNotDone--;
    if (index < this.cursor) this.requeued.add(index);
  }

  /** Completions read back from the state service, or confirmed as written to it, from that byte on. */
  confirmCompletions(segment: SegmentName, startByte: number, bytes: Uint8Array): void {
    this.persistedSegments.add(segment);
    for (let i = 0; i < bytes.length && startByte + i < this.durableBits.length; i++) {
      this.durableBits[startByte + i] |= bytes[i];
      this.completedBits[startByte + i] |= bytes[i];
    }
    let count = 0;
    for (const byte of this.completedBits) for (let b = byte; b !== 0; b &= b - 1) count++;
    this.completedCount = count;
    this.placedNotDone = 0;
    for (const index of this.placements.keys()) if (!this.isCompleted(index)) this.placedNotDone++;
  }
}
