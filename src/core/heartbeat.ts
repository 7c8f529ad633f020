/** Heartbeats that workers send to the controllers. */
import type { MachineInfo } from './machine-info.js';
import type { TaskStatus } from './task-status.js';
import type { Uint64, MachineId } from './units.js';

/** A worker's heartbeat with the status of all of its tasks. */
export interface Heartbeat extends MachineInfo {
  /** Increases each time the worker's lease expires. */
  incarnation: Uint64;
  /** Increases with each message of the worker. Messages are ordered by incarnation, then by sequence. */
  sequence: Uint64;
  /** The highest fencing token that the worker has seen. */
  fencingToken: Uint64;
  /** Time until the cloud provider interrupts the spot instance; null without a notice. */
  interruptionNoticeS: number | null;
  tasks: TaskStatus[];
}

/** Notifies the leader of a heartbeat with the same status as an earlier one that the leader has processed. */
export interface UnchangedHeartbeat {
  machine: MachineId;
  incarnation: Uint64;
  sequence: Uint64;
  /** The sequence number of the earlier one. */
  baseSequence: Uint64;
}
