/** This controller's share of the key-value store's rate limits, which hold for all controllers together. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import { monotonicNow, sleep } from '../clock.js';
import { TokenBucket } from './token-bucket.js';

/** A request may wait this long for its turn, and so many may wait; beyond, it is refused at once. */
const MAX_WAIT_MS = 250;
const MAX_WAITING = 24;
/** Added to the time until a token is there, against timers that fire early. */
const TIMER_SLACK_MS = 1;

const INITIAL_SHARE = 1 / 3;
/** What remains unused of a share, for the renewals that pass the budget by and for inexact timers. */
const USABLE_FRACTION = 0.9;
const MIN_BURST = 4;

/** How the share shrinks with each refusal of the store, and grows with each other answer. */
const REFUSAL_FACTOR = 0.85;
const MIN_THROTTLE = 0.3;
const RECOVERY_STEP = 0.004;

/** Two token buckets, one of requests and one of writes. */
export class RequestBudget {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private share = INITIAL_SHARE;
  private throttle = 1;
  private waiting = 0;

  constructor(private readonly limits: KeyValueStoreLimits) {
    const now = monotonicNow();
    this.requests = new TokenBucket(1, 1, now);
    this.writes = new TokenBucket(1, 1, now);
    this.applyRates();
  }

  /** The share of the store's limits that this controller keeps to. */
  setShare(share: number): void {
    this.share = share;
    this.applyRates();
  }

  /**
   * The shares add up to more than the whole, since seldom all controllers are busy at once. When they are, the
   * store refuses with 429, and each takes less for a while.
   */
  recordStatus(status: number): void {
    const before = this.throttle;
    if (status === HTTP_STATUS.tooManyRequests)
      this.throttle = Math.max(MIN_THROTTLE, this.throttle * REFUSAL_FACTOR);
    else this.throttle = Math.min(1, this.throttle + RECOVERY_STEP);
    if (this.throttle !== before) this.applyRates();
  }

  /** Takes a turn in both budgets, at once or after a short wait; false: the request is not to be sent. */
  async acquire(requests: number, writes: number, reserve: number): Promise<boolean> {
    const beganAt = monotonicNow();
    for (;;) {
      const now = monotonicNow();
      const waitMs = Math.max(
        this.writes.waitMs(writes, now, writes > 0 ? reserve : 0),
        this.requests.waitMs(requests, now, reserve),
      );
      if (waitMs === 0) {
        this.requests.take(requests, now, reserve);
        if (writes > 0) this.writes.take(writes, now, reserve);
        return true;
      }
      if (now - beganAt + waitMs > MAX_WAIT_MS || this.waiting >= MAX_WAITING) return false;
      this.waiting++;
      await sleep(waitMs + TIMER_SLACK_MS);
      this.waiting--;
    }
  }

  private applyRates(): void {
    const { requestsPerS, writesPerS } = this.limits;
    const now = monotonicNow();
    const fraction = this.share * this.throttle * USABLE_FRACTION;
    this.requests.setRate(requestsPerS * fraction, Math.max(MIN_BURST, requestsPerS * fraction), now);
    this.writes.setRate(writesPerS * fraction, Math.max(MIN_BURST, writesPerS * fraction), now);
  }
}
