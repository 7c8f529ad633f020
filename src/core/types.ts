import type {
  Attempt,
  Counter,
  Endpoint,
  JobId,
  MachineId,
  Stamp,
  Team,
  Term,
  TypeName,
  WallTime,
  Zone,
} from './units.js';

export type Kind = 'array' | 'gang' | 'service';
export type Priority = 'production' | 'high' | 'normal' | 'low';
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface JobSpec extends Amounts {
  id: JobId;
  class: string;
  team: Team;
  kind: Kind;
  priority: Priority;
  tasks: number;
  image: string;
  imageGb: number;
  types: TypeName[] | null;
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

export interface MachineType extends Amounts {
  name: TypeName;
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
  type: TypeName;
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

export interface ReportedTask {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Report extends MachineInfo {
  session: Counter;
  seq: Counter;
  token: Counter;
  noticeS: number | null;
  tasks: ReportedTask[];
}

/** A controller's word that a report said the same as an earlier one, which the leader has read. */
export interface UnchangedReport {
  machine: MachineId;
  session: Counter;
  seq: Counter;
  /** The earlier one. */
  base: Counter;
}

export type Command =
  | { op: 'start'; job: JobId; index: number; attempt: Attempt }
  | { op: 'stop'; job: JobId; index: number; attempt: Attempt; graceS: number }
  | { op: 'forget'; job: JobId; index: number; attempt: Attempt };

export interface TeamLimits {
  name: Team;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export interface WorkerTimes {
  reportS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
}

export interface Leadership {
  term: Term;
  keyStamp: Stamp;
}
