/** The task statuses in heartbeats, and functions to identify and compare them. */
import type { JobId, Attempt } from './units.js';

/** A task's state on its machine. A `waiting` task waits for the other members of its gang. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `peers`: another member of its gang has ended; `incomplete`: the gang was not complete in time;
 * `no_room`, `in_use`, `no_such`: the start was refused.
 */
export type ExitCause =
  'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'no_room' | 'in_use' | 'no_such';

/** The status of one attempt of a task in a heartbeat. */
export interface TaskStatus {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  /** Null until the task has exited. */
  cause: ExitCause | null;
  /** The task was stopped and saved its progress in a checkpoint. */
  saved: boolean;
}

/** Identifies one attempt of one task. */
export type AttemptKey = string & { readonly attemptKey: unique symbol };

/** Builds the key of an attempt. */
export const attemptKey = (job: JobId, index: number, attempt: number): AttemptKey =>
  `${job}/${index}#${attempt}` as AttemptKey;

/** Whether two lists contain the same attempts in the same order and the same states. */
export const sameTaskStatuses = (a: TaskStatus[], b: TaskStatus[]): boolean => {
  if (a.length !== b.length) return false;
  for (let i = 0; i < a.length; i++) {
    const left = a[i];
    const right = b[i];
    if (
      left.state !== right.state ||
      left.attempt !== right.attempt ||
      left.index !== right.index ||
      left.job !== right.job
    )
      return false;
  }
  return true;
};
