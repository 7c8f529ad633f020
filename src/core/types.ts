/**
 * The data that modules share: jobs, machines, heartbeats, commands and settings, in the code's own terms. Fields that
 * end in `S` are seconds, in `Ms` milliseconds, in `Gb` gigabytes.
 */
import type {
  Attempt,
  Uint64,
  Endpoint,
  JobId,
  MachineId,
  Revision,
  Team,
  Term,
  MachineTypeName,
  WallTime,
  Zone,
} from './units.js';

/**
 * `array`: independent tasks, each runs to completion. `gang`: all tasks run at the same time or none does. `service`:
 * tasks run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';
/** Work may preempt work of a lower priority. */
export type Priority = 'production' | 'high' | 'normal' | 'low';
/** The greater rank is the more urgent. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** Amounts of what tasks take and machines offer. */
export interface Resources {
  cpus: number;
  /** Accelerators. */
  gpus: number;
  memoryGb: number;
}

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

/** What an empty machine of a type offers, and what it costs. */
export interface MachineType extends Resources {
  name: MachineTypeName;
  /** Size of the image cache. */
  cacheGb: number;
  /** Rate at which images are fetched. */
  fetchGbPerS: number;
  /** Price of an on-demand instance per hour. */
  price: number;
  /** Price of a spot instance per hour. */
  spotPrice: number;
  /** Nominal time from the request until the machine is up. */
  bootS: number;
  /** Zones where the type is offered. */
  zones: Zone[];
}

/** What identifies a machine and never changes while it exists. */
export interface MachineInfo {
  id: MachineId;
  endpoint: Endpoint;
  type: MachineTypeName;
  zone: Zone;
  /** A spot instance: the cloud may take it away after an interruption notice. */
  spot: boolean;
}

/** A machine in the cloud's list, which lags behind. */
export interface ListedMachine extends MachineInfo {
  status: 'starting' | 'running' | 'failed';
  /** Time since it was provisioned. */
  ageS: number;
}

/** A task's state on its machine; `waiting` is for the other members of its gang. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/**
 * Why a task exited. `peers`: another member of its gang is gone; `incomplete`: the gang was not complete in time;
 * `no_room`, `in_use`, `no_such`: the start was refused.
 */
export type ExitCause =
  'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'no_room' | 'in_use' | 'no_such';

/** One attempt of a task in a heartbeat. */
export interface TaskStatus {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  /** Null until the task has exited. */
  cause: ExitCause | null;
  /** Stopped with its progress saved in a checkpoint. */
  saved: boolean;
}

/** A worker's heartbeat with the status of all of its tasks. */
export interface Heartbeat extends MachineInfo {
  /** Rises each time the worker's lease expires. */
  incarnation: Uint64;
  /** Rises with each message of the worker; with the incarnation it tells the newer one. */
  sequence: Uint64;
  /** The highest fencing token that the worker has seen. */
  fencingToken: Uint64;
  /** Time until the cloud takes the machine away; null: there is no notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** A controller's statement that a heartbeat carries the same status as an earlier one, which the leader has processed. */
export interface UnchangedHeartbeat {
  machine: MachineId;
  incarnation: Uint64;
  sequence: Uint64;
  /** The sequence number of the earlier one. */
  baseSequence: Uint64;
}

/** What a worker is told to do; it executes commands in their order. */
export type Command =
  | { op: 'start'; job: JobId; index: number; attempt: Attempt }
  | { op: 'stop'; job: JobId; index: number; attempt: Attempt; gracePeriodS: number }
  /** Removes an exited task from the worker's heartbeats. */
  | { op: 'forget'; job: JobId; index: number; attempt: Attempt };

/** A team's guaranteed amounts and its limits; 0: it has none of this kind. */
export interface TeamQuota {
  name: Team;
  /** Guaranteed CPUs. */
  cpus: number;
  /** Limit on CPUs. */
  cpusMax: number;
  /** Guaranteed accelerators. */
  gpus: number;
  /** Limit on accelerators. */
  gpusMax: number;
}

/** The times that the protocol with the workers is built on. */
export interface WorkerTimings {
  heartbeatIntervalS: number;
  /** A worker ends its tasks when its last answered heartbeat was sent longer ago than this. */
  leaseS: number;
  /** For so long a gang's members wait for one another. */
  gangWaitS: number;
  /** Within this time the members of a gang notice that one is gone, and within this time all of them must be stopped. */
  gangPeerS: number;
  /** Within this time of a confirmed cancellation every task of the job must be gone. */
  cancelS: number;
}

/** One leadership of a controller. */
export interface Leadership {
  term: Term;
  /** Revision of the leader key: a write on the condition that it is unchanged only succeeds under this leadership. */
  keyRevision: Revision;
}
