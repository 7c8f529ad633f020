import {
  priorityRank,
  type Resources,
  type MachineInfo,
  type MachineType,
  type TaskStatus,
} from './types.js';
import { taskId, type Uint64, type JobId, type MachineId, type MonotonicTime, type TaskId } from './units.js';
import type { Job, Placement } from './job.js';
import { addResources, noResources } from './resources.js';
import { attemptKey, type AttemptKey } from './task-status.js';
import { InFlightStarts } from './in-flight-starts.js';

export const UNACKNOWLEDGED_REPLIES_LIMIT = 2;

/** What a machine's placements mean to the scheduler; made anew only when something changed there. */
export interface MachineLoad {
  /** Room that tasks already told to stop will leave. */
  releasing: Resources;
  hasStoppingTasks: boolean;
  /** Images being fetched, with their sizes. */
  fetching: Map<string, number>;
  /** By priority: what tasks of lower ones take that may be stopped; null: there are none. */
  preemptibleBelow: (Resources | null)[];
}

/** A machine as observed: rented, listed, or known by its worker's reports. */
export class Machine {
  endpointKnown = false;
  up = false;
  provisionedAt: MonotonicTime;
  incarnation: Uint64 = 0;
  sequence: Uint64 = 0;
  lastHeartbeatAt: MonotonicTime | null = null;
  /** The newest report of which the tasks below are. */
  processedSequence: Uint64 | null = null;
  /** Has reported under our token: what it holds is known, and no earlier leader's command can reach it. */
  reconciled = false;
  /** In the durable roster; no task is started here before. */
  registration: 'none' | 'writing' | 'durable' = 'none';
  /** The page of the roster that names this machine. */
  registryPage: string | null = null;
  /** The last report's tasks, by attempt: two attempts of a task can be listed at once. */
  reportedTasks = new Map<AttemptKey, TaskStatus>();
  lastHeartbeatTasks: TaskStatus[] = [];
  /** Nothing to tell its worker, and nothing awaited from it: an unchanged report needs no work. */
  inSync = false;
  /** An order to this worker is on its way. */
  directCommandInFlight = false;
  readonly inFlightStarts = new InFlightStarts();
  private readonly placed = new Map<TaskId, { job: Job; placement: Placement }>();
  private usedMemo: Resources | null = null;
  private loadMemo: MachineLoad | null = null;
  private readonly images = new Map<string, number>();
  interruptionNoticedAt: MonotonicTime | null = null;
  interruptionAt: MonotonicTime | null = null;
  /** Being given back to the cloud: nothing is placed here any more. */
  decommissioning: {
    reason: string;
    since: MonotonicTime;
    deletionRequested: boolean;
    /** It may hold a cancelled task that must soon be gone. */
    overdue?: boolean;
  } | null = null;
  idleSince: MonotonicTime | null = null;
  readonly recentlyFailedJobs = new Map<JobId, MonotonicTime>();
  quarantined = false;
  firstListedAt: MonotonicTime | null = null;
  /** Was listed by the cloud long enough, and is missing now: most likely gone. */
  missingFromList = false;
  /** Enrolled by an earlier leader. */
  fromEarlierLeader = false;
  /** When a report was last answered by us with authority, and since when without a silence. */
  lastAnsweredAt: MonotonicTime | null = null;
  answeredWithoutGapSince: MonotonicTime | null = null;
  /** Answers with a start in a row that the worker's next report showed no sign of. */
  unacknowledgedReplies = 0;

  constructor(
    public info: MachineInfo,
    public type: MachineType | undefined,
    now: MonotonicTime,
  ) {
    this.provisionedAt = now;
  }

  get placements(): ReadonlyMap<TaskId, { job: Job; placement: Placement }> {
    return this.placed;
  }

  assign(job: Job, placement: Placement): void {
    this.placed.set(taskId(job.id, placement.index), { job, placement });
    this.invalidate();
  }

  unassign(job: JobId, index: number): void {
    if (this.placed.delete(taskId(job, index))) this.invalidate();
  }

  /** What is known of its tasks has changed: sums are made anew, and its next report is looked at in full. */
  invalidate(): void {
    this.usedMemo = null;
    this.loadMemo = null;
    this.inSync = false;
  }

  loadSummary(): MachineLoad {
    if (this.loadMemo) return this.loadMemo;
    const load: MachineLoad = {
      releasing: noResources(),
      hasStoppingTasks: false,
      fetching: new Map(),
      preemptibleBelow: [null, null, null, null],
    };
    for (const { job, placement } of this.placed.values()) {
      const { spec } = job;
      if (!placement.running && !this.hasImage(spec.image)) load.fetching.set(spec.image, spec.imageGb);
      if (placement.stop) {
        addResources(load.releasing, spec);
        load.hasStoppingTasks = true;
        continue;
      }
      if (placement.unpreemptible) continue;
      for (let rank = priorityRank[job.priority] + 1; rank < load.preemptibleBelow.length; rank++)
        addResources((load.preemptibleBelow[rank] ??= noResources()), spec);
    }
    this.loadMemo = load;
    return load;
  }

  get id(): MachineId {
    return this.info.id;
  }

  get schedulable(): boolean {
    // A worker that heeds no command may be deaf: its reports arrive, but answers don't reach it.
    const deaf = this.unacknowledgedReplies >= UNACKNOWLEDGED_REPLIES_LIMIT;
    return (
      this.up &&
      this.reconciled &&
      this.decommissioning === null &&
      !this.quarantined &&
      this.interruptionNoticedAt === null &&
      !deaf
    );
  }

  cachedImages(): [string, number][] {
    return [...this.images];
  }

  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** The worker's cache keeps the most recently used images, as far as they fit. */
  recordImageUse(image: string, gb: number): void {
    this.loadMemo = null;
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [name, size] of this.images) {
      if (total <= (this.type?.cacheGb ?? 0) || this.images.size === 1) break;
      this.images.delete(name);
      total -= size;
    }
  }

  /** Everything that takes room here or may do so: reported tasks, and placements not reported yet. */
  allocated(specOf: (job: JobId) => Resources | null): Resources {
    if (this.usedMemo !== null) return this.usedMemo;
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const t of this.reportedTasks.values()) {
      if (t.state === 'exited') continue;
      if (this.placements.get(taskId(t.job, t.index))?.placement.attempt === t.attempt) continue;
      const spec = specOf(t.job);
      // A task of a job we no longer know takes an unknown amount: until it is gone, nothing else fits here.
      if (spec === null) return { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
      addResources(sum, spec);
    }
    for (const { job, placement } of this.placements.values()) {
      if (this.reportedTasks.get(attemptKey(job.id, placement.index, placement.attempt))?.state !== 'exited')
        addResources(sum, job.spec);
    }
    this.usedMemo = sum;
    return sum;
  }

  get busy(): boolean {
    if (this.placements.size > 0) return true;
    for (const t of this.reportedTasks.values()) if (t.state !== 'exited') return true;
    return false;
  }
}
