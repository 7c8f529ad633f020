// What the leader asks the runtime to do, and what it is told at its start.
import type { ScaleOutRequest } from '../scaling/scale-out-plan.js';
import type { Command, JobRecord, MachineInfo, TeamQuota, WorkerTimings, FinalState } from '../types.js';
import type { Uint64, Endpoint, JobId, MachineId, SegmentName, Revision } from '../units.js';

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
  | { kind: 'create-machines'; request: string; order: ScaleOutRequest }
  | { kind: 'delete-machines'; machines: MachineId[] }
  | {
      kind: 'send-direct-commands';
      machine: MachineId;
      endpoint: Endpoint;
      incarnation: Uint64;
      commands: Command[];
    }
  | { kind: 'log'; level: 'info' | 'debug'; fields: Record<string, unknown>; text: string };

export type ImageLocations = Record<string, [string, number][]>;

export interface LeaderSettings {
  workers: WorkerTimings;
  teams: TeamQuota[];
  objectives: { kind: string; class?: string; withinS?: number }[];
  idleHoldS: number;
  capacityRetryS: number;
  /** After so long without a start, a group goes before the others and room is held for it. */
  agingS: number;
  listLagS: number;
  /** Room kept for work still to come, in standard deviations of its arrivals. */
  headroom: number;
  /** Whether one page of the durable roster can name all of these machines within the limit on a value. */
  fitsRegistryPage: (machines: MachineInfo[]) => boolean;
  /** Bytes of completions in one record. */
  segmentBytes: number;
  /** Records of progress written a second, at the most. */
  progressWritesPerS: number;
  /** Machines looked at in one cycle, at the most. */
  cycleWorkLimit: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

export type FinalRecordOutcome =
  | { kind: 'ok'; state: FinalState }
  | { kind: 'retry' }
  | { kind: 'changed'; record: JobRecord; revision: Revision };
