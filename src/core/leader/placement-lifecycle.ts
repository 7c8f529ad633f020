/** How placements end: stopped for a reason, and released once the machine can no longer hold the task. */
import type { Job, Placement } from '../job.js';
import type { MonotonicTime } from '../units.js';
import type { ReleaseCause } from './decision-log.js';
import type { LeaderState } from './leader-state.js';

/** Changes a placement together with its job, its machine, and what is to be done next. */
export class PlacementLifecycle {
  constructor(private readonly state: LeaderState) {}

  /** The machine can no longer hold the task: it may be placed anew. */
  release(job: Job, placement: Placement, cause: ReleaseCause, now: MonotonicTime): void {
    this.state.decisionLog.recordReleased(job, placement, cause);
    this.state.machines.get(placement.machine)?.unassign(job.id, placement.index);
    job.removePlacement(placement.index);
    job.waitingSince = now;
    this.state.needsScheduling = true;
    this.state.recordCapacityGained();
  }

  /** The task is gone without having been told to stop; a gang can't go on without it. */
  markLost(job: Job, placement: Placement, cause: ReleaseCause, now: MonotonicTime): void {
    const fields = { job: job.id, task: placement.index, machine: placement.machine, why: cause };
    this.state.log('info', fields, 'task lost');
    this.release(job, placement, cause, now);
    if (job.spec.kind === 'gang') this.stopGang(job, cause, now);
  }

  /** A gang below its minimum is stopped; once its members are gone it requeues from its checkpoint. */
  stopGang(job: Job, cause: string, now: MonotonicTime): void {
    for (const placement of [...job.placements.values()])
      this.stop(job, placement, 0, `gang broken: ${cause}`, now);
  }

  /** The task is to end. One whose start was never sent is released at once. */
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

  /** Evicts a task gracefully for a reason of ours; a gang goes as a whole, all members at once. */
  evict(job: Job, placement: Placement, reason: string, now: MonotonicTime): void {
    const gracePeriodS = job.spec.checkpointS > 0 ? job.spec.saveS : 0;
    const evicted = job.spec.kind === 'gang' ? [...job.placements.values()] : [placement];
    for (const evictedPlacement of evicted) this.stop(job, evictedPlacement, gracePeriodS, reason, now);
  }

  /** The job is cancelled: its tasks end at once. */
  stopCancelled(job: Job, now: MonotonicTime): void {
    this.state.log('debug', { job: job.id, tasks: job.placements.size }, 'job cancelled');
    for (const placement of [...job.placements.values()]) this.stop(job, placement, 0, 'cancelled', now);
    this.state.needsScheduling = true;
  }
}

/** Whether a start of the task was sent, or the task was reported. */
export const mayHaveReachedWorker = (placement: Placement): boolean =>
  placement.observed ||
  placement.startSentInReplyTo !== null ||
  placement.directStartInFlight ||
  placement.directStartOutcomeUnknown;
