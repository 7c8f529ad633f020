/**
 * Failure detector: fences machines from which no heartbeats arrive. A single unreachable machine is fenced soon. Many
 * machines or a zone that become unreachable together are most likely intact behind a network partition and get more
 * time, but a machine that holds a cancelled task is fenced within the time allowed for a cancellation.
 */
import type { Job } from '../job.js';
import type { Machine } from '../machine.js';
import type { MonotonicTime, WallTime } from '../units.js';
import { DetectionTimeouts } from './detection-timeouts.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';
import { Reachability } from './reachability.js';

/** Monitors the heartbeats of the machines that are up. */
export class FailureDetector {
  private readonly timeouts: DetectionTimeouts;
  private lastMassFailureAt = -Infinity;
  /**
   * When this leader last regained authority; timeouts do not count time before it, when no heartbeats could arrive.
   */
  private timeoutsStartAt = -Infinity;

  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {
    this.timeouts = new DetectionTimeouts(state.settings.workers);
  }

  /**
   * Restarts all timeouts after authority is regained, so that machines whose heartbeats could not arrive in the
   * meantime have time to send one.
   */
  restartTimeouts(now: MonotonicTime): void {
    this.timeoutsStartAt = now;
  }

  /**
   * Fences unreachable machines that hold a cancelled task, the only fencing that needs no authority. On a machine that
   * hangs, neither a stop command nor the expiry of its lease ends the task. If another leader follows, it finds the
   * machine deleted or fences it again.
   */
  fenceOverdueMachines(now: MonotonicTime, wallTime: WallTime): void {
    const unlocatedJobs = this.unlocatedOverdueJobs(now, wallTime);
    for (const machine of this.state.machines.values())
      if (machine.up && this.isOverdue(machine, unlocatedJobs, now, wallTime))
        this.machinePool.fence(machine, 'unreachable with a cancelled task', now, true);
  }

  /** Fences the machines whose detection timeout has expired. */
  detectFailures(now: MonotonicTime, wallTime: WallTime): void {
    const reachability = this.measureReachability(now);
    this.updatePartitionedZones(reachability, now);
    const isMassFailure = this.updateMassFailure(reachability, now);
    const { suspected } = reachability;
    const unlocatedJobs = suspected.length > 0 ? this.unlocatedOverdueJobs(now, wallTime) : [];
    for (const machine of suspected) {
      if (machine.decommissioning?.mayHoldOverdueTask) continue;
      const { zone } = machine.info;
      // Half of a zone becomes unreachable at once only in a partition; a controller on the other side may still be
      // renewing the leases of its workers.
      const inPartition = this.state.partitionedZones.has(zone);
      const isWholeZone = inPartition && reachability.isWholeZoneUnreachable(zone);
      const overdue = this.isOverdue(machine, isWholeZone ? [] : unlocatedJobs, now, wallTime);
      if (!overdue && !this.isTimedOut(machine, inPartition, isMassFailure, now)) continue;
      this.machinePool.fence(machine, inPartition ? 'zone unreachable' : 'unreachable', now, overdue);
    }
  }

  private measureReachability(now: MonotonicTime): Reachability {
    const reachability = new Reachability();
    const { heartbeatRoundMs, missedHeartbeatMs } = this.timeouts;
    for (const machine of this.state.machines.values())
      if (machine.up)
        reachability.add(machine, this.sinceHeartbeatMs(machine, now), heartbeatRoundMs, missedHeartbeatMs);
    return reachability;
  }

  private updatePartitionedZones(reachability: Reachability, now: MonotonicTime): void {
    const { partitionedZones } = this.state;
    for (const zone of reachability.partitionedZones()) partitionedZones.set(zone, now);
    for (const [zone, at] of partitionedZones)
      if (now - at > this.timeouts.cooldownMs) partitionedZones.delete(zone);
  }

  /**
   * Returns whether there is, or recently was, a mass failure: many machines unreachable at once, as after a failover.
   * The cause is then most likely the network or this controller, and fencing all of them would destroy a healthy
   * cluster. Machines that no longer exist are soon missing from the cloud provider's list.
   */
  private updateMassFailure(reachability: Reachability, now: MonotonicTime): boolean {
    if (reachability.isMassFailure) this.lastMassFailureAt = now;
    return now - this.lastMassFailureAt <= this.timeouts.cooldownMs;
  }

  private isTimedOut(
    machine: Machine,
    inPartition: boolean,
    isMassFailure: boolean,
    now: MonotonicTime,
  ): boolean {
    const sinceHeartbeatMs = this.sinceHeartbeatMs(machine, now);
    if (sinceHeartbeatMs < this.timeouts.failureTimeoutMs) return false;
    if ((!inPartition && !isMassFailure) || machine.missingFromList) return true;
    return (
      sinceHeartbeatMs >=
      (inPartition ? this.timeouts.partitionTimeoutMs : this.timeouts.massFailureTimeoutMs)
    );
  }

  /** Time since the last heartbeat, not counting the time in which this leader could not receive heartbeats. */
  private sinceHeartbeatMs(machine: Machine, now: MonotonicTime): number {
    return now - Math.max(machine.lastHeartbeatAt ?? this.state.startedAt, this.timeoutsStartAt);
  }

  private isOverdue(machine: Machine, unlocatedJobs: Job[], now: MonotonicTime, wallTime: WallTime): boolean {
    const sinceHeartbeatMs = this.sinceHeartbeatMs(machine, now);
    if (sinceHeartbeatMs < this.timeouts.heartbeatRoundMs) return false;
    const cancelledForMs = this.overdueCancellationAgeMs(machine, unlocatedJobs, now, wallTime);
    return cancelledForMs !== null && sinceHeartbeatMs >= this.timeouts.overdueTimeoutMs(cancelledForMs);
  }

  /**
   * The age of the longest overdue cancellation whose task the machine holds or, if the machine is not reconciled, may
   * hold; null if there is none.
   */
  private overdueCancellationAgeMs(
    machine: Machine,
    unlocatedJobs: Job[],
    now: MonotonicTime,
    wallTime: WallTime,
  ): number | null {
    const limitMs = this.timeouts.overdueCancellationMs;
    let longestMs = limitMs;
    for (const { job } of machine.placements.values())
      longestMs = Math.max(longestMs, job.cancelledForMs(now, wallTime));
    if (this.state.unreconciledMachines.has(machine.id))
      for (const job of unlocatedJobs)
        if (this.state.mayHaveBeenStartedOn(job, machine))
          longestMs = Math.max(longestMs, job.cancelledForMs(now, wallTime));
    return longestMs > limitMs ? longestMs : null;
  }

  /**
   * Overdue cancelled jobs whose tasks may be on machines that are not reconciled since this leadership began, so no
   * heartbeat has shown where the tasks are. Their timeout is longer: most of these machines are healthy, and either
   * stop the tasks or lose their lease.
   */
  private unlocatedOverdueJobs(now: MonotonicTime, wallTime: WallTime): Job[] {
    if (this.state.unreconciledMachines.size === 0) return [];
    const limitMs = this.timeouts.unlocatedOverdueCancellationMs;
    return [...this.state.jobs.values()].filter(
      (job) => job.cancelled && job.cancelledForMs(now, wallTime) > limitMs,
    );
  }
}
