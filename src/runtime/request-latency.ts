/** How long requests take to be answered. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';
import { monotonicNow } from './clock.js';

const MICROSECONDS_PER_MS = 1000;

/** As the status page shows it. */
export interface LatencySummary {
  count: number;
  p50Ms: number;
  p99Ms: number;
}

/** The latencies of one kind of request, since the process began. */
export class RequestLatency {
  private readonly microseconds: RecordableHistogram = createHistogram();

  /** A request that came at this monotonic time is answered now. */
  record(receivedAt: number): void {
    const elapsed = Math.round((monotonicNow() - receivedAt) * MICROSECONDS_PER_MS);
    this.microseconds.record(Math.max(1, elapsed));
  }

  /** The count and two percentiles. */
  summary(): LatencySummary {
    return {
      count: this.microseconds.count,
      p50Ms: this.microseconds.percentile(50) / MICROSECONDS_PER_MS,
      p99Ms: this.microseconds.percentile(99) / MICROSECONDS_PER_MS,
    };
  }
}
