/** A rate of events, cheap enough to be counted on every heartbeat. */

const WINDOW_MS = 1000;

/** Events in the last full second. */
export class RateCounter {
  private windowStart = -Infinity;
  private current = 0;
  private previous = 0;

  /** An event happens. */
  record(now: number): void {
    this.startWindow(now);
    this.current++;
  }

  /** How many events there were in the last full second. */
  perSecond(now: number): number {
    this.startWindow(now);
    return this.previous;
  }

  private startWindow(now: number): void {
    const elapsedMs = now - this.windowStart;
    if (elapsedMs < WINDOW_MS) return;
    this.previous = elapsedMs < 2 * WINDOW_MS ? this.current : 0;
    this.windowStart = now;
    this.current = 0;
  }
}
