/** This controller's share of the key-value store's rate limits, which hold for all controllers together. */
import { HTTP_STATUS } from '../http/http-status.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import { monotonicNow, sleep } from '../clock.js';
import { TokenBucket } from './token-bucket.js';

/** A request may wait this long for its turn, and so many may wait; beyond, it is refused at once. */
const MAX_WAIT_MS = 250;
const MAX_WAITING_REQUESTS = 24;
/** Added to the time until a token is there, against timers that fire early. */
const TIMER_SLACK_MS = 1;

const INITIAL_SHARE = 1 / 3;
/** What remains unused of a share, for the renewals that pass the budget by and for inexact timers. */
const USABLE_FRACTION = 0.9;
const MIN_BURST_TOKENS = 4;

/** How the share shrinks with each refusal of the store, and grows with each other answer. */
const THROTTLE_DECREASE_FACTOR = 0.85;
const MIN_THROTTLE_FACTOR = 0.3;
const THROTTLE_RECOVERY_STEP = 0.004;

/** Two token buckets, one of requests and one of writes. */
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
    const before = this.throttleFactor;
    if (status === HTTP_STATUS.tooManyRequests)
      this.throttleFactor = Math.max(MIN_THROTTLE_FACTOR, this.throttleFactor * THROTTLE_DECREASE_FACTOR);
    else this.throttleFactor = Math.min(1, this.throttleFactor + THROTTLE_RECOVERY_STEP);
    if (this.throttleFactor !== before) this.applyRates();
  }

  /** Takes a turn in both budgets, at once or after a short wait; false: the request is not to be sent. */
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
    const { rps, writeRps } = this.limits;
    const now = monotonicNow();
    const fraction = this.share * this.throttleFactor * USABLE_FRACTION;
    this.requests.setRate(rps * fraction, Math.max(MIN_BURST_TOKENS, rps * fraction), now);
    this.writes.setRate(writeRps * fraction, Math.max(MIN_BURST_TOKENS, writeRps * fraction), now);
  }
}
