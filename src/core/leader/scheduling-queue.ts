/** The order in which jobs are placed: starving jobs first, then by priority and due time. */
import { addResources, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { MonotonicTime, Team, WallTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/** A job that can no longer meet any deadline or objective is treated as due this long after its submission. */
const UNATTAINABLE_DUE_DELAY_MS = 86_400_000;

/** Gangs first, then by age. Jobs that start task by task would otherwise take the capacity reserved for gangs. */
const starvingOrder = (a: Job, b: Job): number =>
  Number(b.spec.kind === 'gang') - Number(a.spec.kind === 'gang') ||
  a.record.submittedAt - b.record.submittedAt;

/**
 * Remaining work of an array, in steps of a factor of two; 0 for gangs and services, which go before arrays. If not all
 * arrays can meet their deadlines, the most do when those with the least remaining work go first, and an array that
 * has started ends before the next one starts.
 */
const remainingWorkBucket = (job: Job): number =>
  job.spec.kind === 'array' ? Math.round(Math.log2(1 + job.pendingCount * job.spec.estimateS)) : 0;

/** Builds the scheduling queue from the jobs with pending tasks. */
export class SchedulingQueue {
  /** Service-level objectives by class of jobs: allowed seconds from submission to the end. */
  readonly finishObjectivesS = new Map<string, number[]>();

  constructor(private readonly state: LeaderState) {
    for (const { kind, class: name, withinS } of state.settings.objectives) {
      if (kind !== 'finished' || name === undefined || withinS === undefined) continue;
      this.finishObjectivesS.set(name, [...(this.finishObjectivesS.get(name) ?? []), withinS]);
    }
  }

  /** The jobs to be placed, in order, and the jobs with pending tasks that are in back-off. */
  buildQueue(now: MonotonicTime, wallTime: WallTime): { queue: Job[]; backedOff: Job[] } {
    const queue: Job[] = [];
    const backedOff: Job[] = [];
    for (const job of this.state.jobs.values()) {
      if (job.cancelled || job.finalizing || job.pendingCount === 0 || !job.ready) continue;
      job.waitedLong = this.hasWaitedLong(job, now, wallTime);
      if (this.state.mayRunOnUnreconciledMachine(job)) {
        job.waitReason = { why: 'task may still run on a silent machine' };
      } else if (now < job.errorBackoffUntil) {
        job.waitReason = { why: 'back-off', until: job.errorBackoffUntil as MonotonicTime };
      } else if (this.inBackoff(job, now)) {
        backedOff.push(job);
      } else {
        queue.push(job);
      }
    }
    this.markStarving(queue);
    this.sort(queue, wallTime);
    return { queue, backedOff };
  }

  private hasWaitedLong(job: Job, now: MonotonicTime, wallTime: WallTime): boolean {
    const countsFromWaitingSince = job.hasRun || job.spec.dependsOn.length > 0;
    const waitedMs = countsFromWaitingSince ? now - job.waitingSince : wallTime - job.record.submittedAt;
    return job.placements.size === 0 && waitedMs > this.state.settings.agingS * 1000;
  }

  private sort(queue: Job[], wallTime: WallTime): void {
    const dueTimes = new Map(queue.map((job) => [job, this.dueTime(job, wallTime)]));
    queue.sort(
      (a, b) =>
        Number(b.starving) - Number(a.starving) ||
        (a.starving ? starvingOrder(a, b) : 0) ||
        Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
        priorityRank[b.priority] - priorityRank[a.priority] ||
        remainingWorkBucket(a) - remainingWorkBucket(b) ||
        dueTimes.get(a)! - dueTimes.get(b)! ||
        (a.id < b.id ? -1 : 1),
    );
  }

  /**
   * Marks the oldest and the largest long-waiting job of each class as starving, which puts them first in the queue.
   * Each class thus makes progress, and large jobs start, during bursts of higher priority. Only these two are marked,
   * so that priorities still apply to the others when all jobs are late.
   */
  private markStarving(queue: Job[]): void {
    const oldest = new Map<string, Job>();
    const largest = new Map<string, Job>();
    for (const job of queue) {
      job.starving = false;
      if (!job.waitedLong) continue;
      const { class: name, tasks } = job.spec;
      const currentOldest = oldest.get(name);
      if (!currentOldest || job.record.submittedAt < currentOldest.record.submittedAt) oldest.set(name, job);
      const currentLargest = largest.get(name);
      const isSameSize = currentLargest && tasks === currentLargest.spec.tasks;
      if (
        !currentLargest ||
        tasks > currentLargest.spec.tasks ||
        (isSameSize && job.record.submittedAt < currentLargest.record.submittedAt)
      )
        largest.set(name, job);
    }
    for (const job of [...oldest.values(), ...largest.values()]) job.starving = true;
  }

  /**
   * The due time of a job: the nearest objective or deadline that it can still meet. Jobs that can meet none go after
   * those that can; otherwise under overload each job in turn would be late.
   */
  private dueTime(job: Job, wallTime: WallTime): number {
    const { submittedAt } = job.record;
    const objectivesS = this.finishObjectivesS.get(job.spec.class) ?? [];
    const dueTimes = objectivesS.map((objectiveS) => submittedAt + objectiveS * 1000);
    if (job.dueAt !== null) dueTimes.push(job.dueAt);
    const earliestEnd = wallTime + job.spec.estimateS * 1000;
    const nearest = Math.min(...dueTimes.filter((at) => at >= earliestEnd));
    if (nearest < Infinity) return nearest;
    return dueTimes.length === 0 ? submittedAt : submittedAt + UNATTAINABLE_DUE_DELAY_MS;
  }

  /** Whether the job was recently rejected and no capacity has been gained since. */
  inBackoff(job: Job, now: MonotonicTime): boolean {
    // A job that has waited long is never in back-off, as other jobs would take the capacity reserved for it.
    return (
      !job.waitedLong &&
      now < job.backoffUntil &&
      job.rejectedAtCapacityVersion === this.state.capacityVersion
    );
  }

  /** The resources that each team's tasks use, which count against its quota. */
  teamUsage(): Map<Team, Resources> {
    const usage = new Map<Team, Resources>();
    for (const job of this.state.jobs.values()) {
      let tasks = job.placements.size;
      // An earlier leader may have started the pending tasks on a machine that is not yet reconciled.
      if (this.state.mayRunOnUnreconciledMachine(job)) tasks += job.pendingCount;
      if (tasks === 0) continue;
      const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
      addResources(used, job.spec, tasks);
      usage.set(job.spec.team, used);
    }
    return usage;
  }
}
