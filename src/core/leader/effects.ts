/** The effects that the leader requests from the runtime, the results that it receives, and its settings. */
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

/** An action that the runtime must execute for the leader. */
export type Effect =
  | {
      kind: 'write-final-record';
      job: JobId;
      revision: Revision;
      state: FinalState;
      tasks: number;
      segments: SegmentName[];
    }
  /** Reads the final record of a job that other jobs depend on. */
  | { kind: 'read-final-record'; job: JobId }
  | { kind: 'write-progress'; job: JobId; segment: SegmentName; bytes: Uint8Array }
  | { kind: 'write-registry-page'; page: string; machines: MachineInfo[] }
  /** The request is idempotent: another one with the same `requestId` creates no further machines. */
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

/** The result of writing a job's final record; `changed` if its active record had another revision. */
export type FinalRecordOutcome =
  | { kind: 'ok'; state: FinalState }
  | { kind: 'retry' }
  | { kind: 'changed'; record: JobRecord; revision: Revision };

/** The result of a scale-out request; after `retry` the same request must be sent again. */
export type ScaleOutOutcome = { machines: MachineId[] } | 'no-capacity' | 'retry';

/**
 * The result of commands sent directly to a worker. The response contains a heartbeat, which is null if it could not be
 * parsed. `unsent` commands certainly did not reach the worker; `unknown` ones may have.
 */
export type DirectCommandResult =
  { kind: 'executed' | 'refused'; heartbeat: Heartbeat | null } | { kind: 'unsent' } | { kind: 'unknown' };

/** The images in each machine's cache, with their sizes. */
export type ImageLocations = Record<string, [string, number][]>;

/** The settings of a leader. They do not change during a leadership. */
export interface LeaderSettings {
  workers: WorkerTimings;
  teams: TeamQuota[];
  objectives: { kind: string; class?: string; withinS?: number }[];
  /** How long a machine stays idle before it is scaled in. */
  idleHoldS: number;
  /** Initial back-off of scale-out requests after the cloud provider had no capacity. */
  capacityRetryS: number;
  /** After waiting this long, a job can be placed ahead of the others, with capacity reserved for it. */
  agingS: number;
  /** Maximum lag of the cloud provider's list of machines. */
  listLagS: number;
  /** Spare capacity for forecast work, in standard deviations of the job arrivals. */
  headroom: number;
  /**
   * Whether all of these machines fit on one page of the machine registry, given the key-value store's limit on a
   * value.
   */
  fitsRegistryPage: (machines: MachineInfo[]) => boolean;
  /** Size of one segment of a job's progress. */
  segmentBytes: number;
  /** Maximum number of progress records written per second. */
  progressWritesPerS: number;
  /** Maximum number of machine evaluations in one scheduling cycle. */
  maxMachineEvaluationsPerCycle: number;
  /** Returns a random number, uniform in [0, 1). */
  random: () => number;
}
