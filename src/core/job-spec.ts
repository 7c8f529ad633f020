/** Jobs as users submit them, and their records in the key-value store. */
import type { Resources } from './resources.js';
import type { JobId, Team, MachineTypeName, WallTime, Zone } from './units.js';

/**
 * `array`: independent tasks, each runs to completion. `gang`: all tasks run at the same time or none does. `service`:
 * tasks run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** A job may preempt jobs of a lower priority. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** A higher rank is more urgent. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** A job as submitted; the amounts are those of one task. */
export interface JobSpec extends Resources {
  id: JobId;
  /** The class of the job. Service-level objectives are set for each class. */
  class: string;
  team: Team;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks, numbered from 0. */
  tasks: number;
  /** The image that a machine must have before a task can start. */
  image: string;
  imageGb: number;
  /** Allowed machine types; null allows any type. */
  types: MachineTypeName[] | null;
  /** The only allowed zone; null allows any zone. */
  zone: Zone | null;
  /** All tasks must be in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** Whether the tasks may run on spot instances. */
  spot: boolean;
  /** The owner's estimate of a task's run time without the image fetch; 0 for services. */
  estimateS: number;
  /** Interval of progress between checkpoints; 0 if tasks never save, and so lose their work when they are stopped. */
  checkpointS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  saveS: number;
  /** Time from submission until the job should be complete; null for a job without a deadline. */
  deadlineS: number | null;
  /** Jobs that must be done before any task of this job starts. */
  dependsOn: JobId[];
}

/** The only record of an active job in the key-value store. */
export interface JobRecord {
  spec: JobSpec;
  submittedAt: WallTime;
  /** When the user requested the cancellation; null if the job is not cancelled. */
  cancelledAt: WallTime | null;
}

/** How a job ended. This state is final. */
export type FinalState = 'done' | 'cancelled';

/** The record that replaces a job's record when the job ends. */
export interface FinalRecord {
  state: FinalState;
  /** Number of tasks. */
  tasks: number;
}
