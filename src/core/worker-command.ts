/** Commands to workers. */
import type { Attempt, JobId } from './units.js';

/** A command to a worker. Workers execute commands in the order in which they are sent. */
export type Command =
  | { op: 'start'; job: JobId; index: number; attempt: Attempt }
  | { op: 'stop'; job: JobId; index: number; attempt: Attempt; gracePeriodS: number }
  /** Removes an exited task from the worker's heartbeats. */
  | { op: 'forget'; job: JobId; index: number; attempt: Attempt };
