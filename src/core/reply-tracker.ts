/**
 * Whether a worker receives the replies to its heartbeats. Heartbeats that arrive are no proof of it: in a one-way
 * partition they come in while every reply is lost.
 */
import type { MonotonicTime } from './units.js';

/** After this many replies in a row with a start that had no effect, nothing is placed on a machine. */
export const UNACKNOWLEDGED_REPLIES_LIMIT = 2;

/** A worker gives up on a reply after this time (PROTOCOL, workers). */
export const REPLY_TIMEOUT_MS = 4000;

/** One worker's replies, as far as the leader had authority when it gave them. */
export class ReplyTracker {
  /** Replies with a start, in a row, that the worker's next heartbeat showed no sign of. */
  private unacknowledged = 0;
  private lastReplyAt: MonotonicTime | null = null;
  /** Since when replies were given without a gap. */
  private gaplessSince: MonotonicTime | null = null;

  /** Its replies seem to be lost. */
  get isUnacknowledged(): boolean {
    return this.unacknowledged >= UNACKNOWLEDGED_REPLIES_LIMIT;
  }

  /** For how long replies have been given without a gap. */
  get gaplessMs(): number {
    return this.lastReplyAt === null || this.gaplessSince === null ? 0 : this.lastReplyAt - this.gaplessSince;
  }

  /** Whether the last reply is so recent that another one now leaves no gap. */
  hasNoGap(maxGapMs: number, now: MonotonicTime): boolean {
    return this.lastReplyAt !== null && now - this.lastReplyAt <= maxGapMs;
  }

  /** After a gap the count begins anew: what arrives then may have been held back by the network for long. */
  recordReply(maxGapMs: number, now: MonotonicTime): void {
    if (!this.hasNoGap(maxGapMs, now)) this.gaplessSince = now;
    this.lastReplyAt = now;
  }

  /** A start in a reply has had its effect. */
  recordAcknowledged(): void {
    this.unacknowledged = 0;
  }

  /** A heartbeat shows no sign of a start in the reply before it; whether the limit is reached by this one. */
  recordUnacknowledged(): boolean {
    this.unacknowledged++;
    return this.unacknowledged === UNACKNOWLEDGED_REPLIES_LIMIT;
  }

  /** A heartbeat that awaits no start came so soon that the worker can't have given up on the reply before it. */
  recordHeartbeatInterval(intervalMs: number): void {
    if (intervalMs < REPLY_TIMEOUT_MS) this.unacknowledged = 0;
  }

  /** The worker's lease has expired: what was counted for its former incarnation says nothing of the new one. */
  reset(): void {
    this.unacknowledged = 0;
    this.lastReplyAt = null;
    this.gaplessSince = null;
  }
}
