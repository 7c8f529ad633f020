/** Passes priorities and due times from dependent jobs to the jobs that they depend on. */
import type { InheritedUrgency, Job } from '../job.js';
import { priorityRank, type Priority } from '../job-spec.js';
import type { JobId, WallTime } from '../units.js';

/** For each job, the unfinished jobs that depend on it. */
export type Dependents = ReadonlyMap<JobId, ReadonlySet<Job>>;

/**
 * Updates the inherited urgency of all jobs that others depend on. Calls back for each job whose priority has changed.
 */
export const propagateUrgency = (
  dependents: Dependents,
  jobs: ReadonlyMap<JobId, Job>,
  onPriorityChanged: (job: Job) => void,
): void => {
  const visited = new Set<JobId>();
  for (const id of dependents.keys()) {
    const job = jobs.get(id);
    if (job) inheritUrgency(job, dependents, visited, onPriorityChanged);
  }
};

/**
 * Depth-first and iterative, because chains can be long. A job's dependencies exist before the job, so there are no
 * cycles.
 */
const inheritUrgency = (
  job: Job,
  dependents: Dependents,
  visited: Set<JobId>,
  onPriorityChanged: (job: Job) => void,
): void => {
  const stack = [job];
  while (stack.length > 0) {
    const top = stack.at(-1)!;
    const dependentJobs = [...(dependents.get(top.id) ?? [])];
    const unvisited = dependentJobs.find((dependent) => !visited.has(dependent.id));
    if (unvisited) {
      stack.push(unvisited);
      continue;
    }
    stack.pop();
    if (visited.has(top.id)) continue;
    visited.add(top.id);
    const previousPriority = top.priority;
    top.inheritedUrgency = urgencyOf(dependentJobs);
    if (top.priority !== previousPriority) onPriorityChanged(top);
  }
};

/**
 * The highest priority of the dependents, and the latest time at which a job must end so that all of them can be in
 * time.
 */
const urgencyOf = (dependents: readonly Job[]): InheritedUrgency | null => {
  if (dependents.length === 0) return null;
  let priority: Priority = 'low';
  let dueAt = Infinity;
  for (const dependent of dependents) {
    if (dependent.cancelled) continue;
    if (priorityRank[dependent.priority] > priorityRank[priority]) priority = dependent.priority;
    // The job must end before its dependents have to start, according to their owners' run-time estimates.
    if (dependent.dueAt !== null) dueAt = Math.min(dueAt, dependent.dueAt - dependent.spec.estimateS * 1000);
  }
  return { priority, dueAt: dueAt < Infinity ? (dueAt as WallTime) : null };
};
