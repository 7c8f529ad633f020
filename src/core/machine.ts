/** The leader's state of a machine: its worker's reports, the tasks placed on it, and its decommissioning. */
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

/** A summary of a machine's placements for the scheduler, recomputed only after a change. */
export interface MachineLoad {
  /** Resources that stopping tasks will release. */
  releasing: Resources;
  hasStoppingTasks: boolean;
  /** Sizes of the images being fetched, by image. */
  fetching: Map<string, number>;
  /** By priority rank: resources of preemptible tasks of lower ranks; null if there are none. */
  preemptibleBelow: (Resources | null)[];
}

/**
 * How far the leader is in contact with a machine's worker. A state is only ever followed by one listed after it:
 * - `booting`: the worker has sent no heartbeat, and no earlier leader registered the machine
 * - `awaiting-heartbeat`: an earlier leader registered the machine, so it may hold tasks; its endpoint is unknown
 * - `reporting`: heartbeats arrive, but none yet under this leader's fencing token
 * - `reconciled`: the worker has reported under this leader's fencing token: its tasks are known, and commands of
 *   earlier leaders can no longer reach it
 */
export type MachineContact = 'booting' | 'awaiting-heartbeat' | 'reporting' | 'reconciled';

/** Whether a page of the durable machine registry lists the machine. No task is started on a machine before that. */
export type Registration =
  { state: 'unregistered' } | { state: 'writing'; page: string } | { state: 'durable'; page: string };

/** How a machine leaves the cluster: drained of its tasks first, or fenced, which deletes it with its tasks. */
export interface Decommissioning {
  mode: 'drain' | 'fence';
  since: MonotonicTime;
  deletionRequested: boolean;
  /** The machine may hold a cancelled task that must end soon. */
  mayHoldOverdueTask: boolean;
}

/** A task placed on a machine. */
export interface MachinePlacement {
  job: Job;
  placement: Placement;
}

const UNREGISTERED: Registration = { state: 'unregistered' };
const UNLIMITED: Resources = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };

/** A machine known to the leader: provisioned, listed by the cloud provider, registered, or reported by a heartbeat. */
export class Machine {
  provisionedAt: MonotonicTime;
  contact: MachineContact = 'booting';
  readonly lastHeartbeat = new HeartbeatRecord();
  registration: Registration = UNREGISTERED;
  /** The tasks in the last heartbeat, by attempt: a heartbeat can list two attempts of a task at once. */
  reportedTasks = new Map<AttemptKey, TaskStatus>();
  /** No command has to be sent to the worker or to take effect: an unchanged heartbeat needs no processing. */
  inSync = false;
  directCommandInFlight = false;
  readonly inFlightStarts = new InFlightStarts();
  readonly replies = new ReplyTracker();
  /** When the cloud provider's interruption notice for the spot instance was received; null without a notice. */
  interruptionNoticedAt: MonotonicTime | null = null;
  /** Set when the machine is to leave the cluster; no task is placed on it from then on. */
  decommissioning: Decommissioning | null = null;
  idleSince: MonotonicTime | null = null;
  /** Jobs of which a task failed here since a task last completed here. */
  readonly failedJobs = new Set<JobId>();
  quarantined = false;
  firstListedAt: MonotonicTime | null = null;
  /** The machine should be in the cloud provider's list but is missing there, and so has most likely been deleted. */
  missingFromList = false;
  /** An earlier leader registered the machine. */
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

  /** Whether the worker is running, or was running under an earlier leader. */
  get up(): boolean {
    return this.contact !== 'booting';
  }

  get reconciled(): boolean {
    return this.contact === 'reconciled';
  }

  /** Whether a heartbeat has reported the endpoint. */
  get endpointKnown(): boolean {
    return this.contact === 'reporting' || this.contact === 'reconciled';
  }

  get lastHeartbeatAt(): MonotonicTime | null {
    return this.lastHeartbeat.receivedAt;
  }

  /** The page of the machine registry that lists the machine; null if it isn't registered. */
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
      // Guards against one-way partitions, in which starts sent to the machine would be lost.
      !this.replies.isUnacknowledged
    );
  }

  /** Whether the machine holds a task, or may hold one. */
  get busy(): boolean {
    if (this.placements.size > 0) return true;
    for (const task of this.reportedTasks.values()) if (task.state !== 'exited') return true;
    return false;
  }

  get placements(): ReadonlyMap<TaskId, MachinePlacement> {
    return this.placed;
  }

  /** Records that an earlier leader registered the machine on this page. */
  recordRegisteredEarlier(page: string): void {
    this.registration = { state: 'durable', page };
    this.fromEarlierLeader = true;
    this.contact = 'awaiting-heartbeat';
  }

  /** Starts to drain the machine: its tasks leave before it is deleted. */
  startDrain(now: MonotonicTime): void {
    this.decommissioning = { mode: 'drain', since: now, deletionRequested: false, mayHoldOverdueTask: false };
  }

  /** Fences the machine: it is deleted with the tasks that it holds. */
  startFence(now: MonotonicTime, mayHoldOverdueTask: boolean): void {
    this.decommissioning = { mode: 'fence', since: now, deletionRequested: false, mayHoldOverdueTask };
  }

  /** Adds a task to the machine's placements. */
  assign(job: Job, placement: Placement): void {
    this.placed.set(taskId(job.id, placement.index), { job, placement });
    this.invalidate();
  }

  /** Removes a task from the machine's placements. */
  unassign(job: JobId, index: number): void {
    if (this.placed.delete(taskId(job, index))) this.invalidate();
  }

  /** Discards cached sums after a change of the machine's tasks, and has its next heartbeat processed in full. */
  invalidate(): void {
    this.allocatedMemo = null;
    this.loadMemo = null;
    this.inSync = false;
  }

  /** Summarizes the placements for the scheduler. */
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

  /** The images in the worker's cache, with their sizes. */
  cachedImages(): [string, number][] {
    return this.images.entries();
  }

  /** Whether the worker's cache holds the image. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** Records that a task on this machine uses the image. */
  recordImageUse(image: string, imageGb: number): void {
    this.loadMemo = null;
    this.images.recordUse(image, imageGb, this.type?.cacheGb ?? 0);
  }

  /** Resources held by all tasks that may be on the machine: those reported, and placements not reported yet. */
  allocated(resourcesOf: (job: JobId) => Resources | null): Resources {
    if (this.allocatedMemo !== null) return this.allocatedMemo;
    const sum = noResources();
    for (const task of this.reportedTasks.values()) {
      if (task.state === 'exited') continue;
      if (this.placements.get(taskId(task.job, task.index))?.placement.attempt === task.attempt) continue;
      const spec = resourcesOf(task.job);
      // The resources of a task of an unknown job are unknown. No other task fits here until it is gone.
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
