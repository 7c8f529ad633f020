/**
 * The start of a leadership: the tasks that an earlier leader started are collected from heartbeats before tasks are
 * placed.
 */
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/** Length of one round of heartbeats, in heartbeat intervals, plus a margin. */
const RECOVERY_HEARTBEAT_INTERVALS = 1.25;
const RECOVERY_MARGIN_MS = 1500;

/** Decides when a new leader may start to place tasks. */
export class Recovery {
  private complete = false;

  constructor(private readonly state: LeaderState) {}

  /**
   * Whether all machines are reconciled, or one round of heartbeats has passed. Machines that are not reconciled by
   * then only delay the jobs whose tasks may be on them.
   */
  isComplete(now: MonotonicTime): boolean {
    if (this.complete) return true;
    const waitedMs = now - this.state.startedAt;
    const unreconciled = this.state.unreconciledMachines.size;
    const { heartbeatIntervalS } = this.state.settings.workers;
    if (
      unreconciled > 0 &&
      waitedMs < heartbeatIntervalS * (RECOVERY_HEARTBEAT_INTERVALS * 1000) + RECOVERY_MARGIN_MS
    )
      return false;
    this.complete = true;
    const fields = { afterMs: Math.round(waitedMs), unreconciled, jobs: this.state.jobs.size };
    this.state.log('info', fields, 'recovery complete');
    return true;
  }
}
