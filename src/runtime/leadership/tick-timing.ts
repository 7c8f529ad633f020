/** Delays between the leader's ticks, and statistics of their durations. */
import type { MonotonicTime } from '../../core/units.js';
import type { Logger } from '../logger.js';

/** Events within this time are processed by one tick. */
const EVENT_BATCH_DELAY_MS = 25;
/** Pause after a tick, as a multiple of its duration. */
const PAUSE_PER_TICK = 4;
const MAX_PAUSE_MS = 500;
const LOG_INTERVAL_MS = 10_000;
const ROUNDING_STEPS_PER_MS = 10;

/** The durations of one leadership's ticks. */
export class TickTiming {
  private lastEndedAt = 0;
  private lastDurationMs = 0;
  private longestDurationMs = 0;
  private tickCount = 0;
  private totalDurationMs = 0;
  private loggedAt = 0;

  /**
   * Delay until the next tick. It grows with the duration of the last tick, which grows with the cluster, so that ticks
   * don't starve the replies to workers and users and the renewals of the lease.
   */
  delayMs(now: MonotonicTime): number {
    const earliest = this.lastEndedAt + this.lastDurationMs * PAUSE_PER_TICK;
    return Math.max(EVENT_BATCH_DELAY_MS, Math.min(MAX_PAUSE_MS, earliest - now));
  }

  /** Records the duration of a tick, and logs the statistics periodically. */
  record(beganAt: MonotonicTime, endedAt: MonotonicTime, log: Logger): void {
    this.lastEndedAt = endedAt;
    this.lastDurationMs = endedAt - beganAt;
    this.longestDurationMs = Math.max(this.longestDurationMs, this.lastDurationMs);
    this.tickCount++;
    this.totalDurationMs += this.lastDurationMs;
    if (endedAt - this.loggedAt >= LOG_INTERVAL_MS) this.log(log);
  }

  private log(log: Logger): void {
    this.loggedAt = this.lastEndedAt;
    const meanMs =
      Math.round((this.totalDurationMs / this.tickCount) * ROUNDING_STEPS_PER_MS) / ROUNDING_STEPS_PER_MS;
    log.info(
      { ticks: this.tickCount, meanMs, longestMs: Math.round(this.longestDurationMs) },
      'tick durations',
    );
    this.tickCount = 0;
    this.totalDurationMs = 0;
    this.longestDurationMs = 0;
  }
}
