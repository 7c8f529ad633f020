/** The newest heartbeat of a worker, with which later ones are ordered and compared. */
import type { Heartbeat } from './heartbeat.js';
import type { TaskStatus } from './task-status.js';
import type { MonotonicTime, Uint64 } from './units.js';

/** A record that is updated in place, since thousands of heartbeats arrive per second. */
export class HeartbeatRecord {
  /** Null before the first heartbeat. */
  receivedAt: MonotonicTime | null = null;
  incarnation: Uint64 = 0;
  /** Sequence number of the newest heartbeat, whether it was received in full or as unchanged. */
  sequence: Uint64 = 0;
  /** Sequence number of the newest heartbeat received in full, which contained the tasks below. */
  processedSequence: Uint64 | null = null;
  tasks: TaskStatus[] = [];

  /** Whether the heartbeat is no newer than the recorded one. */
  supersedes(heartbeat: Heartbeat): boolean {
    if (this.receivedAt === null || heartbeat.incarnation > this.incarnation) return false;
    return heartbeat.incarnation < this.incarnation || heartbeat.sequence <= this.sequence;
  }

  /** Records a heartbeat that was received in full and contains the same tasks as the recorded one. */
  recordSameTasks(sequence: Uint64, now: MonotonicTime): void {
    this.receivedAt = now;
    this.sequence = sequence;
    this.processedSequence = sequence;
  }
}
