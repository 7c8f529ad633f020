import type { Amounts, MachineInfo, MachineType, ReportedTask } from './types.js';
import { taskId, type Counter, type JobId, type MachineId, type Steady, type TaskId } from './units.js';
import type { Job, Placement } from './job.js';

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

/** A machine as observed: rented, listed, or known by its worker's reports. */
export class Machine {
  endpointKnown = false;
  up = false;
  rentedAt: Steady;
  session: Counter = 0;
  seq: Counter = 0;
  lastReportAt: Steady | null = null;
  /** Has reported under our token: what it holds is known, and no earlier leader's command can reach it. */
  settled = false;
  /** In the durable roster; no task is started here before. */
  roster: 'none' | 'writing' | 'durable' = 'none';
  /** The last report's tasks, by attempt: two attempts of a task can be listed at once. */
  tasks = new Map<AttemptKey, ReportedTask>();
  /** An order to this worker is on its way. */
  orderOpen = false;
  /** Attempts that must not be forgotten while a lost start could still arrive (it would run them again). */
  readonly unreapable = new Set<AttemptKey>();
  readonly placements = new Map<TaskId, { job: Job; placement: Placement }>();
  private readonly images = new Map<string, number>();
  noticeAt: Steady | null = null;
  noticeEndsAt: Steady | null = null;
  /** Being given back to the cloud: nothing is placed here any more. */
  leaving: { why: string; since: Steady; asked: boolean } | null = null;
  idleSince: Steady | null = null;
  readonly errorJobs = new Map<JobId, Steady>();
  sick = false;
  listedAt: Steady | null = null;

  constructor(
    public info: MachineInfo,
    public type: MachineType | undefined,
    now: Steady,
  ) {
    this.rentedAt = now;
  }

  get id(): MachineId {
    return this.info.id;
  }

  get schedulable(): boolean {
    return this.up && this.settled && this.leaving === null && !this.sick && this.noticeAt === null;
  }

  imageList(): [string, number][] {
    return [...this.images];
  }

  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** The worker's cache keeps the most recently used images, as far as they fit. */
  useImage(image: string, gb: number): void {
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
    return sum;
  }

  get busy(): boolean {
    if (this.placements.size > 0) return true;
    for (const t of this.tasks.values()) if (t.state !== 'exited') return true;
    return false;
  }
}
