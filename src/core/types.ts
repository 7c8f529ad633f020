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

export type JobKind = 'array' | 'gang' | 'service';
export type Priority = 'production' | 'high' | 'normal' | 'low';
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface JobSpec extends Resources {
  id: JobId;
  class: string;
  team: Team;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  image: string;
  imageGb: number;
  types: MachineTypeName[] | null;
  zone: Zone | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  dependsOn: JobId[];
}

/** The one record that a job has in the state service while it is active. */
export interface JobRecord {
  spec: JobSpec;
  submittedAt: WallTime;
  /** When its user asked to cancel it; null while it may run. */
  cancelledAt: WallTime | null;
}

export type FinalState = 'done' | 'cancelled';
export interface FinalRecord {
  state: FinalState;
  tasks: number;
}

export interface MachineType extends Resources {
  name: MachineTypeName;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: Zone[];
}

export interface MachineInfo {
  id: MachineId;
  endpoint: Endpoint;
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
}

export interface ListedMachine extends MachineInfo {
  status: 'starting' | 'running' | 'failed';
  ageS: number;
}

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitCause =
  'done' | 'stopped' | 'peers' | 'incomplete' | 'error' | 'no_room' | 'in_use' | 'no_such';

export interface TaskStatus {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Heartbeat extends MachineInfo {
  incarnation: Uint64;
  sequence: Uint64;
  fencingToken: Uint64;
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** A controller's word that a report said the same as an earlier one, which the leader has read. */
export interface UnchangedHeartbeat {
  machine: MachineId;
  incarnation: Uint64;
  sequence: Uint64;
  /** The earlier one. */
  baseSequence: Uint64;
}

export type Command =
  | { op: 'start'; job: JobId; index: number; attempt: Attempt }
  | { op: 'stop'; job: JobId; index: number; attempt: Attempt; gracePeriodS: number }
  | { op: 'forget'; job: JobId; index: number; attempt: Attempt };

export interface TeamQuota {
  name: Team;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export interface WorkerTimings {
  heartbeatIntervalS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
}

export interface Leadership {
  term: Term;
  keyRevision: Revision;
}
