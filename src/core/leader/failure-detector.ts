/**
 * Failure detector: fences machines whose heartbeats stay away. A machine that is unreachable alone is fenced soon; many
 * at once, or a zone, are most likely whole behind a partition and get more time, but never beyond what a cancelled task
 * on them may take.
 */
import type { Job } from '../job.js';
import type { Machine } from '../machine.js';
import type { MonotonicTime, WallTime } from '../units.js';
import { DetectionTimeouts } from './detection-timeouts.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';
import { Reachability } from './reachability.js';

/** Watches the machines that are up. */
export class FailureDetector {
  private readonly timeouts: DetectionTimeouts;
  private lastMassFailureAt = -Infinity;
  /** Before this time heartbeats could not arrive here. */
  private timeoutsStartAt = -Infinity;

  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {
    this.timeouts = new DetectionTimeouts(state.settings.workers);
  }

  /** Authority is back: machines that could not report meanwhile have their time to do so. */
  restartTimeouts(now: MonotonicTime): void {
    this.timeoutsStartAt = now;
  }

  /**
   * The one fence that needs no authority: of an unreachable machine that holds a cancelled task. It may hang, and then
   * neither a stop nor the end of its lease ends the task. Whoever leads next finds it gone, or fences it once more.
   */
  fenceOverdueMachines(now: MonotonicTime, wallTime: WallTime): void {
    const unlocatedJobs = this.unlocatedOverdueJobs(now, wallTime);
    for (const machine of this.state.machines.values())
      if (machine.up && this.isOverdue(machine, unlocatedJobs, now, wallTime))
        this.machinePool.fence(machine, 'unreachable with a cancelled task', now, true);
  }

  /** Fences the machines that are past their detection timeout. */
  detectFailures(now: MonotonicTime, wallTime: WallTime): void {
    const reachability = this.measureReachability(now);
    this.updatePartitionedZones(reachability, now);
    const isMassFailure = this.updateMassFailure(reachability, now);
    const { suspected } = reachability;
    const unlocatedJobs = suspected.length > 0 ? this.unlocatedOverdueJobs(now, wallTime) : [];
    for (const machine of suspected) {
      if (machine.decommissioning?.mayHoldOverdueTask) continue;
      const { zone } = machine.info;
      // Half a zone becomes unreachable at once only in a partition; its workers may be kept alive over there.
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
   * Returns whether there is a mass failure, or was a moment ago: many machines unreachable at once, as after a failover: it is the network or we that keep their heartbeats away.
   * Fencing them all would destroy a healthy cluster; those that are really gone are soon missing from the cloud's list.
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

  /** For how long the machine could have sent a heartbeat and none has come. */
  private sinceHeartbeatMs(machine: Machine, now: MonotonicTime): number {
    return now - Math.max(machine.lastHeartbeatAt ?? this.state.startedAt, this.timeoutsStartAt);
  }

  private isOverdue(machine: Machine, unlocatedJobs: Job[], now: MonotonicTime, wallTime: WallTime): boolean {
    const sinceHeartbeatMs = this.sinceHeartbeatMs(machine, now);
    if (sinceHeartbeatMs < this.timeouts.heartbeatRoundMs) return false;
    const cancelledForMs = this.overdueCancellationAgeMs(machine, unlocatedJobs, now, wallTime);
    return cancelledForMs !== null && sinceHeartbeatMs >= this.timeouts.overdueTimeoutMs(cancelledForMs);
  }

  /** For how long the machine has held an overdue cancelled task, or may have held an unlocated one; null: it doesn't. */
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
   * Their tasks may hang on machines not reconciled since this leadership began, where no heartbeat has shown them.
   * They are waited for longer: of many such machines most are whole, and end the tasks or lose their lease themselves.
   */
  private unlocatedOverdueJobs(now: MonotonicTime, wallTime: WallTime): Job[] {
    if (this.state.unreconciledMachines.size === 0) return [];
    const limitMs = this.timeouts.unlocatedOverdueCancellationMs;
    return [...this.state.jobs.values()].filter(
      (job) => job.cancelled && job.cancelledForMs(now, wallTime) > limitMs,
    );
  }
}
