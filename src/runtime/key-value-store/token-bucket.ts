/** Token bucket that keeps the request rate below the published limits of a service. */

const MS_PER_S = 1000;

/** Refills at `ratePerS` tokens per second, up to `burst` tokens. */
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

  /** Changes the rate and the burst; tokens up to the new burst are kept. */
  setRate(ratePerS: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes `count` tokens if at least `reserve` tokens remain; urgent callers pass a lower reserve. */
  take(count: number, now: number, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens - count < reserve) return false;
    this.tokens -= count;
    return true;
  }

  /** Milliseconds until `count` tokens can be taken, provided that no other caller takes any. */
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
