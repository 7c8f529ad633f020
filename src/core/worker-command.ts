/** Commands to workers. */
import type { Attempt, JobId } from './units.js';

/** What a worker is told to do; it executes commands in their order. */
export type Command =
  | { op: 'start'; job: JobId; index: number; attempt: Attempt }
  | { op: 'stop'; job: JobId; index: number; attempt: Attempt; gracePeriodS: number }
  /** Removes an exited task from the worker's heartbeats. */
  | { op: 'forget'; job: JobId; index: number; attempt: Attempt };
