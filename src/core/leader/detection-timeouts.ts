/** After which time without a heartbeat a machine counts as unreachable, and as failed. */
import type { WorkerTimings } from '../worker-timings.js';

/** The longest time between two heartbeats of a worker, in heartbeat intervals: workers spread them. */
const MAX_HEARTBEAT_GAP_INTERVALS = 1.25;
/** How long a heartbeat may take to the leader. */
const HEARTBEAT_DELIVERY_MARGIN_MS = 750;
/** A machine has missed a heartbeat after this many of the longest gaps, and a margin. */
const MISSED_HEARTBEAT_GAPS = 1.5;
const MISSED_HEARTBEAT_MARGIN_S = 0.5;
/** A partition or mass failure counts as going on for this many heartbeat intervals, and a margin, after its last sign. */
const COOLDOWN_INTERVALS = 2.5;
const COOLDOWN_MARGIN_MS = 5000;
/** A single machine has failed after this many of the longest gaps and a margin, or this part of a lease if longer. */
const FAILURE_TIMEOUT_GAPS = 3;
const FAILURE_TIMEOUT_MARGIN_S = 1;
const FAILURE_TIMEOUT_LEASE_FRACTION = 0.6;
/** Machines unreachable with many others are fenced after this part of cancel_s, or this many leases if longer. */
const MASS_FAILURE_CANCEL_FRACTION = 0.6;
const MASS_FAILURE_LEASES = 1.6;
/** A machine of a partitioned zone is fenced after this multiple of cancel_s. */
const PARTITION_CANCEL_FACTOR = 1.2;
/** A machine must be fenced when it has held a cancelled task for this part of cancel_s. */
const OVERDUE_CANCEL_FRACTION = 0.5;
/** The same for a machine that may hold one of a job whose tasks aren't located. */
const UNLOCATED_OVERDUE_CANCEL_FRACTION = 0.75;
/** By this part of cancel_s it is fenced whatever this leader has seen of it: the remainder is the cloud's. */
const LATEST_FENCE_CANCEL_FRACTION = 0.85;

/** Computed from the workers' timings. */
export class DetectionTimeouts {
  constructor(private readonly workers: WorkerTimings) {}

  /** Within this time a worker that is up has reported, whenever it did before. */
  get heartbeatRoundMs(): number {
    return (
      this.workers.heartbeatIntervalS * (MAX_HEARTBEAT_GAP_INTERVALS * 1000) + HEARTBEAT_DELIVERY_MARGIN_MS
    );
  }

  /** A partition cuts off a whole zone at one moment, but each machine is noticed at its own next heartbeat. */
  get missedHeartbeatMs(): number {
    const maxGapS = this.workers.heartbeatIntervalS * MAX_HEARTBEAT_GAP_INTERVALS;
    return (maxGapS * MISSED_HEARTBEAT_GAPS + MISSED_HEARTBEAT_MARGIN_S) * 1000;
  }

  /** When a partition heals, the last machines to report again are few: they still get time to find a controller. */
  get cooldownMs(): number {
    return this.workers.heartbeatIntervalS * (COOLDOWN_INTERVALS * 1000) + COOLDOWN_MARGIN_MS;
  }

  /** For a machine that is unreachable while most others report. */
  get failureTimeoutMs(): number {
    const { heartbeatIntervalS, leaseS } = this.workers;
    const maxGapS = heartbeatIntervalS * MAX_HEARTBEAT_GAP_INTERVALS;
    return (
      Math.max(
        maxGapS * FAILURE_TIMEOUT_GAPS + FAILURE_TIMEOUT_MARGIN_S,
        leaseS * FAILURE_TIMEOUT_LEASE_FRACTION,
      ) * 1000
    );
  }

  /** For machines that are unreachable together with many others. */
  get massFailureTimeoutMs(): number {
    const { leaseS, cancelS } = this.workers;
    return Math.max(
      this.failureTimeoutMs,
      cancelS * MASS_FAILURE_CANCEL_FRACTION * 1000,
      leaseS * MASS_FAILURE_LEASES * 1000,
    );
  }

  /**
   * For machines of a partitioned zone, which are whole. What they held is mostly not placed elsewhere (a spread service
   * may not be), and where its image is cached it starts again as soon as the partition heals: a fenced zone has to boot
   * and fetch first.
   */
  get partitionTimeoutMs(): number {
    return Math.max(this.massFailureTimeoutMs, this.workers.cancelS * PARTITION_CANCEL_FACTOR * 1000);
  }

  /** A cancelled task must be gone within cancel_s: this much of it is left to waiting, the remainder to the fence. */
  get overdueCancellationMs(): number {
    return this.workers.cancelS * 1000 * OVERDUE_CANCEL_FRACTION;
  }

  /** The same for jobs whose tasks aren't located: of the machines that may hold one, most are whole. */
  get unlocatedOverdueCancellationMs(): number {
    return this.workers.cancelS * 1000 * UNLOCATED_OVERDUE_CANCEL_FRACTION;
  }

  /**
   * For a machine that may hold a task that was cancelled `cancelledForMs` ago. What users wait for began with the cancellation, not with
   * this leadership. Guards against leaders that change, or lose and regain their authority, faster than each one's
   * timeout: none would ever fence. A missed heartbeat is waited for, and when time is up one round of heartbeats.
   */
  overdueTimeoutMs(cancelledForMs: number): number {
    const leftMs = this.workers.cancelS * 1000 * LATEST_FENCE_CANCEL_FRACTION - cancelledForMs;
    if (leftMs <= 0) return this.heartbeatRoundMs;
    return Math.max(this.missedHeartbeatMs, Math.min(this.failureTimeoutMs, leftMs));
  }
}
