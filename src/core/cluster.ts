import {
  priorityRank,
  type Amounts,
  type MachineInfo,
  type MachineType,
  type ReportedTask,
} from './types.js';
import { taskId, type Counter, type JobId, type MachineId, type Steady, type TaskId } from './units.js';
import type { Job, Placement } from './job.js';
import { StartsOnTheWay } from './starts-on-the-way.js';

export type AttemptKey = string & { readonly attemptKey: unique symbol };
export const attemptKey = (job: JobId, index: number, attempt: number): AttemptKey =>
  `${job}/${index}#${attempt}` as AttemptKey;

export const add = (a: Amounts, b: Amounts, factor = 1): void => {
  a.cpus += b.cpus * factor;
  a.gpus += b.gpus * factor;
  a.memoryGb += b.memoryGb * factor;
};
const EPSILON = 1e-6;
const enough = (need: number, free: number): boolean => need === 0 || need <= free + EPSILON;
export const fits = (need: Amounts, free: Amounts): boolean =>
  enough(need.cpus, free.cpus) && enough(need.gpus, free.gpus) && enough(need.memoryGb, free.memoryGb);

export const UNHEEDED_IS_DEAF = 2;

const nothing = (): Amounts => ({ cpus: 0, gpus: 0, memoryGb: 0 });

/** What a machine's placements mean to the scheduler; made anew only when something changed there. */
export interface Load {
  /** Room that tasks already told to stop will leave. */
  releasing: Amounts;
  leaving: boolean;
  /** Images being fetched, with their sizes. */
  fetching: Map<string, number>;
  /** By priority: what tasks of lower ones take that may be stopped; null: there are none. */
  below: (Amounts | null)[];
}

export const sameTasks = (a: ReportedTask[], b: ReportedTask[]): boolean => {
  if (a.length !== b.length) return false;
  for (let i = 0; i < a.length; i++) {
    const x = a[i];
    const y = b[i];
    if (x.state !== y.state || x.attempt !== y.attempt || x.index !== y.index || x.job !== y.job)
      return false;
  }
  return true;
};

/** A machine as observed: rented, listed, or known by its worker's reports. */
export class Machine {
  endpointKnown = false;
  up = false;
  rentedAt: Steady;
  session: Counter = 0;
  seq: Counter = 0;
  lastReportAt: Steady | null = null;
  /** The newest report of which the tasks below are. */
  readSeq: Counter | null = null;
  /** Has reported under our token: what it holds is known, and no earlier leader's command can reach it. */
  settled = false;
  /** In the durable roster; no task is started here before. */
  roster: 'none' | 'writing' | 'durable' = 'none';
  /** The page of the roster that names this machine. */
  page: string | null = null;
  /** The last report's tasks, by attempt: two attempts of a task can be listed at once. */
  tasks = new Map<AttemptKey, ReportedTask>();
  reported: ReportedTask[] = [];
  /** Nothing to tell its worker, and nothing awaited from it: an unchanged report needs no work. */
  quiet = false;
  /** An order to this worker is on its way. */
  orderOpen = false;
  readonly startsOnTheWay = new StartsOnTheWay();
  private readonly placed = new Map<TaskId, { job: Job; placement: Placement }>();
  private usedMemo: Amounts | null = null;
  private loadMemo: Load | null = null;
  private readonly images = new Map<string, number>();
  noticeAt: Steady | null = null;
  noticeEndsAt: Steady | null = null;
  /** Being given back to the cloud: nothing is placed here any more. */
  leaving: {
    why: string;
    since: Steady;
    asked: boolean;
    /** It may hold a cancelled task that must soon be gone. */
    overdue?: boolean;
  } | null = null;
  idleSince: Steady | null = null;
  readonly errorJobs = new Map<JobId, Steady>();
  sick = false;
  firstListedAt: Steady | null = null;
  /** Was listed by the cloud long enough, and is missing now: most likely gone. */
  unlisted = false;
  /** Enrolled by an earlier leader. */
  inherited = false;
  /** When a report was last answered by us with authority, and since when without a silence. */
  answeredAt: Steady | null = null;
  answeredSince: Steady | null = null;
  /** Answers with a start in a row that the worker's next report showed no sign of. */
  unheeded = 0;

  constructor(
    public info: MachineInfo,
    public type: MachineType | undefined,
    now: Steady,
  ) {
    this.rentedAt = now;
  }

  get placements(): ReadonlyMap<TaskId, { job: Job; placement: Placement }> {
    return this.placed;
  }

  assign(job: Job, placement: Placement): void {
    this.placed.set(taskId(job.id, placement.index), { job, placement });
    this.changed();
  }

  unassign(job: JobId, index: number): void {
    if (this.placed.delete(taskId(job, index))) this.changed();
  }

  /** What is known of its tasks has changed: sums are made anew, and its next report is looked at in full. */
  changed(): void {
    this.usedMemo = null;
    this.loadMemo = null;
    this.quiet = false;
  }

  load(): Load {
    if (this.loadMemo) return this.loadMemo;
    const load: Load = {
      releasing: nothing(),
      leaving: false,
      fetching: new Map(),
      below: [null, null, null, null],
    };
    for (const { job, placement } of this.placed.values()) {
      const { spec } = job;
      if (!placement.running && !this.hasImage(spec.image)) load.fetching.set(spec.image, spec.imageGb);
      if (placement.stop) {
        add(load.releasing, spec);
        load.leaving = true;
        continue;
      }
      if (placement.unpreemptible) continue;
      for (let rank = priorityRank[job.priority] + 1; rank < load.below.length; rank++)
        add((load.below[rank] ??= nothing()), spec);
    }
    this.loadMemo = load;
    return load;
  }

  get id(): MachineId {
    return this.info.id;
  }

  get schedulable(): boolean {
    // A worker that heeds no command may be deaf: its reports arrive, but answers don't reach it.
    const deaf = this.unheeded >= UNHEEDED_IS_DEAF;
    return this.up && this.settled && this.leaving === null && !this.sick && this.noticeAt === null && !deaf;
  }

  imageList(): [string, number][] {
    return [...this.images];
  }

  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** The worker's cache keeps the most recently used images, as far as they fit. */
  useImage(image: string, gb: number): void {
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
  used(specOf: (job: JobId) => Amounts | null): Amounts {
    if (this.usedMemo !== null) return this.usedMemo;
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const t of this.tasks.values()) {
      if (t.state === 'exited') continue;
      if (this.placements.get(taskId(t.job, t.index))?.placement.attempt === t.attempt) continue;
      const spec = specOf(t.job);
      // A task of a job we no longer know takes an unknown amount: until it is gone, nothing else fits here.
      if (spec === null) return { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };
      add(sum, spec);
    }
    for (const { job, placement } of this.placements.values()) {
      if (this.tasks.get(attemptKey(job.id, placement.index, placement.attempt))?.state !== 'exited')
        add(sum, job.spec);
    }
    this.usedMemo = sum;
    return sum;
  }

  get busy(): boolean {
    if (this.placements.size > 0) return true;
    for (const t of this.tasks.values()) if (t.state !== 'exited') return true;
    return false;
  }
}
