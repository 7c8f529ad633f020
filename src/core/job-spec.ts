/** What users submit, and the records that the key-value store holds of it. */
import type { Resources } from './resources.js';
import type { JobId, Team, MachineTypeName, WallTime, Zone } from './units.js';

/**
 * `array`: independent tasks, each runs to completion. `gang`: all tasks run at the same time or none does. `service`:
 * tasks run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** Work may preempt work of a lower priority. */
export type Priority = 'production' | 'high' | 'normal' | 'low';

/** The greater rank is the more urgent. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** A job as submitted; the amounts are those of one task. */
export interface JobSpec extends Resources {
  id: JobId;
  /** The class of jobs that it belongs to: service-level objectives are set for each class. */
  class: string;
  team: Team;
  kind: JobKind;
  priority: Priority;
  /** Number of tasks, numbered from 0. */
  tasks: number;
  /** The image that a machine must have before a task can start. */
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  types: MachineTypeName[] | null;
  /** The only allowed zone; null: any. */
  zone: Zone | null;
  /** All tasks must be in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  spread: boolean;
  /** May run on spot instances. */
  spot: boolean;
  /** The owner's estimate of a task's run time without the image fetch; 0 for services. */
  estimateS: number;
  /** Interval of progress between checkpoints; 0: a task never saves, and its work is lost when it is stopped. */
  checkpointS: number;
  /** Time that a task needs to save when it is stopped. */
  saveS: number;
  /** When the job should be complete, from its submission; null: it has no deadline. */
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  dependsOn: JobId[];
}

/** The one record that a job has in the key-value store while it is active. */
export interface JobRecord {
  spec: JobSpec;
  submittedAt: WallTime;
  /** When its user asked to cancel it; null while it may run. */
  cancelledAt: WallTime | null;
}

/** How a job ended; it never changes again. */
export type FinalState = 'done' | 'cancelled';

/** The record that takes the place of a job's record once it is over. */
export interface FinalRecord {
  state: FinalState;
  /** Number of tasks. */
  tasks: number;
}
