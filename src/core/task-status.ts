/** Identifies and compares the task statuses that heartbeats carry. */
import type { TaskStatus } from './types.js';
import type { JobId } from './units.js';

/** Names one attempt of one task. */
export type AttemptKey = string & { readonly attemptKey: unique symbol };
export const attemptKey = (job: JobId, index: number, attempt: number): AttemptKey =>
  `${job}/${index}#${attempt}` as AttemptKey;

/** Whether two status lists name the same attempts, in the same order and states. */
export const sameTaskStatuses = (a: TaskStatus[], b: TaskStatus[]): boolean => {
  if (a.length !== b.length) return false;
  for (let i = 0; i < a.length; i++) {
    const x = a[i];
    const y = b[i];
    if (x.state !== y.state || x.attempt !== y.attempt || x.index !== y.index || x.job !== y.job)
      return false;
  }
  return true;
};
