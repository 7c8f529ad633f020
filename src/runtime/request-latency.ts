/** Latency statistics of requests. */
import { createHistogram, type RecordableHistogram } from 'node:perf_hooks';
import { monotonicNow } from './clock.js';

const MICROSECONDS_PER_MS = 1000;

/** Latency statistics in the form that the status page shows. */
export interface LatencySummary {
  count: number;
  p50Ms: number;
  p99Ms: number;
}

/** Histogram of the latencies of one kind of request since the process started. */
export class RequestLatency {
  private readonly microseconds: RecordableHistogram = createHistogram();

  /** Records a request that was received at this monotonic time and is completed now. */
  record(receivedAt: number): void {
    const elapsed = Math.round((monotonicNow() - receivedAt) * MICROSECONDS_PER_MS);
    this.microseconds.record(Math.max(1, elapsed));
  }

  /** Returns the number of requests, the median and the 99th percentile. */
  summary(): LatencySummary {
    return {
      count: this.microseconds.count,
      p50Ms: this.microseconds.percentile(50) / MICROSECONDS_PER_MS,
      p99Ms: this.microseconds.percentile(99) / MICROSECONDS_PER_MS,
    };
  }
}
