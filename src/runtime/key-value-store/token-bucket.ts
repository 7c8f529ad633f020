/** Token bucket: `rate` a second, with a burst. Keeps what we send below a service's published limits. */
export class TokenBucket {
  private level: number;
  private at: number;

  constructor(
    private rate: number,
    private burst: number,
    now: number,
  ) {
    this.level = burst;
    this.at = now;
  }

  setRate(rate: number, burst: number, now: number): void {
    this.refill(now);
    this.rate = rate;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** Takes n if that leaves `reserve`; urgent callers pass a lower reserve than the others. */
  take(n: number, now: number, reserve = 0): boolean {
    this.refill(now);
    if (this.level - n < reserve) return false;
    this.level -= n;
    return true;
  }

  /** Milliseconds until n could be taken, if nobody else took any. */
  waitMs(n: number, now: number, reserve = 0): number {
    this.refill(now);
    const missing = n + reserve - this.level;
    if (missing <= 0) return 0;
    return n + reserve > this.burst ? Infinity : (missing / this.rate) * 1000;
  }

  private refill(now: number): void {
    this.level = Math.min(this.burst, this.level + ((now - this.at) / 1000) * this.rate);
    this.at = now;
  }
}
