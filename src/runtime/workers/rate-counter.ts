/** Counts events per second, cheaply enough to be updated on every heartbeat. */

const WINDOW_MS = 1000;

/** Counts the events in fixed windows of one second. */
export class RateCounter {
  private windowStart = -Infinity;
  private currentCount = 0;
  private previousCount = 0;

  /** Records one event. */
  record(now: number): void {
    this.startWindow(now);
    this.currentCount++;
  }

  /** The number of events in the last full second. */
  perSecond(now: number): number {
    this.startWindow(now);
    return this.previousCount;
  }

  private startWindow(now: number): void {
    const elapsedMs = now - this.windowStart;
    if (elapsedMs < WINDOW_MS) return;
    this.previousCount = elapsedMs < 2 * WINDOW_MS ? this.currentCount : 0;
    this.windowStart = now;
    this.currentCount = 0;
  }
}
