/** Token bucket: keeps what is sent below a service's published limits. */

const MS_PER_S = 1000;

/** Fills at a rate a second, up to a burst. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private ratePerS: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.refilledAt = now;
  }

  /** What was saved up stays, as far as the new burst allows. */
  setRate(ratePerS: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes `count` if that leaves `reserve`; urgent callers pass a lower reserve than the others. */
  take(count: number, now: number, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens - count < reserve) return false;
    this.tokens -= count;
    return true;
  }

  /** Milliseconds until `count` could be taken, if nobody else took any. */
  waitMs(count: number, now: number, reserve = 0): number {
    this.refill(now);
    const missing = count + reserve - this.tokens;
    if (missing <= 0) return 0;
    return count + reserve > this.burst ? Infinity : (missing / this.ratePerS) * MS_PER_S;
  }

  private refill(now: number): void {
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / MS_PER_S) * this.ratePerS);
    this.refilledAt = now;
  }
}
