/**
 * Predicts from the owners' run-time estimates which jobs will miss their deadlines, including their DAG dependencies.
 */
import type { Job } from '../job.js';
import type { JobId, MonotonicTime, WallTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const PREDICTION_INTERVAL_MS = 2000;

/** Remaining run time of a job once its dependencies are done, assuming that its tasks are placed without delay. */
const remainingS = (job: Job, now: MonotonicTime): number => {
  let longestS = job.pendingCount > 0 ? job.spec.estimateS : 0;
  for (const { running, runningSince } of job.placements.values()) {
    const ranS = running && runningSince !== null ? (now - runningSince) / 1000 : 0;
    longestS = Math.max(longestS, job.spec.estimateS - ranS);
  }
  return longestS;
};

/** Predicts the end of each job with a deadline, and logs each change between late and in time. */
export class DeadlinePredictor {
  private lastUpdatedAt = -Infinity;

  constructor(private readonly state: LeaderState) {}

  /** Updates all predictions, if an update is due. */
  update(now: MonotonicTime, wallTime: WallTime): void {
    if (now - this.lastUpdatedAt < PREDICTION_INTERVAL_MS) return;
    this.lastUpdatedAt = now;
    const predictedEnds = new Map<JobId, number>();
    for (const job of this.state.jobs.values()) {
      if (job.spec.deadlineS === null || job.cancelled || job.finalizing) continue;
      const dueAt = job.record.submittedAt + job.spec.deadlineS * 1000;
      this.recordPrediction(job, (this.predictedEnd(job, predictedEnds, now, wallTime) - dueAt) / 1000);
    }
  }

  /** Predicted end along the longest path through the job's dependencies. Iterative, because chains can be long. */
  private predictedEnd(
    job: Job,
    predictedEnds: Map<JobId, number>,
    now: MonotonicTime,
    wallTime: WallTime,
  ): number {
    const stack = [job];
    while (stack.length > 0) {
      const top = stack.at(-1)!;
      const dependencies = [...top.unfinishedDependencies].flatMap((id) => this.state.jobs.get(id) ?? []);
      const unpredicted = dependencies.find((other) => !predictedEnds.has(other.id));
      if (unpredicted) {
        stack.push(unpredicted);
        continue;
      }
      stack.pop();
      const readyAt = Math.max(wallTime, ...dependencies.map((other) => predictedEnds.get(other.id)!));
      predictedEnds.set(top.id, readyAt + remainingS(top, now) * 1000);
    }
    return predictedEnds.get(job.id)!;
  }

  private recordPrediction(job: Job, lateS: number): void {
    const isLate = lateS > 0;
    if (isLate !== (job.predictedLateS !== null)) {
      const fields = { job: job.id, class: job.spec.class, lateS: Math.round(lateS), priority: job.priority };
      this.state.log(
        'info',
        fields,
        isLate ? 'job is predicted to miss its deadline' : 'job is predicted to meet its deadline again',
      );
    }
    job.predictedLateS = isLate ? Math.round(lateS) : null;
  }
}
