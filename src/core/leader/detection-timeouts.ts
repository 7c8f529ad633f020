/** Times without a heartbeat after which a machine counts as unreachable, and after which it is fenced. */
import type { WorkerTimings } from '../worker-timings.js';

/** The longest gap between two heartbeats of a worker, in heartbeat intervals. Workers add jitter to the interval. */
const MAX_HEARTBEAT_GAP_INTERVALS = 1.25;
/** Allowance for the delivery of a heartbeat to the leader. */
const HEARTBEAT_DELIVERY_MARGIN_MS = 750;
/** A heartbeat counts as missed after this many of the longest gaps, plus a margin. */
const MISSED_HEARTBEAT_GAPS = 1.5;
const MISSED_HEARTBEAT_MARGIN_S = 0.5;
/**
 * A partition or mass failure counts as ongoing for this many heartbeat intervals, plus a margin, after it was last
 * detected.
 */
const COOLDOWN_INTERVALS = 2.5;
const COOLDOWN_MARGIN_MS = 5000;
/**
 * A single machine has failed after this many of the longest gaps plus a margin, or after this fraction of a lease if
 * that is longer.
 */
const FAILURE_TIMEOUT_GAPS = 3;
const FAILURE_TIMEOUT_MARGIN_S = 1;
const FAILURE_TIMEOUT_LEASE_FRACTION = 0.6;
/**
 * In a mass failure, machines are fenced after this fraction of cancel_s, or after this many leases if that is longer.
 */
const MASS_FAILURE_CANCEL_FRACTION = 0.6;
const MASS_FAILURE_LEASES = 1.6;
/** Machines of a partitioned zone are fenced after this multiple of cancel_s. */
const PARTITION_CANCEL_FACTOR = 1.2;
/**
 * A cancellation is overdue, so that unreachable machines holding the task are fenced, after this fraction of
 * cancel_s.
 */
const OVERDUE_CANCEL_FRACTION = 0.5;
/** The same for a job whose tasks are not located, and for unreachable machines that may hold one of them. */
const UNLOCATED_OVERDUE_CANCEL_FRACTION = 0.75;
/**
 * By this fraction of cancel_s the machine is fenced, however short this leader has been waiting for its heartbeats.
 * The remainder is for the cloud provider to delete the machine.
 */
const LATEST_FENCE_CANCEL_FRACTION = 0.85;

/** Detection timeouts, computed from the workers' timings. */
export class DetectionTimeouts {
  constructor(private readonly workers: WorkerTimings) {}

  /** Every worker that is up sends at least one heartbeat within this time. */
  get heartbeatRoundMs(): number {
    return (
      this.workers.heartbeatIntervalS * (MAX_HEARTBEAT_GAP_INTERVALS * 1000) + HEARTBEAT_DELIVERY_MARGIN_MS
    );
  }

  /**
   * A machine counts as unreachable after this time without a heartbeat. The time exceeds the longest gap because a
   * partition cuts off a whole zone at once, but each machine is only detected when its own next heartbeat is due.
   */
  get missedHeartbeatMs(): number {
    const maxGapS = this.workers.heartbeatIntervalS * MAX_HEARTBEAT_GAP_INTERVALS;
    return (maxGapS * MISSED_HEARTBEAT_GAPS + MISSED_HEARTBEAT_MARGIN_S) * 1000;
  }

  /**
   * How long a partition or mass failure counts as ongoing after it was last detected. When a partition heals, the last
   * few machines still need time to find a controller, although few machines remain unreachable.
   */
  get cooldownMs(): number {
    return this.workers.heartbeatIntervalS * (COOLDOWN_INTERVALS * 1000) + COOLDOWN_MARGIN_MS;
  }

  /** Timeout of a machine that is unreachable while heartbeats from most others arrive. */
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

  /** Timeout of machines that are unreachable together with many others. */
  get massFailureTimeoutMs(): number {
    const { leaseS, cancelS } = this.workers;
    return Math.max(
      this.failureTimeoutMs,
      cancelS * MASS_FAILURE_CANCEL_FRACTION * 1000,
      leaseS * MASS_FAILURE_LEASES * 1000,
    );
  }

  /**
   * Timeout of machines in a partitioned zone, which are most likely intact. Most of their tasks are not placed
   * elsewhere (those of a spread service may not be), and as soon as the partition heals they start again where their
   * images are cached. After fencing, new machines would have to boot and fetch the images first.
   */
  get partitionTimeoutMs(): number {
    return Math.max(this.massFailureTimeoutMs, this.workers.cancelS * PARTITION_CANCEL_FACTOR * 1000);
  }

  /**
   * A cancelled task must have ended within cancel_s. A heartbeat is awaited for this part of it; the remainder is for
   * fencing.
   */
  get overdueCancellationMs(): number {
    return this.workers.cancelS * 1000 * OVERDUE_CANCEL_FRACTION;
  }

  /**
   * The same for jobs whose tasks are not located. It is longer because most machines that may hold one are healthy.
   */
  get unlocatedOverdueCancellationMs(): number {
    return this.workers.cancelS * 1000 * UNLOCATED_OVERDUE_CANCEL_FRACTION;
  }

  /**
   * Timeout of a machine that may hold a task cancelled `cancelledForMs` ago. The limit counts from the cancellation,
   * not from the start of this leadership: if leaders change, or lose and regain authority, faster than their own
   * timeouts, none of them would ever fence the machine. At least a missed heartbeat is awaited or, once the limit has
   * passed, one round of heartbeats.
   */
  overdueTimeoutMs(cancelledForMs: number): number {
    const leftMs = this.workers.cancelS * 1000 * LATEST_FENCE_CANCEL_FRACTION - cancelledForMs;
    if (leftMs <= 0) return this.heartbeatRoundMs;
    return Math.max(this.missedHeartbeatMs, Math.min(this.failureTimeoutMs, leftMs));
  }
}
