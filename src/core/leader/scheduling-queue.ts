// The order in which groups are placed: first those that waited long, then by priority and by when they are due.
import { addResources } from '../resources.js';
import { Job } from '../job.js';
import { priorityRank, type Resources } from '../types.js';
import type { MonotonicTime, Team, WallTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const HOPELESS_MS = 86_400_000;

/** Whole groups before those that start piece by piece, which would take the room held for them; then by age. */
const starvingOrder = (a: Job, b: Job): number =>
  Number(b.spec.kind === 'gang') - Number(a.spec.kind === 'gang') ||
  a.record.submittedAt - b.record.submittedAt;

/**
 * Arrays by what is left of them, in steps of a doubling: where not all can be in time, the most are when those that
 * need least go first, and one that has begun ends before the next begins. Groups that start whole go before them.
 */
const workLeft = (job: Job): number =>
  job.spec.kind === 'array' ? Math.round(Math.log2(1 + job.pendingCount * job.spec.estimateS)) : 0;

export class SchedulingQueue {
  readonly finishObjectivesS = new Map<string, number[]>();

  constructor(private readonly state: LeaderState) {
    for (const o of state.settings.objectives) {
      if (o.kind !== 'finished' || o.class === undefined || o.withinS === undefined) continue;
      this.finishObjectivesS.set(o.class, [...(this.finishObjectivesS.get(o.class) ?? []), o.withinS]);
    }
  }

  buildQueue(now: MonotonicTime, wall: WallTime): { queue: Job[]; blocked: Job[] } {
    const queue: Job[] = [];
    const blocked: Job[] = [];
    for (const job of this.state.jobs.values()) {
      if (job.cancelled || job.finalizing || job.pendingCount === 0 || !job.ready) continue;
      const waitedForOthers = job.spec.dependsOn.length > 0;
      const idleMs = job.hasRun || waitedForOthers ? now - job.waitingSince : wall - job.record.submittedAt;
      job.waitedLong = job.placements.size === 0 && idleMs > this.state.settings.agingS * 1000;
      if (this.state.mayRunOnUnreconciledMachine(job)) {
        job.waitReason = { why: 'task may still run on a silent machine' };
      } else if (now < job.errorBackoffUntil) {
        job.waitReason = { why: 'back-off', until: job.errorBackoffUntil as MonotonicTime };
      } else if (this.inBackoff(job, now)) {
        blocked.push(job);
      } else {
        queue.push(job);
      }
    }
    this.chooseStarving(queue);
    const dues = new Map(queue.map((j) => [j, this.due(j, wall)]));
    const due = (j: Job): number => dues.get(j)!;
    queue.sort(
      (a, b) =>
        Number(b.starving) - Number(a.starving) ||
        (a.starving ? starvingOrder(a, b) : 0) ||
        Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
        priorityRank[b.priority] - priorityRank[a.priority] ||
        workLeft(a) - workLeft(b) ||
        due(a) - due(b) ||
        (a.id < b.id ? -1 : 1),
    );
    return { queue, blocked };
  }

  /**
   * Of each class the oldest and the largest group that have waited long go before everybody else: so every class
   * goes on being served, and large groups begin, through bursts of higher priority. Only these: where all are late,
   * priorities still hold among the others.
   */
  private chooseStarving(queue: Job[]): void {
    const oldest = new Map<string, Job>();
    const largest = new Map<string, Job>();
    for (const job of queue) {
      job.starving = false;
      if (!job.waitedLong) continue;
      const { class: name, tasks } = job.spec;
      const old = oldest.get(name);
      if (!old || job.record.submittedAt < old.record.submittedAt) oldest.set(name, job);
      const large = largest.get(name);
      const same = large && tasks === large.spec.tasks;
      if (!large || tasks > large.spec.tasks || (same && job.record.submittedAt < large.record.submittedAt))
        largest.set(name, job);
    }
    for (const job of [...oldest.values(), ...largest.values()]) job.starving = true;
  }

  /**
   * When a job should be over: the nearest aim that it can still meet. One that can meet none goes behind those
   * that can, lest under overload everybody is late in turn.
   */
  private due(job: Job, wall: WallTime): number {
    const { submittedAt } = job.record;
    const aims = this.finishObjectivesS.get(job.spec.class) ?? [];
    const limits = aims.map((s) => submittedAt + s * 1000);
    if (job.dueAt !== null) limits.push(job.dueAt);
    const soonest = wall + job.spec.estimateS * 1000;
    const best = Math.min(...limits.filter((at) => at >= soonest));
    if (best < Infinity) return best;
    return limits.length === 0 ? submittedAt : submittedAt + HOPELESS_MS;
  }

  inBackoff(job: Job, now: MonotonicTime): boolean {
    // Never for one that has waited long: the room held for it would go to others while it is in back-off.
    return (
      !job.waitedLong &&
      now < job.backoffUntil &&
      job.rejectedAtCapacityVersion === this.state.capacityVersion
    );
  }

  teamUsage(): Map<Team, Resources> {
    const usage = new Map<Team, Resources>();
    for (const job of this.state.jobs.values()) {
      let tasks = job.placements.size;
      // Not located: an earlier leader may have started them on a machine that is still silent.
      if (this.state.mayRunOnUnreconciledMachine(job)) tasks += job.pendingCount;
      if (tasks === 0) continue;
      const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
      addResources(used, job.spec, tasks);
      usage.set(job.spec.team, used);
    }
    return usage;
  }
}
