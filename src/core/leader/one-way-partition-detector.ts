/**
 * Detects one-way partitions: workers whose heartbeats arrive while the replies to them don't. Heartbeats alone are no
 * proof of contact, so such a machine is fenced; its tasks start elsewhere once the cloud provider says that it is gone.
 */
import type { Machine } from '../machine.js';
import type { Placement } from '../job.js';
import { REPLY_TIMEOUT_MS } from '../reply-tracker.js';
import { attemptKey } from '../task-status.js';
import type { Heartbeat } from '../heartbeat.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';

/** Leases of gapless replies after which a worker must have taken over the fencing token that they carry. */
const TOKEN_ADOPTION_LEASES = 1.5;
/** Part of a lease of gapless replies after which a lease that expires shows that none of them arrived. */
const LEASE_EXPIRY_FRACTION = 0.9;
/** Fences because of one-way partitions are counted over this many leases. */
const FENCE_WINDOW_LEASES = 3;
/** Within the window at most this many machines are fenced, or this part of all of them if that is more. */
const FENCE_WINDOW_MIN_MACHINES = 2;
const FENCE_WINDOW_MACHINE_FRACTION = 0.1;
/** Between replies without a gap lie at most a reply's timeout, this many heartbeat intervals and a margin. */
const REPLY_GAP_INTERVALS = 1.5;
const REPLY_GAP_MARGIN_MS = 1500;

/** Watches whether the replies given to workers with authority have their effect. */
export class OneWayPartitionDetector {
  private fenceTimes: MonotonicTime[] = [];

  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {}

  /** A reply with authority is given to the worker's heartbeat. */
  recordReply(machine: Machine, now: MonotonicTime): void {
    machine.replies.recordReply(this.maxReplyGapMs, now);
    if (machine.reconciled) return;
    const adoptionMs = this.state.settings.workers.leaseS * TOKEN_ADOPTION_LEASES * 1000;
    if (machine.replies.gaplessMs > adoptionMs) this.fence(machine, 'fencing token not adopted', now);
  }

  /**
   * The worker's lease has expired. Where its heartbeats were replied to all the while, none of the replies arrived. Not
   * so after a gap: when a partition heals, the new incarnation comes first, with nothing held back before it.
   */
  onLeaseExpired(machine: Machine, now: MonotonicTime): void {
    const { replies } = machine;
    const leaseMs = this.state.settings.workers.leaseS * (LEASE_EXPIRY_FRACTION * 1000);
    if (replies.hasNoGap(this.maxReplyGapMs, now) && replies.gaplessMs > leaseMs)
      this.fence(machine, 'lease expired', now);
    replies.reset();
  }

  /** Tells commands without effect from commands in flight: a worker executes a reply before its next heartbeat. */
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
        this.state.log('info', { machine: machine.id }, 'worker acknowledges no command');
    } else if (previousReceivedAt !== null) {
      replies.recordHeartbeatAfter(now - previousReceivedAt);
    }
    if (replies.isUnacknowledged) this.releaseUnstarted(machine, now);
  }

  /** Tasks that were not started there, and by this heartbeat certainly will not be, go elsewhere. */
  private releaseUnstarted(machine: Machine, now: MonotonicTime): void {
    for (const { job, placement } of [...machine.placements.values()]) {
      const mayRun =
        placement.observed ||
        placement.directStartInFlight ||
        placement.directStartOutcomeUnknown ||
        machine.reportedTasks.has(attemptKey(job.id, placement.index, placement.attempt));
      if (!mayRun)
        this.state.placements.release(
          job,
          placement,
          'not started by a worker that acknowledges no command',
          now,
        );
    }
  }

  private fence(machine: Machine, reason: string, now: MonotonicTime): void {
    if (machine.decommissioning?.mode === 'fence') return;
    const windowMs = this.state.settings.workers.leaseS * (FENCE_WINDOW_LEASES * 1000);
    this.fenceTimes = this.fenceTimes.filter((at) => now - at < windowMs);
    // Many at once: it is our replies that are late, not a partition of single machines.
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

/** Whether a heartbeat shows the starts that earlier replies carried; `none-due`: it could not show any yet. */
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
