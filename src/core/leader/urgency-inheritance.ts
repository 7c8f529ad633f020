/** Passes priorities and due times from the jobs that depend on others to those others. */
import type { InheritedUrgency, Job } from '../job.js';
import { priorityRank, type Priority } from '../job-spec.js';
import type { JobId, WallTime } from '../units.js';

/** The unfinished jobs that depend on others, by what they depend on. */
export type Dependents = ReadonlyMap<JobId, ReadonlySet<Job>>;

/** Updates the inherited urgency of the jobs that others depend on, and reports those whose priority has changed. */
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

/** Depth first. Dependencies were accepted before, so there are no cycles; long chains need no recursion. */
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

/** The highest of the priorities, and the earliest time by which a job must be over for all of these to be in time. */
const urgencyOf = (dependents: readonly Job[]): InheritedUrgency | null => {
  if (dependents.length === 0) return null;
  let priority: Priority = 'low';
  let dueAt = Infinity;
  for (const dependent of dependents) {
    if (dependent.cancelled) continue;
    if (priorityRank[dependent.priority] > priorityRank[priority]) priority = dependent.priority;
    // The job has to be over when those after it must begin, by their owners' estimates.
    if (dependent.dueAt !== null) dueAt = Math.min(dueAt, dependent.dueAt - dependent.spec.estimateS * 1000);
  }
  return { priority, dueAt: dueAt < Infinity ? (dueAt as WallTime) : null };
};
