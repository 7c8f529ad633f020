/** Compares the wanted tasks of a machine with those reported: which commands its worker must be sent now. */
import { attemptKey, type TaskStatus } from '../task-status.js';
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import type { Command } from '../worker-command.js';
import { taskId, type JobId, type MonotonicTime } from '../units.js';

/** Grace ends after this multiple of what was granted, and a margin for the command's way to the worker. */
const GRACE_PERIOD_TIMEOUT_FACTOR = 1.5;
const GRACE_PERIOD_TIMEOUT_MARGIN_MS = 4000;

/** A task that was told to stop with time to save, and whose time is well over, is ended without. */
const remainingGracePeriodS = ({ stop }: Placement, now: MonotonicTime): number => {
  if (!stop || stop.gracePeriodS === 0) return 0;
  return now - stop.since >
    stop.gracePeriodS * (GRACE_PERIOD_TIMEOUT_FACTOR * 1000) + GRACE_PERIOD_TIMEOUT_MARGIN_MS
    ? 0
    : stop.gracePeriodS;
};

/** The command for a reported task, if any: to stop it, or to forget it once it has exited. */
const commandForReported = (
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  placement: Placement | undefined,
  now: MonotonicTime,
): Command | null => {
  const ref = { job: task.job, index: task.index, attempt: task.attempt };
  if (task.state === 'exited') {
    // A completion is forgotten only once it is durable: until then this heartbeat is the only proof of it.
    if (job && task.cause === 'done' && !job.isDurable(task.index) && !job.finalizing && !job.cancelled)
      return null;
    if (job?.finalizing && task.cause === 'done') return null;
    if (machine.inFlightStarts.has(attemptKey(task.job, task.index, task.attempt))) return null;
    return { op: 'forget', ...ref };
  }
  if (!job || !placement) return { op: 'stop', ...ref, gracePeriodS: 0 };
  if (!placement.stop) return null;
  const gracePeriodS = remainingGracePeriodS(placement, now);
  if (task.state === 'saving' && gracePeriodS > 0) return null;
  return { op: 'stop', ...ref, gracePeriodS };
};

/** Commands for the reply to a heartbeat, or for a direct command. */
export const commandsForMachine = (
  machine: Machine,
  jobs: Map<JobId, Job>,
  now: MonotonicTime,
): Command[] => {
  const commands: Command[] = [];
  for (const task of machine.reportedTasks.values()) {
    const placed = machine.placements.get(taskId(task.job, task.index));
    const current = placed && placed.placement.attempt === task.attempt ? placed.placement : undefined;
    const command = commandForReported(machine, task, jobs.get(task.job), current, now);
    if (command) commands.push(command);
  }
  for (const { job, placement } of machine.placements.values()) {
    if (machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt))) continue;
    const ref = { job: job.id, index: placement.index, attempt: placement.attempt };
    if (placement.stop) {
      // A lost start could arrive at any time. Starting and stopping the attempt here and now leaves it behind
      // as exited and never forgotten, and then the late start does nothing.
      if (placement.directStartOutcomeUnknown)
        commands.push({ op: 'start', ...ref }, { op: 'stop', ...ref, gracePeriodS: 0 });
    } else if (machine.registration.state === 'durable' && machine.decommissioning === null) {
      commands.push({ op: 'start', ...ref });
    }
  }
  return commands;
};
