/** Identifies and compares the task statuses that heartbeats carry. */
import type { TaskStatus } from './types.js';
import type { JobId } from './units.js';

/** Names one attempt of one task. */
export type AttemptKey = string & { readonly attemptKey: unique symbol };

/** The key of this attempt. */
export const attemptKey = (job: JobId, index: number, attempt: number): AttemptKey =>
  `${job}/${index}#${attempt}` as AttemptKey;

/** Whether two status lists name the same attempts, in the same order and states. */
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
