/**
 * Detects one-way partitions, in which a worker's heartbeats arrive but the replies to them are lost. Heartbeats alone
 * do not prove that a worker is reachable, so such a machine is fenced. Its tasks start elsewhere once the cloud
 * provider confirms the deletion.
 */
import type { Machine } from '../machine.js';
import type { Placement } from '../job.js';
import { REPLY_TIMEOUT_MS } from '../reply-tracker.js';
import { attemptKey } from '../task-status.js';
import type { Heartbeat } from '../heartbeat.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';

/** After replies without a gap for this many leases, a worker must have adopted the fencing token in the replies. */
const TOKEN_ADOPTION_LEASES = 1.5;
/**
 * If a worker's lease expires after replies without a gap for this fraction of a lease, none of the replies arrived.
 */
const LEASE_EXPIRY_FRACTION = 0.9;
/** Length of the sliding window that limits fencing, in leases. */
const FENCE_WINDOW_LEASES = 3;
/** At most this many machines, or this fraction of all machines if that is more, are fenced within the window. */
const FENCE_WINDOW_MIN_MACHINES = 2;
const FENCE_WINDOW_MACHINE_FRACTION = 0.1;
/**
 * Two consecutive replies have no gap between them if at most the reply timeout, this many heartbeat intervals and a
 * margin lie between them.
 */
const REPLY_GAP_INTERVALS = 1.5;
const REPLY_GAP_MARGIN_MS = 1500;

/** Checks whether replies that a leader with authority sends to workers take effect. */
export class OneWayPartitionDetector {
  private fenceTimes: MonotonicTime[] = [];

  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {}

  /** Records a reply to the worker's heartbeat, sent with authority. */
  recordReply(machine: Machine, now: MonotonicTime): void {
    machine.replies.recordReply(this.maxReplyGapMs, now);
    if (machine.reconciled) return;
    const adoptionMs = this.state.settings.workers.leaseS * TOKEN_ADOPTION_LEASES * 1000;
    if (machine.replies.gaplessMs > adoptionMs) this.fence(machine, 'fencing token not adopted', now);
  }

  /**
   * Handles the expiry of the worker's lease. If all of its heartbeats got a reply, none of the replies can have
   * arrived. After a gap in the replies this does not follow: when a partition heals, the new incarnation's heartbeat
   * may arrive without any earlier, delayed one.
   */
  onLeaseExpired(machine: Machine, now: MonotonicTime): void {
    const { replies } = machine;
    const leaseMs = this.state.settings.workers.leaseS * (LEASE_EXPIRY_FRACTION * 1000);
    if (replies.hasNoGap(this.maxReplyGapMs, now) && replies.gaplessMs > leaseMs)
      this.fence(machine, 'lease expired', now);
    replies.reset();
  }

  /**
   * Detects replies whose start commands had no effect. A worker executes a reply before it sends its next heartbeat.
   */
  checkStartsAcknowledged(
    machine: Machine,
    heartbeat: Heartbeat,
    previousReceivedAt: MonotonicTime | null,
    now: MonotonicTime,
  ): void {
    const { replies } = machine;
    const result = startsAcknowledged(machine, heartbeat);
    if (result === 'acknowledged') {
      replies.recordAcknowledged();
      return;
    }
    if (result === 'unacknowledged') {
      if (replies.recordUnacknowledged())
        this.state.log('info', { machine: machine.id }, 'worker does not acknowledge start commands');
    } else if (previousReceivedAt !== null) {
      replies.recordHeartbeatInterval(now - previousReceivedAt);
    }
    if (replies.isUnacknowledged) this.releaseUnstarted(machine, now);
  }

  /** Releases the tasks that were not started on the machine and, as this heartbeat proves, never will be. */
  private releaseUnstarted(machine: Machine, now: MonotonicTime): void {
    for (const { job, placement } of [...machine.placements.values()]) {
      const mayRun =
        placement.observed ||
        placement.directStartInFlight ||
        placement.directStartOutcomeUnknown ||
        machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt));
      if (!mayRun) this.state.placements.release(job, placement, 'start not acknowledged', now);
    }
  }

  private fence(machine: Machine, reason: string, now: MonotonicTime): void {
    if (machine.decommissioning?.mode === 'fence') return;
    const windowMs = this.state.settings.workers.leaseS * (FENCE_WINDOW_LEASES * 1000);
    this.fenceTimes = this.fenceTimes.filter((at) => now - at < windowMs);
    // If many machines are affected at once, the likely cause is late replies of this controller, not one-way
    // partitions of single machines.
    const limit = Math.max(
      FENCE_WINDOW_MIN_MACHINES,
      this.state.machines.size * FENCE_WINDOW_MACHINE_FRACTION,
    );
    if (this.fenceTimes.length >= limit) return;
    this.fenceTimes.push(now);
    this.machinePool.fence(machine, `one-way partition: ${reason}`, now);
  }

  private get maxReplyGapMs(): number {
    const { heartbeatIntervalS } = this.state.settings.workers;
    return REPLY_TIMEOUT_MS + heartbeatIntervalS * (REPLY_GAP_INTERVALS * 1000) + REPLY_GAP_MARGIN_MS;
  }
}

/** Whether a heartbeat reports the starts that earlier replies contained; `none-due` if none is expected in it yet. */
const startsAcknowledged = (
  machine: Machine,
  heartbeat: Heartbeat,
): 'acknowledged' | 'unacknowledged' | 'none-due' => {
  let hasOverdueStart = false;
  for (const { job, placement } of machine.placements.values()) {
    if (placement.startSentInReplyTo === null || placement.observed || placement.stop) continue;
    if (machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt)))
      return 'acknowledged';
    if (isStartOverdue(placement, heartbeat)) hasOverdueStart = true;
  }
  return hasOverdueStart ? 'unacknowledged' : 'none-due';
};

const isStartOverdue = ({ startSentInReplyTo }: Placement, { incarnation, sequence }: Heartbeat): boolean =>
  startSentInReplyTo !== null &&
  incarnation === startSentInReplyTo.incarnation &&
  sequence > startSentInReplyTo.sequence;
