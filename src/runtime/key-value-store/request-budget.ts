/** This controller's share of the key-value store's rate limits, which all controllers use together. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import { monotonicNow, sleep } from '../clock.js';
import { TokenBucket } from './token-bucket.js';

/** Limits on the queue for tokens: a request beyond either of them is rejected immediately. */
const MAX_WAIT_MS = 250;
const MAX_WAITING_REQUESTS = 24;
/** Added to the wait for a token, because timers can fire early. */
const TIMER_SLACK_MS = 1;

const INITIAL_SHARE = 1 / 3;
/** The rest of the share is left for lease renewals, which bypass the budget, and for timer inaccuracy. */
const USABLE_FRACTION = 0.9;
const MIN_BURST_TOKENS = 4;

/** The rate decreases by a factor at each 429 response of the store, and increases by a step at each other response. */
const THROTTLE_DECREASE_FACTOR = 0.85;
const MIN_THROTTLE_FACTOR = 0.3;
const THROTTLE_RECOVERY_STEP = 0.004;

/** Rate limiter with one token bucket for requests and one for writes. */
export class RequestBudget {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  private share = INITIAL_SHARE;
  private throttleFactor = 1;
  private waitingCount = 0;

  constructor(private readonly limits: KeyValueStoreLimits) {
    const now = monotonicNow();
    this.requests = new TokenBucket(1, 1, now);
    this.writes = new TokenBucket(1, 1, now);
    this.applyRates();
  }

  /** Sets the fraction of the store's limits that this controller uses. */
  setShare(share: number): void {
    this.share = share;
    this.applyRates();
  }

  /**
   * Adapts the rate to the status of a response. The shares of all controllers add up to more than the store's limits,
   * because they are rarely all busy. When they are, the store responds with 429, and each controller throttles itself.
   */
  recordStatus(status: number): void {
    const before = this.throttleFactor;
    if (status === HTTP_STATUS.tooManyRequests)
      this.throttleFactor = Math.max(MIN_THROTTLE_FACTOR, this.throttleFactor * THROTTLE_DECREASE_FACTOR);
    else this.throttleFactor = Math.min(1, this.throttleFactor + THROTTLE_RECOVERY_STEP);
    if (this.throttleFactor !== before) this.applyRates();
  }

  /** Takes tokens from both buckets, possibly after a short wait. Returns false if the request must not be sent. */
  async acquire(requests: number, writes: number, reserve: number): Promise<boolean> {
    const startedAt = monotonicNow();
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
      if (now - startedAt + waitMs > MAX_WAIT_MS || this.waitingCount >= MAX_WAITING_REQUESTS) return false;
      this.waitingCount++;
      await sleep(waitMs + TIMER_SLACK_MS);
      this.waitingCount--;
    }
  }

  private applyRates(): void {
    const { requestsPerS, writesPerS } = this.limits;
    const now = monotonicNow();
    const fraction = this.share * this.throttleFactor * USABLE_FRACTION;
    this.requests.setRate(requestsPerS * fraction, Math.max(MIN_BURST_TOKENS, requestsPerS * fraction), now);
    this.writes.setRate(writesPerS * fraction, Math.max(MIN_BURST_TOKENS, writesPerS * fraction), now);
  }
}
