/** When the next tick may run, and what ticks cost. */
import type { MonotonicTime } from '../../core/units.js';
import type { Logger } from '../logger.js';

/** Events that come together share one tick. */
const EVENT_DELAY_MS = 25;
/** Pause after a tick, in durations of that tick. */
const PAUSE_PER_TICK = 4;
const MAX_PAUSE_MS = 500;
const LOG_INTERVAL_MS = 10_000;
const TENTHS = 10;

/** The durations of one leadership's ticks. */
export class TickTiming {
  private lastEndedAt = 0;
  private lastMs = 0;
  private longestMs = 0;
  private count = 0;
  private totalMs = 0;
  private loggedAt = 0;

  /**
   * Until the next tick. A tick's cost rises with the cluster: its pace falls with it. Guards against replies to
   * workers and users, and renewals of the lease, that are crowded out.
   */
  delayMs(now: MonotonicTime): number {
    const earliest = this.lastEndedAt + this.lastMs * PAUSE_PER_TICK;
    return Math.max(EVENT_DELAY_MS, Math.min(MAX_PAUSE_MS, earliest - now));
  }

  /** A tick ran between these instants. */
  record(beganAt: MonotonicTime, endedAt: MonotonicTime, log: Logger): void {
    this.lastEndedAt = endedAt;
    this.lastMs = endedAt - beganAt;
    this.longestMs = Math.max(this.longestMs, this.lastMs);
    this.count++;
    this.totalMs += this.lastMs;
    if (endedAt - this.loggedAt >= LOG_INTERVAL_MS) this.log(log);
  }

  private log(log: Logger): void {
    this.loggedAt = this.lastEndedAt;
    const meanMs = Math.round((this.totalMs / this.count) * TENTHS) / TENTHS;
    log.info({ ticks: this.count, meanMs, longestMs: Math.round(this.longestMs) }, 'cycles');
    this.count = 0;
    this.totalMs = 0;
    this.longestMs = 0;
  }
}
