/** Predicts which jobs will miss their deadlines, as far as their owners' estimates tell, through DAG dependencies too. */
import type { Job } from '../job.js';
import type { JobId, MonotonicTime, WallTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const UPDATE_INTERVAL_MS = 2000;

/** Seconds that a job still takes from the moment at which it is ready, if nothing holds it up. */
const remainingS = (job: Job, now: MonotonicTime): number => {
  let longest = job.pendingCount > 0 ? job.spec.estimateS : 0;
  for (const { running, runningSince } of job.placements.values()) {
    const ranS = running && runningSince !== null ? (now - runningSince) / 1000 : 0;
    longest = Math.max(longest, job.spec.estimateS - ranS);
  }
  return longest;
};

/** Predicts when jobs with a deadline end, and logs when a prediction turns. */
export class DeadlinePredictor {
  private lastUpdatedAt = -Infinity;

  constructor(private readonly state: LeaderState) {}

  /** Predicts anew, if that is due. */
  update(now: MonotonicTime, wallTime: WallTime): void {
    if (now - this.lastUpdatedAt < UPDATE_INTERVAL_MS) return;
    this.lastUpdatedAt = now;
    const ends = new Map<JobId, number>();
    for (const job of this.state.jobs.values()) {
      if (job.spec.deadlineS === null || job.cancelled || job.finalizing) continue;
      const dueAt = job.record.submittedAt + job.spec.deadlineS * 1000;
      this.recordPrediction(job, (this.predictedEnd(job, ends, now, wallTime) - dueAt) / 1000);
    }
  }

  /** The end of the longest path through the jobs that it waits for; a chain needs no recursion. */
  private predictedEnd(job: Job, ends: Map<JobId, number>, now: MonotonicTime, wallTime: WallTime): number {
    const stack = [job];
    while (stack.length > 0) {
      const top = stack.at(-1)!;
      const dependencies = [...top.unfinishedDependencies].flatMap((id) => this.state.jobs.get(id) ?? []);
      const unpredicted = dependencies.find((other) => !ends.has(other.id));
      if (unpredicted) {
        stack.push(unpredicted);
        continue;
      }
      stack.pop();
      const readyAt = Math.max(wallTime, ...dependencies.map((other) => ends.get(other.id)!));
      ends.set(top.id, readyAt + remainingS(top, now) * 1000);
    }
    return ends.get(job.id)!;
  }

  private recordPrediction(job: Job, lateS: number): void {
    const isLate = lateS > 0;
    if (isLate !== (job.predictedLateS !== null)) {
      const fields = { job: job.id, class: job.spec.class, lateS: Math.round(lateS), priority: job.priority };
      this.state.log('info', fields, isLate ? 'job will miss its deadline' : 'job is in time again');
    }
    job.predictedLateS = isLate ? Math.round(lateS) : null;
  }
}
