/**
 * Tracks whether a worker receives the replies to its heartbeats. Received heartbeats don't prove this: in a one-way
 * partition they arrive while all replies are lost.
 */
import type { MonotonicTime } from './units.js';

/** After this number of consecutive replies with a start that took no effect, no task is placed on the machine. */
export const UNACKNOWLEDGED_REPLIES_LIMIT = 2;

/** A worker stops waiting for a reply after this time (PROTOCOL, workers). */
export const REPLY_TIMEOUT_MS = 4000;

/** The replies to one worker that the leader sent while it had authority. */
export class ReplyTracker {
  /** Consecutive replies with a start that the worker's next heartbeat did not acknowledge. */
  private unacknowledged = 0;
  private lastReplyAt: MonotonicTime | null = null;
  /** When the current series of replies without a gap began. */
  private gaplessSince: MonotonicTime | null = null;

  /** Whether the replies appear to be lost. */
  get isUnacknowledged(): boolean {
    return this.unacknowledged >= UNACKNOWLEDGED_REPLIES_LIMIT;
  }

  /** How long replies have been sent without a gap. */
  get gaplessMs(): number {
    return this.lastReplyAt === null || this.gaplessSince === null ? 0 : this.lastReplyAt - this.gaplessSince;
  }

  /** Whether the last reply is recent enough for a reply sent now to follow it without a gap. */
  hasNoGap(maxGapMs: number, now: MonotonicTime): boolean {
    return this.lastReplyAt !== null && now - this.lastReplyAt <= maxGapMs;
  }

  /** Records a reply. After a gap, a new series begins: heartbeats that arrive then may have been delayed for long. */
  recordReply(maxGapMs: number, now: MonotonicTime): void {
    if (!this.hasNoGap(maxGapMs, now)) this.gaplessSince = now;
    this.lastReplyAt = now;
  }

  /** Records that a start in a reply took effect. */
  recordAcknowledged(): void {
    this.unacknowledged = 0;
  }

  /** Records that a heartbeat acknowledges no start of the previous reply; returns whether the limit is reached. */
  recordUnacknowledged(): boolean {
    this.unacknowledged++;
    return this.unacknowledged === UNACKNOWLEDGED_REPLIES_LIMIT;
  }

  /**
   * Records a heartbeat that has no start to acknowledge. If it follows the previous heartbeat within the reply
   * timeout, the worker can't have stopped waiting for the reply to that one.
   */
  recordHeartbeatInterval(intervalMs: number): void {
    if (intervalMs < REPLY_TIMEOUT_MS) this.unacknowledged = 0;
  }

  /** Resets the state after the worker's lease has expired: earlier replies don't count for its new incarnation. */
  reset(): void {
    this.unacknowledged = 0;
    this.lastReplyAt = null;
    this.gaplessSince = null;
  }
}
