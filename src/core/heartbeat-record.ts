/** The newest heartbeat of a worker: what later ones are ordered by and compared with. */
import type { Heartbeat } from './heartbeat.js';
import type { TaskStatus } from './task-status.js';
import type { MonotonicTime, Uint64 } from './units.js';

/** Changed in place, since heartbeats arrive thousands of times a second. */
export class HeartbeatRecord {
  /** Null before the first heartbeat. */
  receivedAt: MonotonicTime | null = null;
  incarnation: Uint64 = 0;
  /** Of the newest heartbeat, whether it came in full or as unchanged. */
  sequence: Uint64 = 0;
  /** Of the newest heartbeat that came in full: its tasks are the ones below. */
  processedSequence: Uint64 | null = null;
  tasks: TaskStatus[] = [];

  /** Whether the heartbeat is no newer than this one. */
  supersedes(heartbeat: Heartbeat): boolean {
    if (this.receivedAt === null || heartbeat.incarnation > this.incarnation) return false;
    return heartbeat.incarnation < this.incarnation || heartbeat.sequence <= this.sequence;
  }

  /** A heartbeat with the same tasks as this one has come in full. */
  recordSameTasks(sequence: Uint64, now: MonotonicTime): void {
    this.receivedAt = now;
    this.sequence = sequence;
    this.processedSequence = sequence;
  }
}
