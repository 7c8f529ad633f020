/** The start of a leadership: what an earlier leader started is learned from the workers before anything is placed. */
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/** One round of heartbeats, and a margin, is awaited. */
const RECOVERY_HEARTBEAT_INTERVALS = 1.25;
const RECOVERY_MARGIN_MS = 1500;

/** Whether the leader knows enough to place tasks. */
export class Recovery {
  private complete = false;

  constructor(private readonly state: LeaderState) {}

  /** After one round of heartbeats it is; machines not reconciled by then hold up only what may be on them. */
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
