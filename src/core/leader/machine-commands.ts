// Wanted against actual, for one machine: what its worker must be told now.
import { attemptKey } from '../task-status.js';
import { type Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import type { Command, TaskStatus } from '../types.js';
import { taskId, type JobId, type MonotonicTime } from '../units.js';

const REPEAT_GRACE_MS = 4000;

/** Told to stop with time to save, and that time is well over: it is ended without. */
const graceLeft = (p: Placement, now: MonotonicTime): number => {
  if (!p.stop || p.stop.graceS === 0) return 0;
  return now - p.stop.since > p.stop.graceS * 1500 + REPEAT_GRACE_MS ? 0 : p.stop.graceS;
};

const forReported = (
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  placement: Placement | undefined,
  now: MonotonicTime,
): Command | null => {
  const ref = { job: task.job, index: task.index, attempt: task.attempt };
  if (task.state === 'exited') {
    // A completion is forgotten only once it is durable: until then this report is the only proof of it.
    if (job && task.cause === 'done' && !job.isDurable(task.index) && !job.finalizing && !job.cancelled)
      return null;
    if (job?.finalizing && task.cause === 'done') return null;
    if (machine.inFlightStarts.has(attemptKey(task.job, task.index, task.attempt))) return null;
    return { op: 'forget', ...ref };
  }
  if (!job || !placement) return { op: 'stop', ...ref, gracePeriodS: 0 };
  if (!placement.stop) return null;
  const graceS = graceLeft(placement, now);
  if (task.state === 'saving' && graceS > 0) return null;
  return { op: 'stop', ...ref, gracePeriodS: graceS };
};

/** Commands for the answer to a report, or for an order sent straight to the worker. */
export const commandsForMachine = (
  machine: Machine,
  jobs: Map<JobId, Job>,
  now: MonotonicTime,
): Command[] => {
  const commands: Command[] = [];
  for (const task of machine.reportedTasks.values()) {
    const placed = machine.placements.get(taskId(task.job, task.index));
    const own = placed && placed.placement.attempt === task.attempt ? placed.placement : undefined;
    const c = forReported(machine, task, jobs.get(task.job), own, now);
    if (c) commands.push(c);
  }
  for (const { job, placement } of machine.placements.values()) {
    if (machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt))) continue;
    const ref = { job: job.id, index: placement.index, attempt: placement.attempt };
    if (placement.stop) {
      // A lost start could arrive at any time. Starting and stopping the attempt here and now leaves it behind
      // as exited and never forgotten, and then the late start does nothing.
      if (placement.directStartOutcomeUnknown)
        commands.push({ op: 'start', ...ref }, { op: 'stop', ...ref, gracePeriodS: 0 });
    } else if (machine.registration === 'durable' && machine.decommissioning === null) {
      commands.push({ op: 'start', ...ref });
    }
  }
  return commands;
};
