// What the leader asks the runtime to do, and what it is told at its start.
import type { RentOrder } from '../scaling.js';
import type { Command, JobRecord, MachineInfo, TeamLimits, WorkerTimes, FinalState } from '../types.js';
import type { Counter, Endpoint, JobId, MachineId, SegmentName, Stamp } from '../units.js';

export type Effect =
  | { kind: 'finish'; job: JobId; stamp: Stamp; state: FinalState; tasks: number; segments: SegmentName[] }
  /** The final record of a job that others depend on is to be read. */
  | { kind: 'lookup'; job: JobId }
  | { kind: 'progress'; job: JobId; segment: SegmentName; bytes: Uint8Array }
  | { kind: 'roster'; page: string; machines: MachineInfo[] }
  | { kind: 'rent'; request: string; order: RentOrder }
  | { kind: 'return'; machines: MachineId[] }
  | { kind: 'orders'; machine: MachineId; endpoint: Endpoint; session: Counter; commands: Command[] }
  | { kind: 'log'; level: 'info' | 'debug'; fields: Record<string, unknown>; text: string };

export type ImageLocations = Record<string, [string, number][]>;

export interface LeaderSettings {
  workers: WorkerTimes;
  teams: TeamLimits[];
  objectives: { kind: string; class?: string; within_s?: number }[];
  idleHoldS: number;
  capacityRetryS: number;
  /** After so long without a start, a group goes before the others and room is held for it. */
  agingS: number;
  listLagS: number;
  /** Room kept for work still to come, in standard deviations of its arrivals. */
  headroom: number;
  /** Whether one page of the durable roster can name all of these machines within the limit on a value. */
  fitsRosterPage: (machines: MachineInfo[]) => boolean;
  /** Bytes of completions in one record. */
  segmentBytes: number;
  /** Records of progress written a second, at the most. */
  progressRps: number;
  /** Machines looked at in one cycle, at the most. */
  cycleWork: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

export type FinishOutcome =
  | { kind: 'ok'; state: FinalState }
  | { kind: 'retry' }
  | { kind: 'changed'; record: JobRecord; stamp: Stamp };
