/** The end of placements: tasks are stopped, and placements released once the machine can no longer hold the task. */
import type { Job, Placement } from '../job.js';
import type { MonotonicTime } from '../units.js';
import type { ReleaseCause } from './decision-log.js';
import type { LeaderState } from './leader-state.js';

/** Ends placements, and updates their jobs, machines and pending work accordingly. */
export class PlacementLifecycle {
  constructor(private readonly state: LeaderState) {}

  /** Removes a placement whose machine can no longer hold the task, so that the task can be placed again. */
  release(job: Job, placement: Placement, cause: ReleaseCause, now: MonotonicTime): void {
    this.state.decisionLog.recordReleased(job, placement, cause);
    this.state.machines.get(placement.machine)?.unassign(job.id, placement.index);
    job.removePlacement(placement.index);
    job.waitingSince = now;
    this.state.needsScheduling = true;
    this.state.recordCapacityGained();
  }

  /** Handles a task that ended without a stop command. The other members of a gang cannot continue without it. */
  markLost(job: Job, placement: Placement, cause: ReleaseCause, now: MonotonicTime): void {
    const fields = { job: job.id, task: placement.index, machine: placement.machine, why: cause };
    this.state.log('info', fields, 'task lost');
    this.release(job, placement, cause, now);
    if (job.spec.kind === 'gang') this.stopGang(job, cause, now);
  }

  /**
   * Stops all members of a gang that has lost a member. Once they have ended, the gang is queued again from its
   * checkpoint.
   */
  stopGang(job: Job, cause: string, now: MonotonicTime): void {
    for (const placement of [...job.placements.values()])
      this.stop(job, placement, 0, `gang member lost: ${cause}`, now);
  }

  /** Stops a task. A placement whose start was never sent is released at once. */
  stop(job: Job, placement: Placement, gracePeriodS: number, reason: string, now: MonotonicTime): void {
    const machine = this.state.machines.get(placement.machine);
    if (placement.stop) {
      if (gracePeriodS === 0) placement.stop.gracePeriodS = 0;
      machine?.invalidate();
      return;
    }
    placement.stop = { gracePeriodS, since: now, reason };
    this.state.changedSinceTick = true;
    machine?.invalidate();
    if (!mayHaveReachedWorker(placement)) {
      this.release(job, placement, 'start never sent', now);
      return;
    }
    if (machine) this.state.machinesWithPendingCommands.add(machine);
  }

  /** Evicts a task with a grace period for saving a checkpoint. All members of a gang are evicted together. */
  evict(job: Job, placement: Placement, reason: string, now: MonotonicTime): void {
    const gracePeriodS = job.spec.checkpointS > 0 ? job.spec.saveS : 0;
    const evicted = job.spec.kind === 'gang' ? [...job.placements.values()] : [placement];
    for (const evictedPlacement of evicted) this.stop(job, evictedPlacement, gracePeriodS, reason, now);
  }

  /** Stops all tasks of a cancelled job, without a grace period. */
  stopCancelled(job: Job, now: MonotonicTime): void {
    this.state.log('debug', { job: job.id, tasks: job.placements.size }, 'job cancelled');
    for (const placement of [...job.placements.values()]) this.stop(job, placement, 0, 'cancelled', now);
    this.state.needsScheduling = true;
  }
}

/** Whether a start of the task may have reached the worker: it was sent, or the worker has reported the task. */
export const mayHaveReachedWorker = (placement: Placement): boolean =>
  placement.observed ||
  placement.startSentInReplyTo !== null ||
  placement.directStartInFlight ||
  placement.directStartOutcomeUnknown;
