/** What the leader asks the runtime to do, the results that it gets, and its settings. */
import type { ScaleOutRequest } from '../scaling/scale-out-plan.js';
import type { Heartbeat } from '../heartbeat.js';
import type { FinalState, JobRecord } from '../job-spec.js';
import type { MachineInfo } from '../machine-info.js';
import type { TeamQuota } from '../team-quota.js';
import type { Command } from '../worker-command.js';
import type { WorkerTimings } from '../worker-timings.js';
import type { Uint64, Endpoint, JobId, MachineId, SegmentName, Revision } from '../units.js';

/** Levels of the leader's log events. */
export type LogLevel = 'info' | 'debug';

/** One thing that the runtime is to do. */
export type Effect =
  | {
      kind: 'write-final-record';
      job: JobId;
      revision: Revision;
      state: FinalState;
      tasks: number;
      segments: SegmentName[];
    }
  /** The final record of a job that others depend on is to be read. */
  | { kind: 'read-final-record'; job: JobId }
  | { kind: 'write-progress'; job: JobId; segment: SegmentName; bytes: Uint8Array }
  | { kind: 'write-registry-page'; page: string; machines: MachineInfo[] }
  /** `request` names the order: a repeat under the same name creates no further machines. */
  | { kind: 'create-machines'; requestId: string; request: ScaleOutRequest }
  | { kind: 'delete-machines'; machines: MachineId[] }
  | {
      kind: 'send-direct-commands';
      machine: MachineId;
      endpoint: Endpoint;
      incarnation: Uint64;
      commands: Command[];
    }
  | { kind: 'log'; level: LogLevel; fields: Record<string, unknown>; text: string };

/** The outcome of writing a job's final record. */
export type FinalRecordOutcome =
  | { kind: 'ok'; state: FinalState }
  | { kind: 'retry' }
  | { kind: 'changed'; record: JobRecord; revision: Revision };

/** The outcome of a request for machines; after `retry` the same request is to be made again. */
export type ScaleOutOutcome = { machines: MachineId[] } | 'no-capacity' | 'retry';

/**
 * The outcome of commands that went straight to a worker. The worker's answer holds a heartbeat, unless that could not be
 * read; `unsent` commands certainly didn't reach it.
 */
export type DirectCommandResult =
  { kind: 'executed' | 'refused'; heartbeat: Heartbeat | null } | { kind: 'unsent' } | { kind: 'unknown' };

/** The images in each machine's cache, with their sizes. */
export type ImageLocations = Record<string, [string, number][]>;

/** The settings of a leader, the same as long as it leads. */
export interface LeaderSettings {
  workers: WorkerTimings;
  teams: TeamQuota[];
  objectives: { kind: string; class?: string; withinS?: number }[];
  /** How long an idle machine is kept. */
  idleHoldS: number;
  /** How long the operators want the cloud provider left alone after it had no capacity. */
  capacityRetryS: number;
  /** After this long without a start, a job goes before the others and capacity is reserved for it. */
  agingS: number;
  /** By how much the cloud provider's list of machines lags. */
  listLagS: number;
  /** Capacity kept for work still to come, in standard deviations of its arrivals. */
  headroom: number;
  /** Whether one page of the machine registry can name all of these machines within the limit on a value. */
  fitsRegistryPage: (machines: MachineInfo[]) => boolean;
  /** Bytes of completions in one record. */
  segmentBytes: number;
  /** Records of progress written a second, at the most. */
  progressWritesPerS: number;
  /** Machines examined in one scheduling cycle, at the most. */
  maxMachineEvaluationsPerCycle: number;
  /** Uniform in [0, 1). */
  random: () => number;
}
