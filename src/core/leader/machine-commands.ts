/**
 * Derives the commands for a worker from the difference between the tasks placed on its machine and those it reports.
 */
import { attemptKey, type TaskStatus } from '../task-status.js';
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import type { Command } from '../worker-command.js';
import { taskId, type JobId, type MonotonicTime } from '../units.js';

/** A grace period times out after this multiple of its length, plus a margin for the delivery of the command. */
const GRACE_PERIOD_TIMEOUT_FACTOR = 1.5;
const GRACE_PERIOD_TIMEOUT_MARGIN_MS = 4000;

/** The grace period for stopping a task; 0 once the granted grace period has timed out, which ends the task at once. */
const effectiveGracePeriodS = ({ stop }: Placement, now: MonotonicTime): number => {
  if (!stop || stop.gracePeriodS === 0) return 0;
  return now - stop.since >
    stop.gracePeriodS * (GRACE_PERIOD_TIMEOUT_FACTOR * 1000) + GRACE_PERIOD_TIMEOUT_MARGIN_MS
    ? 0
    : stop.gracePeriodS;
};

/** The command for a reported task, if any: stop it, or forget it once it has exited. */
const commandForReported = (
  machine: Machine,
  task: TaskStatus,
  job: Job | undefined,
  placement: Placement | undefined,
  now: MonotonicTime,
): Command | null => {
  const ref = { job: task.job, index: task.index, attempt: task.attempt };
  if (task.state === 'exited') {
    // A completion must not be forgotten before it is durable: until then the worker's heartbeats are its only record.
    if (job && task.cause === 'done' && !job.isDurable(task.index) && !job.finalizing && !job.cancelled)
      return null;
    if (job?.finalizing && task.cause === 'done') return null;
    if (machine.inFlightStarts.has(attemptKey(task.job, task.index, task.attempt))) return null;
    return { op: 'forget', ...ref };
  }
  if (!job || !placement) return { op: 'stop', ...ref, gracePeriodS: 0 };
  if (!placement.stop) return null;
  const gracePeriodS = effectiveGracePeriodS(placement, now);
  if (task.state === 'saving' && gracePeriodS > 0) return null;
  return { op: 'stop', ...ref, gracePeriodS };
};

/** The commands for a machine's worker, to be sent in the reply to a heartbeat or as direct commands. */
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
      // A start without a response could still arrive. Starting and stopping the attempt now leaves it on the worker as
      // exited; it is not forgotten, so a late start has no effect.
      if (placement.directStartOutcomeUnknown)
        commands.push({ op: 'start', ...ref }, { op: 'stop', ...ref, gracePeriodS: 0 });
    } else if (machine.registration.state === 'durable' && machine.decommissioning === null) {
      commands.push({ op: 'start', ...ref });
    }
  }
  return commands;
};
