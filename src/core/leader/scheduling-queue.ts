/** The order in which jobs are placed: first those that waited long, then by priority and by when they are due. */
import { addResources, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import { priorityRank } from '../job-spec.js';
import type { MonotonicTime, Team, WallTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/** A job that can't be in time any more counts as due this long after its submission. */
const UNATTAINABLE_DUE_DELAY_MS = 86_400_000;

/** Gangs before jobs that start task by task, which would take the capacity reserved for them; then by age. */
const starvingOrder = (a: Job, b: Job): number =>
  Number(b.spec.kind === 'gang') - Number(a.spec.kind === 'gang') ||
  a.record.submittedAt - b.record.submittedAt;

/**
 * Arrays by what is left of them, in steps of a doubling: where not all can be in time, the most are when those that
 * need least go first, and one that has begun ends before the next begins. Gangs and services go before them.
 */
const remainingWorkBucket = (job: Job): number =>
  job.spec.kind === 'array' ? Math.round(Math.log2(1 + job.pendingCount * job.spec.estimateS)) : 0;

/** Queues the jobs with pending tasks. */
export class SchedulingQueue {
  /** Service-level objectives by class: seconds from submission to the end. */
  readonly finishObjectivesS = new Map<string, number[]>();

  constructor(private readonly state: LeaderState) {
    for (const { kind, class: name, withinS } of state.settings.objectives) {
      if (kind !== 'finished' || name === undefined || withinS === undefined) continue;
      this.finishObjectivesS.set(name, [...(this.finishObjectivesS.get(name) ?? []), withinS]);
    }
  }

  /** The jobs to be placed, in order; `backedOff` ones have pending tasks as well, but are in back-off. */
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
   * Of each class the oldest and the largest job that have waited long go before everybody else: so every class
   * goes on being served, and large jobs begin, through bursts of higher priority. Only these: where all are late,
   * priorities still hold among the others.
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
   * When a job should be over: the nearest objective or deadline that it can still meet. One that can meet none goes behind those
   * that can, lest under overload everybody is late in turn.
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

  /** Whether the job was rejected a moment ago, and no capacity was gained since. */
  inBackoff(job: Job, now: MonotonicTime): boolean {
    // Never for one that has waited long: the capacity reserved for it would go to others while it is in back-off.
    return (
      !job.waitedLong &&
      now < job.backoffUntil &&
      job.rejectedAtCapacityVersion === this.state.capacityVersion
    );
  }

  /** What each team's tasks take, against its quota. */
  teamUsage(): Map<Team, Resources> {
    const usage = new Map<Team, Resources>();
    for (const job of this.state.jobs.values()) {
      let tasks = job.placements.size;
      // Not located: an earlier leader may have started them on a machine that is not yet reconciled.
      if (this.state.mayRunOnUnreconciledMachine(job)) tasks += job.pendingCount;
      if (tasks === 0) continue;
      const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
      addResources(used, job.spec, tasks);
      usage.set(job.spec.team, used);
    }
    return usage;
  }
}
