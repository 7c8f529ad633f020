/** What workers report to the controllers. */
import type { MachineInfo } from './machine-info.js';
import type { TaskStatus } from './task-status.js';
import type { Uint64, MachineId } from './units.js';

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
