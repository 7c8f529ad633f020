/** A machine as the leader knows it: what its worker has reported, what is placed on it, and what is to become of it. */
import { priorityRank } from './job-spec.js';
import type { MachineInfo, MachineType } from './machine-info.js';
import { taskId, type JobId, type MachineId, type MonotonicTime, type TaskId } from './units.js';
import { HeartbeatRecord } from './heartbeat-record.js';
import { ImageCache } from './image-cache.js';
import { InFlightStarts } from './in-flight-starts.js';
import type { Job, Placement } from './job.js';
import { ReplyTracker } from './reply-tracker.js';
import { addResources, noResources, type Resources } from './resources.js';
import { attemptKey, type AttemptKey, type TaskStatus } from './task-status.js';

/** What a machine's placements mean to the scheduler; made anew only when something changed there. */
export interface MachineLoad {
  /** Resources that tasks already told to stop will release. */
  releasing: Resources;
  hasStoppingTasks: boolean;
  /** Images being fetched, with their sizes. */
  fetching: Map<string, number>;
  /** By priority: what tasks of lower ones take that may be preempted; null: there are none. */
  preemptibleBelow: (Resources | null)[];
}

/**
 * What heartbeats say of a machine. Each state leads only to those after it:
 * - `booting`: its worker has sent no heartbeat, and no earlier leader registered it
 * - `awaiting-heartbeat`: registered by an earlier leader, so it may hold tasks; its endpoint isn't known
 * - `reporting`: heartbeats arrive, but none yet under this leader's fencing token
 * - `reconciled`: has reported under this leader's token: what it holds is known, and no earlier leader's command can
 *   reach it
 */
export type MachineContact = 'booting' | 'awaiting-heartbeat' | 'reporting' | 'reconciled';

/** Whether a page of the durable machine registry names the machine; no task is started on it before. */
export type Registration =
  { state: 'unregistered' } | { state: 'writing'; page: string } | { state: 'durable'; page: string };

/** How a machine leaves the cluster: drained, or fenced with whatever it holds. */
export interface Decommissioning {
  mode: 'drain' | 'fence';
  since: MonotonicTime;
  deletionRequested: boolean;
  /** May hold a cancelled task that must soon be gone. */
  mayHoldOverdueTask: boolean;
}

/** A task as it is placed on a machine. */
export interface MachinePlacement {
  job: Job;
  placement: Placement;
}

const UNREGISTERED: Registration = { state: 'unregistered' };
const UNLIMITED: Resources = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };

/** A machine as observed: provisioned, listed by the cloud provider, or known by its worker's heartbeats. */
export class Machine {
  provisionedAt: MonotonicTime;
  contact: MachineContact = 'booting';
  readonly lastHeartbeat = new HeartbeatRecord();
  registration: Registration = UNREGISTERED;
  /** The last heartbeat's tasks, by attempt: two attempts of a task can be listed at once. */
  reportedTasks = new Map<AttemptKey, TaskStatus>();
  /** No command for its worker, and none awaited to take effect: an unchanged heartbeat needs no work. */
  inSync = false;
  directCommandInFlight = false;
  readonly inFlightStarts = new InFlightStarts();
  readonly replies = new ReplyTracker();
  /** When the cloud provider's notice came that the spot instance will be interrupted. */
  interruptionNoticedAt: MonotonicTime | null = null;
  /** Leaving the cluster: nothing is placed here any more. */
  decommissioning: Decommissioning | null = null;
  idleSince: MonotonicTime | null = null;
  /** Jobs of which a task failed here since the last one completed here. */
  readonly failedJobs = new Set<JobId>();
  quarantined = false;
  firstListedAt: MonotonicTime | null = null;
  /** Was listed by the cloud provider long enough, and is missing now: most likely gone. */
  missingFromList = false;
  /** Registered by an earlier leader. */
  fromEarlierLeader = false;
  private readonly placed = new Map<TaskId, MachinePlacement>();
  private readonly images = new ImageCache();
  private allocatedMemo: Resources | null = null;
  private loadMemo: MachineLoad | null = null;

  constructor(
    public info: MachineInfo,
    public type: MachineType | undefined,
    now: MonotonicTime,
  ) {
    this.provisionedAt = now;
  }

  get id(): MachineId {
    return this.info.id;
  }

  /** Its worker runs, or ran under an earlier leader. */
  get up(): boolean {
    return this.contact !== 'booting';
  }

  get reconciled(): boolean {
    return this.contact === 'reconciled';
  }

  /** Its endpoint is known by a heartbeat. */
  get endpointKnown(): boolean {
    return this.contact === 'reporting' || this.contact === 'reconciled';
  }

  get lastHeartbeatAt(): MonotonicTime | null {
    return this.lastHeartbeat.receivedAt;
  }

  /** The page of the machine registry that names it. */
  get registryPage(): string | null {
    return this.registration.state === 'unregistered' ? null : this.registration.page;
  }

  /** Whether tasks may be placed here. */
  get schedulable(): boolean {
    return (
      this.reconciled &&
      this.decommissioning === null &&
      !this.quarantined &&
      this.interruptionNoticedAt === null &&
      // Guards against one-way partitions: starts sent there would be lost.
      !this.replies.isUnacknowledged
    );
  }

  /** Holds a task, or may hold one. */
  get busy(): boolean {
    if (this.placements.size > 0) return true;
    for (const task of this.reportedTasks.values()) if (task.state !== 'exited') return true;
    return false;
  }

  get placements(): ReadonlyMap<TaskId, MachinePlacement> {
    return this.placed;
  }

  /** An earlier leader registered the machine under that page. */
  recordRegisteredEarlier(page: string): void {
    this.registration = { state: 'durable', page };
    this.fromEarlierLeader = true;
    this.contact = 'awaiting-heartbeat';
  }

  /** Its tasks leave before it is deleted. */
  startDrain(now: MonotonicTime): void {
    this.decommissioning = { mode: 'drain', since: now, deletionRequested: false, mayHoldOverdueTask: false };
  }

  /** It is deleted with whatever it holds. */
  startFence(now: MonotonicTime, mayHoldOverdueTask: boolean): void {
    this.decommissioning = { mode: 'fence', since: now, deletionRequested: false, mayHoldOverdueTask };
  }

  /** Counts a task as being here. */
  assign(job: Job, placement: Placement): void {
    this.placed.set(taskId(job.id, placement.index), { job, placement });
    this.invalidate();
  }

  /** Counts a task as being here no longer. */
  unassign(job: JobId, index: number): void {
    if (this.placed.delete(taskId(job, index))) this.invalidate();
  }

  /** What is known of its tasks has changed: sums are made anew, and its next heartbeat is processed in full. */
  invalidate(): void {
    this.allocatedMemo = null;
    this.loadMemo = null;
    this.inSync = false;
  }

  /** Sums over its placements, for the scheduler. */
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

  /** The images in its worker's cache, with their sizes. */
  cachedImages(): [string, number][] {
    return this.images.entries();
  }

  /** Whether its worker's cache holds the image. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** A task here uses the image. */
  recordImageUse(image: string, imageGb: number): void {
    this.loadMemo = null;
    this.images.recordUse(image, imageGb, this.type?.cacheGb ?? 0);
  }

  /** All that takes resources here or may do so: reported tasks, and placements not reported yet. */
  allocated(resourcesOf: (job: JobId) => Resources | null): Resources {
    if (this.allocatedMemo !== null) return this.allocatedMemo;
    const sum = noResources();
    for (const task of this.reportedTasks.values()) {
      if (task.state === 'exited') continue;
      if (this.placements.get(taskId(task.job, task.index))?.placement.attempt === task.attempt) continue;
      const spec = resourcesOf(task.job);
      // A task of a job we no longer know takes an unknown amount: until it is gone, nothing else fits here.
      if (spec === null) return { ...UNLIMITED };
      addResources(sum, spec);
    }
    for (const { job, placement } of this.placements.values()) {
      if (this.reportedTasks.get(attemptKey(job.id, placement.index, placement.attempt))?.state !== 'exited')
        addResources(sum, job.spec);
    }
    this.allocatedMemo = sum;
    return sum;
  }
}
